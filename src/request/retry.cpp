// Lock-free budget for retries and hedges.

#include "request/retry.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr std::int64_t OneRetry = 1000;
// Enough for the requests of one lost group; more could cause a retry storm.
constexpr std::int64_t MaxSaved = 64 * OneRetry;

} // namespace

void RetryBudget::earn(double share) {
    const auto earned = static_cast<std::int64_t>(share * static_cast<double>(OneRetry));
    std::int64_t now = milli_.load(std::memory_order_relaxed);
    while (now < MaxSaved && !milli_.compare_exchange_weak(now, std::min(now + earned, MaxSaved),
                                                           std::memory_order_relaxed)) {
    }
}

bool RetryBudget::take() {
    std::int64_t now = milli_.load(std::memory_order_relaxed);
    while (now >= OneRetry)
        if (milli_.compare_exchange_weak(now, now - OneRetry, std::memory_order_relaxed))
            return true;
    return false;
}

double RetryBudget::left() const {
    return static_cast<double>(milli_.load(std::memory_order_relaxed)) / OneRetry;
}

} // namespace liftweir
