// Counters, gauges and histograms of all programs, served at /metrics in the Prometheus text
// format.

#ifndef METRICS_H_INCLUDED
#define METRICS_H_INCLUDED

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace liftweir {

class Counter {
  public:
    void add(std::uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

  private:
    std::atomic<std::uint64_t> value_{0};
};

// Latencies in seconds on a logarithmic axis (Boost.Histogram, thread-safe storage).
class LatencyHistogram {
  public:
    LatencyHistogram();
    ~LatencyHistogram();
    void add(double seconds);
    // Upper edge of the bin that contains the quantile; 0 for an empty histogram.
    double quantile(double q) const;
    void print(const std::string& name, const std::string& labels, std::string& out) const;

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// All metrics of the process. Registering a metric takes a lock; adding to it does not.
class Metrics {
  public:
    static Metrics& instance();

    // `labels` in Prometheus form, e.g. class="standard".
    Counter& counter(const std::string& name, const std::string& labels = "");
    LatencyHistogram& histogram(const std::string& name, const std::string& labels = "");
    void gauge(const std::string& name, std::function<double()> read, const void* owner = nullptr,
               const std::string& labels = "");
    // Removes the gauges that the owner registered.
    void drop_gauges(const void* owner);
    // All metrics in the Prometheus text format.
    std::string text() const;

  private:
    using Key = std::pair<std::string, std::string>;

    mutable std::mutex mutex_;
    std::map<Key, Counter> counters_;
    std::map<Key, LatencyHistogram> histograms_;
    struct Gauge {
        std::function<double()> read;
        const void* owner = nullptr;
    };
    std::map<Key, Gauge> gauges_;
};

// Gauges that read from an object. Declared as its last member, so that they are removed before the
// members that they read are destroyed.
class OwnedGauges {
  public:
    OwnedGauges() = default;
    ~OwnedGauges() { Metrics::instance().drop_gauges(this); }
    OwnedGauges(const OwnedGauges&) = delete;
    OwnedGauges& operator=(const OwnedGauges&) = delete;
    void add(const std::string& name, std::function<double()> read,
             const std::string& labels = "") {
        Metrics::instance().gauge(name, std::move(read), this, labels);
    }
};

// CPU time in seconds and resident memory in bytes of this process.
double cpu_seconds();
double resident_bytes();

} // namespace liftweir

#endif // METRICS_H_INCLUDED
