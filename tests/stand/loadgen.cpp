// Open-loop load generator: sends each request at its planned time, whatever happened to earlier
// requests. Latencies count from the planned time, so a stall shows in every request it delayed.
#include "connection/httpclient.h"
#include "options.h"
#include "version/keys.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

using namespace liftweir;

namespace {

using Clock = std::chrono::steady_clock;

struct Result {
    double first_ms = 0;
    double whole_ms = 0;
    double worst_gap_ms = 0;
    int status = 0;
    bool complete = false;
};

struct Plan {
    std::vector<std::string> urls;
    std::string key;
    std::string path;
    double rate = 100;
    double seconds = 5;
    unsigned tokens = 16;
    bool stream = true;
    unsigned prefixes = 0;
    std::string prompt;
    std::string model = "archive";
    long deadline_ms = 0;
    unsigned threads = 1;
    std::string idempotency;
    double think_ms = 0;
};

class Worker {
  public:
    Worker(const Plan& plan, unsigned index)
        : plan_(plan),
          index_(index),
          client_(make_http_client(io_)),
          timer_(io_),
          random_(index + 1) {}

    void run() {
        start_ = Clock::now();
        next();
        io_.run();
    }
    const std::vector<Result>& results() const { return results_; }

  private:
    void next() {
        const double per_thread = plan_.rate / plan_.threads;
        const auto at = start_ + std::chrono::microseconds(static_cast<long>(
                                     1e6 * static_cast<double>(sent_) / per_thread));
        if (std::chrono::duration<double>(at - start_).count() >= plan_.seconds)
            return;
        timer_.expires_at(at);
        timer_.async_wait([this, at](asio::error_code) {
            send(at);
            next();
        });
    }

    std::string body() {
        Json::Value body;
        body["model"] = plan_.model;
        body["max_tokens"] = plan_.tokens;
        body["stream"] = plan_.stream;
        std::string prompt = plan_.prompt + std::to_string(index_) + "-" + std::to_string(sent_);
        if (plan_.prefixes > 0)
            prompt = std::string(512, static_cast<char>('a' + random_() % 26)) +
                     std::to_string(random_() % plan_.prefixes);
        if (plan_.prefixes > 0) {
            const std::string head = "prefix-" + std::to_string(random_() % plan_.prefixes) + " ";
            prompt = head + std::string(512, 'x') + std::to_string(sent_);
        }
        body["prompt"] = prompt;
        return to_text(body);
    }

    void send(Clock::time_point planned) {
        const std::uint64_t number = sent_++;
        HttpCall call;
        call.method = "POST";
        call.url = plan_.urls[number % plan_.urls.size()] + plan_.path;
        call.headers = {{"Authorization", "Bearer " + plan_.key},
                        {"Content-Type", "application/json"}};
        if (plan_.deadline_ms > 0)
            call.headers.emplace_back("Liftweir-Deadline-Ms", std::to_string(plan_.deadline_ms));
        if (!plan_.idempotency.empty())
            call.headers.emplace_back("Idempotency-Key", plan_.idempotency + "-" +
                                                             std::to_string(index_) + "-" +
                                                             std::to_string(number));
        call.body = plan_.path.starts_with("/services") ? "{\"id\":\"" + std::to_string(index_) +
                                                              "-" + std::to_string(number) + "\"}"
                                                        : body();
        call.timeout = std::chrono::seconds(60);
        struct Progress {
            Result result;
            Clock::time_point last;
            std::string tail;
        };
        const auto p = std::make_shared<Progress>();
        const auto since = [planned](Clock::time_point t) {
            return std::chrono::duration<double, std::milli>(t - planned).count();
        };
        client_->start(
            call, {[p](int status, const std::string&) { p->result.status = status; },
                   [p, since](std::string_view bytes) {
                       const auto now = Clock::now();
                       if (p->result.first_ms == 0)
                           p->result.first_ms = since(now);
                       else
                           p->result.worst_gap_ms = std::max(
                               p->result.worst_gap_ms,
                               std::chrono::duration<double, std::milli>(now - p->last).count());
                       p->last = now;
                       p->tail.append(bytes);
                       if (p->tail.size() > 64)
                           p->tail.erase(0, p->tail.size() - 64);
                       return true;
                   },
                   [this, p, since](const Expected<int>& status, bool) {
                       p->result.whole_ms = since(Clock::now());
                       p->result.complete = status && *status == 200 &&
                                            (!plan_.stream || plan_.path.starts_with("/services") ||
                                             p->tail.find("data: [DONE]") != std::string::npos);
                       results_.push_back(p->result);
                   }});
    }

    const Plan& plan_;
    unsigned index_;
    asio::io_context io_;
    std::unique_ptr<HttpClient> client_;
    asio::steady_timer timer_;
    std::minstd_rand random_;
    Clock::time_point start_;
    std::uint64_t sent_ = 0;
    std::vector<Result> results_;
};

double quantile(std::vector<double> values, double q) {
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

Json::Value summary(const std::vector<double>& values) {
    Json::Value out;
    out["p50"] = quantile(values, 0.5);
    out["p95"] = quantile(values, 0.95);
    out["p99"] = quantile(values, 0.99);
    return out;
}

} // namespace

int main(int argc, const char** argv) {
    const StandOptions options(argc, argv);
    Plan plan;
    std::string urls = options.text("urls", "http://127.0.0.1:8080");
    for (std::size_t at = 0; at != std::string::npos;) {
        const auto comma = urls.find(',', at);
        plan.urls.push_back(urls.substr(at, comma == std::string::npos ? comma : comma - at));
        at = comma == std::string::npos ? comma : comma + 1;
    }
    plan.key = options.text("key", "");
    plan.path = options.text("path", "/v1/completions");
    plan.rate = options.number("rate", 100);
    plan.seconds = options.number("seconds", 5);
    plan.tokens = static_cast<unsigned>(options.number("tokens", 16));
    plan.stream = options.number("stream", 1) != 0;
    plan.prefixes = static_cast<unsigned>(options.number("prefixes", 0));
    plan.prompt = options.text("prompt", "p");
    plan.model = options.text("model", "archive");
    plan.deadline_ms = static_cast<long>(options.number("deadline-ms", 0));
    plan.threads = static_cast<unsigned>(options.number("threads", 1));
    plan.idempotency = options.text("idempotency", "");

    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::thread> threads;
    const auto begin = Clock::now();
    for (unsigned i = 0; i < plan.threads; ++i)
        workers.push_back(std::make_unique<Worker>(plan, i));
    for (const auto& worker : workers)
        threads.emplace_back([&worker] { worker->run(); });
    for (std::thread& thread : threads)
        thread.join();
    const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();

    std::vector<double> first;
    std::vector<double> complete;
    std::vector<double> gaps;
    Json::Value out;
    out["statuses"] = Json::objectValue;
    std::uint64_t sent = 0;
    std::uint64_t good = 0;
    for (const auto& worker : workers)
        for (const Result& r : worker->results()) {
            ++sent;
            const std::string status = std::to_string(r.status);
            out["statuses"][status] = out["statuses"].get(status, 0).asInt() + 1;
            if (!r.complete)
                continue;
            ++good;
            first.push_back(r.first_ms);
            complete.push_back(r.whole_ms);
            gaps.push_back(r.worst_gap_ms);
        }
    out["sent"] = Json::UInt64(sent);
    out["good"] = Json::UInt64(good);
    out["seconds"] = seconds;
    out["first_ms"] = summary(first);
    out["whole_ms"] = summary(complete);
    out["worst_gap_ms"] = summary(gaps);
    std::cout << to_text(out) << "\n";
    return 0;
}
