// Budget for retries in a sliding window.

#include "request/windowedretrybudget.h"

#include <algorithm>

namespace liftweir {

namespace {

// The rest covers requests and retries that are slow on their way, and clocks that differ.
constexpr double UsedPart = 0.97;
// The budget of a window counts the requests of that window or of the one before it, whichever are
// more, at all hosts together. Their mean is never more, and is a sum over the requests of each
// host: the means of all hosts add up to that of all requests, wherever callers move and processes
// start.
constexpr double RequestPart = 0.5;

} // namespace

WindowedRetryBudget::WindowedRetryBudget(Duration window, double ratio, std::uint32_t slack)
    : window_(window), ratio_(ratio), slack_(slack) {}

std::int64_t WindowedRetryBudget::number_at(Time now) const {
    return now.time_since_epoch() / (window_ / Slots);
}

WindowedRetryBudget::Slot& WindowedRetryBudget::slot(Time now) {
    const std::int64_t number = number_at(now);
    Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
    if (slot.number < number)
        slot = {number, 0, 0};
    return slot;
}

WindowedRetryBudget::Slot WindowedRetryBudget::at(std::int64_t number) const {
    const Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
    return slot.number == number ? slot : Slot{number, 0, 0};
}

void WindowedRetryBudget::request(Time now) {
    ++slot(now).requests;
}

void WindowedRetryBudget::set_share(double share, Time until) {
    share_ = share;
    share_until_ = until;
}

// The budget holds for each window that contains a retry sent now: those that began in any of the
// last slots. A window that began in a slot contains at most the retries since the beginning of
// that slot; it and the window before it contain at least the requests of the whole slots since.
double WindowedRetryBudget::left(Time now) const {
    const std::int64_t last = number_at(now);
    const double fixed = share(now) * slack_;
    std::uint32_t retries = 0;
    std::uint32_t requests = 0;
    for (std::int64_t n = last; n > last - Slots; --n)
        requests += at(n).requests;
    double least = UsedPart * (RequestPart * ratio_ * requests + fixed);
    for (std::int64_t begin = last; begin > last - RetrySlots; --begin) {
        retries += at(begin).retries;
        least = std::min(least, UsedPart * (RequestPart * ratio_ * requests + fixed) - retries);
        requests += at(begin - Slots).requests;
    }
    return least;
}

bool WindowedRetryBudget::take(Time now) {
    if (!has_left(now))
        return false;
    ++slot(now).retries;
    return true;
}

std::uint32_t WindowedRetryBudget::used(Time now) const {
    const std::int64_t last = number_at(now);
    std::uint32_t retries = 0;
    for (std::int64_t n = last; n > last - Slots; --n)
        retries += at(n).retries;
    return retries;
}

} // namespace liftweir
