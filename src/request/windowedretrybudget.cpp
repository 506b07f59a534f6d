// Budget for retries in a sliding window.

#include "request/windowedretrybudget.h"

namespace liftweir {

namespace {

// Only this part of the permitted retries is used, since each entry host counts its own and knows
// its share of the traffic with a delay.
constexpr double UsedPart = 0.8;

} // namespace

WindowedRetryBudget::WindowedRetryBudget(Duration window, double ratio, std::uint32_t slack)
    : window_(window), ratio_(ratio), slack_(slack) {}

WindowedRetryBudget::Slot& WindowedRetryBudget::slot(Time now) {
    const std::int64_t number = now.time_since_epoch() / (window_ / Slots);
    Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
    if (slot.number != number)
        slot = {number, 0, 0};
    return slot;
}

WindowedRetryBudget::Slot WindowedRetryBudget::sum(Time now) const {
    const std::int64_t number = now.time_since_epoch() / (window_ / Slots);
    Slot total;
    for (const Slot& slot : slots_) {
        if (slot.number + static_cast<std::int64_t>(Slots) < number)
            continue;
        total.requests += slot.requests;
        total.retries += slot.retries;
    }
    return total;
}

void WindowedRetryBudget::request(Time now) {
    ++slot(now).requests;
}

double WindowedRetryBudget::allowed(Time now) const {
    return UsedPart * (ratio_ * sum(now).requests + share_ * static_cast<double>(slack_));
}

bool WindowedRetryBudget::has_left(Time now) const {
    return used(now) + 1 <= allowed(now);
}

bool WindowedRetryBudget::take(Time now) {
    if (!has_left(now))
        return false;
    ++slot(now).retries;
    return true;
}

std::uint32_t WindowedRetryBudget::used(Time now) const {
    return sum(now).retries;
}

} // namespace liftweir
