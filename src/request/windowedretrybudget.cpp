#include "request/windowedretrybudget.h"

namespace liftweir {

namespace {

// Part of what is permitted that is used: entry hosts count by themselves, and their shares of the
// traffic are known with a delay.
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
        total.repeats += slot.repeats;
    }
    return total;
}

void WindowedRetryBudget::request(Time now) {
    ++slot(now).requests;
}

bool WindowedRetryBudget::has_left(Time now) const {
    const Slot total = sum(now);
    const double allowed =
        UsedPart * (ratio_ * total.requests + share_ * static_cast<double>(slack_));
    return total.repeats + 1 <= allowed;
}

bool WindowedRetryBudget::take(Time now) {
    if (!has_left(now))
        return false;
    ++slot(now).repeats;
    return true;
}

std::uint32_t WindowedRetryBudget::used(Time now) {
    return sum(now).repeats;
}

} // namespace liftweir
