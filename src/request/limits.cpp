// Rate and concurrency limits per customer.

#include "request/limits.h"

#include <algorithm>

namespace liftweir {

namespace {

// A customer may use the amount of one second at once, since phones and batch jobs send in bursts.
constexpr Duration Burst = std::chrono::seconds(1);
constexpr Duration ConcurrencyRetry = std::chrono::milliseconds(200);

std::int64_t cost_ns(double cost, double per_second) {
    constexpr double NsPerSecond = 1e9;
    return static_cast<std::int64_t>(cost / per_second * NsPerSecond);
}

} // namespace

std::optional<Duration> RateLimit::take(double cost, double per_second, Duration burst, Time now) {
    const std::int64_t at = now.time_since_epoch().count();
    std::int64_t next = next_.load(std::memory_order_relaxed);
    while (true) {
        const std::int64_t start = std::max(next, at);
        const std::int64_t end = start + cost_ns(cost, per_second);
        if (start - at > burst.count())
            return Duration(start - at - burst.count());
        if (next_.compare_exchange_weak(next, end, std::memory_order_relaxed))
            return std::nullopt;
    }
}

void RateLimit::charge(double cost, double per_second, Time now) {
    const std::int64_t at = now.time_since_epoch().count();
    std::int64_t next = next_.load(std::memory_order_relaxed);
    while (!next_.compare_exchange_weak(next, std::max(next, at) + cost_ns(cost, per_second),
                                        std::memory_order_relaxed)) {
    }
}

std::optional<Duration> CustomerLimits::admit(const CustomerRates& rates, Time now) {
    if (in_flight_.fetch_add(1, std::memory_order_relaxed) >= rates.concurrency) {
        in_flight_.fetch_sub(1, std::memory_order_relaxed);
        return ConcurrencyRetry;
    }
    // Tokens are charged when their number is known; here only a debt beyond the burst rejects.
    auto wait = tokens_.take(0, rates.tokens_per_second, Burst, now);
    if (!wait)
        wait = requests_.take(1, rates.requests_per_second, Burst, now);
    if (wait)
        in_flight_.fetch_sub(1, std::memory_order_relaxed);
    return wait;
}

void CustomerLimits::finished(const CustomerRates& rates, std::uint32_t tokens, Time now) {
    in_flight_.fetch_sub(1, std::memory_order_relaxed);
    if (tokens > 0)
        tokens_.charge(tokens, rates.tokens_per_second, now);
}

} // namespace liftweir
