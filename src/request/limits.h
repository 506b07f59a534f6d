// Rate and concurrency limits per customer on one entry host (liftweir-entry).

#ifndef LIMITS_H_INCLUDED
#define LIMITS_H_INCLUDED

#include "process/clock.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace liftweir {

// One entry host's share of a customer's limits.
struct CustomerRates {
    double requests_per_second = 1000;
    double tokens_per_second = 1000000;
    std::uint32_t concurrency = 1000;

    auto operator<=>(const CustomerRates&) const = default;
};

// Rate limit as a virtual arrival time in one atomic (GCRA), so that no request takes a lock.
class RateLimit {
  public:
    // Takes `cost` units, or returns how long to wait for them.
    std::optional<Duration> take(double cost, double per_second, Duration burst, Time now);
    // Takes units that were used already; the debt delays later requests.
    void charge(double cost, double per_second, Time now);

  private:
    std::atomic<std::int64_t> next_{0}; // boot clock, ns
};

// A customer's usage on this entry host. Kept when the settings change.
class CustomerLimits {
  public:
    // Empty if the request is admitted and counted; otherwise the time after which to retry.
    std::optional<Duration> admit(const CustomerRates& rates, Time now);
    void finished(const CustomerRates& rates, std::uint32_t tokens, Time now);
    std::uint32_t in_flight() const { return in_flight_.load(std::memory_order_relaxed); }

  private:
    RateLimit requests_;
    RateLimit tokens_;
    std::atomic<std::uint32_t> in_flight_{0};
};

} // namespace liftweir

#endif // LIMITS_H_INCLUDED
