// Booking of retries by model and tenth of a second.

#include "request/appointments.h"

#include "request/callerwait.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

constexpr Duration Tenth = std::chrono::milliseconds(100);
// Callers honour a Retry-After up to their time left divided by this.
constexpr int MaxPartOfTimeLeft = 3;
// Below MinRetryDelay by the error of a time limit that callers state in steps.
constexpr Duration MinReturn = std::chrono::milliseconds(900);
// A booked caller returns this much before a third of its time limit, so that the delay of its
// request does not make it look like one without a booking.
constexpr Duration ReturnMargin = std::chrono::milliseconds(50);

std::int64_t tenth_of(Time time) {
    return time.time_since_epoch() / Tenth;
}

Time begin_of(std::int64_t tenth) {
    return Time{} + tenth * Tenth;
}

// Rates are rarely a multiple of ten per second: the fractions are spread over the tenths, so that
// the sum over a second is right.
std::uint32_t capacity_of(std::int64_t tenth, double per_second) {
    const double per_tenth = per_second / 10;
    const auto number = static_cast<double>(tenth % 1000);
    return static_cast<std::uint32_t>(std::floor((number + 1) * per_tenth) -
                                      std::floor(number * per_tenth));
}

} // namespace

CallerReturn classify_return(Duration waited, Duration time_left) {
    if (time_left <= Duration::zero() || waited < MinReturn)
        return CallerReturn::New;
    return MaxPartOfTimeLeft * waited < waited + time_left ? CallerReturn::Booked
                                                           : CallerReturn::Waited;
}

std::uint32_t& RetryBook::at(Ring& ring, std::int64_t tenth) {
    return ring.booked[static_cast<std::size_t>(tenth) % Tenths];
}

void RetryBook::advance(Ring& ring, std::int64_t first) {
    const std::int64_t expired = std::min<std::int64_t>(first - ring.first, Tenths);
    for (std::int64_t tenth = first - expired; tenth < first; ++tenth)
        at(ring, tenth) = 0;
    ring.first = std::max(ring.first, first);
}

// The draw places the retry inside its tenth, so that callers do not return together. The first
// tenth is the one that begins at the shortest delay or later, and never a part of one.
BookedRetry RetryBook::book(const RetryRequest& request, Time now) {
    std::erase_if(rings_, [now](const auto& item) {
        return item.second.first + static_cast<std::int64_t>(Tenths) < tenth_of(now);
    });
    Ring& ring = rings_[request.model];
    advance(ring, tenth_of(now));
    const Duration longest =
        std::max(request.time_left / MaxPartOfTimeLeft, CallerWaitEstimator::MinRetryDelay);
    const Duration limit = request.waited + request.time_left;
    const Duration latest = limit / MaxPartOfTimeLeft - request.waited - ReturnMargin;
    const Duration earliest = std::max(CallerWaitEstimator::MinRetryDelay, request.opens_in);
    const bool new_caller = request.waited < MinReturn;
    const std::int64_t end = ring.first + static_cast<std::int64_t>(Tenths);
    for (std::int64_t tenth = tenth_of(now + earliest - Duration(1)) + 1;
         new_caller && tenth < end && begin_of(tenth + 1) - now <= latest; ++tenth) {
        const double per_second =
            request.opens_in > Duration::zero() ? request.per_second_once_open : request.per_second;
        if (at(ring, tenth) >= capacity_of(tenth, per_second))
            continue;
        ++at(ring, tenth);
        return {begin_of(tenth) - now + scaled(Tenth, request.draw), true};
    }
    return {longest, false};
}

double RetryBook::due(const std::string& model, Time now) const {
    const auto found = rings_.find(model);
    if (found == rings_.end())
        return 0;
    const Ring& ring = found->second;
    const auto in_tenth = [&](std::int64_t tenth) {
        const bool inside =
            tenth >= ring.first && tenth < ring.first + static_cast<std::int64_t>(Tenths);
        return inside ? ring.booked[static_cast<std::size_t>(tenth) % Tenths] : 0;
    };
    const std::int64_t tenth = tenth_of(now);
    const double passed =
        std::chrono::duration<double>(now - begin_of(tenth)) / std::chrono::duration<double>(Tenth);
    return (1 - passed) * in_tenth(tenth) + passed * in_tenth(tenth + 1);
}

} // namespace liftweir
