// Estimate of how long callers have been waiting since their first attempts.

#include "request/callerwait.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// Long enough for a few hundred calls, short enough to follow changes of the callers.
constexpr Duration WindowLength = std::chrono::seconds(10);
// Fewer calls than this are no basis for an estimate: a window lasts until it has this many.
constexpr std::uint32_t MinCalls = 20;
// Limits within this factor count as equal: callers count their time down in steps, and the
// transport of a request takes some of it.
constexpr double Tolerance = 0.97;
// A limit below this part of the longest one belongs to another kind of caller, not to a later
// attempt.
constexpr double MinPartOfLimit = 0.4;
// If fewer callers than this part state the longest limit, the callers have different limits and
// nothing can be concluded.
constexpr double MinFullPart = 0.3;

} // namespace

// The longest limit grows while the first calls arrive, so the count of full limits is an estimate.
void CallerWaitEstimator::count(Window& window, Duration time_limit) {
    ++window.total;
    if (time_limit > window.longest)
        window.longest = time_limit;
    if (time_limit >= scaled(window.longest, Tolerance))
        ++window.full;
}

// A caller whose limit is short by less than MinRetryDelay is at its first attempt: no rejection
// asks for a return sooner than that.
Duration CallerWaitEstimator::waited(const std::string& route, Duration time_limit,
                                     Duration timeout, Time now) {
    RouteWindows& windows = routes_[route];
    if (now - windows.started > WindowLength && windows.now.total >= MinCalls) {
        windows.previous = std::exchange(windows.now, {});
        windows.started = now;
    }
    count(windows.now, time_limit);
    const Window& previous = windows.previous;
    const bool known = previous.total >= MinCalls;
    if (known && previous.full < MinFullPart * previous.total)
        return Duration::zero();
    const Duration limit = known ? std::max(previous.longest, windows.now.longest) : timeout;
    if (limit - time_limit < MinRetryDelay || time_limit < scaled(limit, MinPartOfLimit))
        return Duration::zero();
    return limit - time_limit;
}

} // namespace liftweir
