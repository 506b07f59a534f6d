// Metrics of all programs: histograms by Boost.Histogram, and the text of /metrics.

#include "process/metrics.h"

#include "connection/link.h"
#include "process/metricnames.h"

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>

#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

namespace liftweir {

namespace {

namespace bh = boost::histogram;

// From 10 us to 100 s with ten bins a decade: quantiles are exact to 26 %.
constexpr unsigned BinCount = 70;
constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 100;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using Histogram = bh::histogram<std::tuple<Axis>, Storage>;

std::string with_labels(const std::string& name, const std::string& labels,
                        const std::string& extra = "") {
    const std::string all = labels + (labels.empty() || extra.empty() ? "" : ",") + extra;
    return all.empty() ? name : name + "{" + all + "}";
}

std::string link_bytes_by_kind(const LinkCounters& links) {
    std::string out = "# TYPE liftweir_link_sent_bytes_total counter\n";
    for (std::size_t n = 0; n < MessageNames.size(); ++n)
        if (const std::uint64_t bytes = links.sent[n]; bytes > 0)
            out += "liftweir_link_sent_bytes_total{kind=\"" + std::string(MessageNames[n]) +
                   "\"} " + std::to_string(bytes) + "\n";
    return out;
}

} // namespace

struct LatencyHistogram::Impl {
    Histogram histogram =
        bh::make_histogram_with(Storage(), Axis(BinCount, LowestSeconds, HighestSeconds));
    std::atomic<double> sum{0};

    std::uint64_t at(int bin) const { return histogram.at(bin).load(); }
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(double seconds) {
    impl_->histogram(seconds);
    impl_->sum.fetch_add(seconds, std::memory_order_relaxed);
}

double LatencyHistogram::quantile(double q) const {
    std::uint64_t total = 0;
    for (int bin = -1; bin <= static_cast<int>(BinCount); ++bin)
        total += impl_->at(bin);
    if (total == 0)
        return 0;
    std::uint64_t seen = 0;
    for (int bin = -1; bin < static_cast<int>(BinCount); ++bin) {
        seen += impl_->at(bin);
        if (static_cast<double>(seen) >= q * static_cast<double>(total))
            return bin < 0 ? LowestSeconds : impl_->histogram.axis().bin(bin).upper();
    }
    return HighestSeconds;
}

void LatencyHistogram::print(const std::string& name, const std::string& labels,
                             std::string& out) const {
    constexpr int BinsPerLine = 5; // two lines a decade are enough for a dashboard
    std::uint64_t seen = impl_->at(-1);
    std::ostringstream text;
    for (int bin = 0; bin < static_cast<int>(BinCount); ++bin) {
        seen += impl_->at(bin);
        if ((bin + 1) % BinsPerLine == 0)
            text << with_labels(name + "_bucket", labels,
                                "le=\"" + std::to_string(impl_->histogram.axis().bin(bin).upper()) +
                                    "\"")
                 << " " << seen << "\n";
    }
    seen += impl_->at(static_cast<int>(BinCount));
    text << with_labels(name + "_bucket", labels, "le=\"+Inf\"") << " " << seen << "\n"
         << with_labels(name + "_sum", labels) << " " << impl_->sum.load() << "\n"
         << with_labels(name + "_count", labels) << " " << seen << "\n";
    out += text.str();
}

Metrics& Metrics::instance() {
    static Metrics metrics;
    return metrics;
}

Counter& Metrics::counter(const std::string& name, const std::string& labels) {
    const std::lock_guard lock(mutex_);
    return counters_[{name, labels}];
}

LatencyHistogram& Metrics::histogram(const std::string& name, const std::string& labels) {
    const std::lock_guard lock(mutex_);
    return histograms_[{name, labels}];
}

void Metrics::gauge(const std::string& name, std::function<double()> read, const void* owner,
                    const std::string& labels) {
    const std::lock_guard lock(mutex_);
    gauges_[{name, labels}] = {std::move(read), owner};
}

void Metrics::drop_gauges(const void* owner) {
    const std::lock_guard lock(mutex_);
    std::erase_if(gauges_, [&](const auto& item) { return item.second.owner == owner; });
}

std::string Metrics::text() const {
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    std::string last;
    const auto header = [&](const std::string& name, const char* type) {
        if (std::exchange(last, name) == name)
            return;
        if (const MetricInfo* info = find_metric(name))
            out << "# HELP " << name << " " << info->meaning << "\n";
        out << "# TYPE " << name << " " << type << "\n";
    };
    for (const auto& [key, counter] : counters_) {
        header(key.first, "counter");
        out << with_labels(key.first, key.second) << " " << counter.value() << "\n";
    }
    for (const auto& [key, gauge] : gauges_) {
        header(key.first, "gauge");
        out << with_labels(key.first, key.second) << " " << gauge.read() << "\n";
    }
    for (const auto& [key, histogram] : histograms_) {
        header(key.first, "histogram");
        std::string text;
        histogram.print(key.first, key.second, text);
        out << text;
    }
    const LinkCounters& links = link_counters();
    out << "# TYPE liftweir_link_bytes_total counter\n"
        << "liftweir_link_bytes_total{direction=\"in\"} " << links.bytes_in << "\n"
        << "liftweir_link_bytes_total{direction=\"out\"} " << links.bytes_out << "\n"
        << "# TYPE liftweir_link_messages_total counter\n"
        << "liftweir_link_messages_total{direction=\"in\"} " << links.messages_in << "\n"
        << "liftweir_link_messages_total{direction=\"out\"} " << links.messages_out << "\n"
        << "# TYPE liftweir_link_refused_total counter\n"
        << "liftweir_link_refused_total " << links.refused << "\n"
        << "# TYPE liftweir_link_queued_bytes gauge\n"
        << "liftweir_link_queued_bytes " << links.queued << "\n"
        << link_bytes_by_kind(links) << "# TYPE process_cpu_seconds_total counter\n"
        << "process_cpu_seconds_total " << cpu_seconds() << "\n"
        << "# TYPE process_resident_memory_bytes gauge\n"
        << "process_resident_memory_bytes " << resident_bytes() << "\n";
    return out.str();
}

double cpu_seconds() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double resident_bytes() {
    std::ifstream file("/proc/self/statm");
    double pages = 0;
    double resident = 0;
    file >> pages >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

} // namespace liftweir
