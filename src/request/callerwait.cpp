#include "request/callerwait.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// Long enough for a few hundred calls, short enough to follow callers that change.
constexpr Duration WindowLength = std::chrono::seconds(10);
// Fewer calls than this say nothing about the others: a window goes on until it has as many.
constexpr std::uint32_t EnoughCalls = 20;
// Callers count their time down in steps, and a request takes some of it on its way.
constexpr double Tolerance = 0.97;
// A shorter limit than this part of the others' is a caller of another kind, not a later try.
constexpr double LeastPart = 0.4;
// Where fewer callers than this name the longest limit, they have limits of their own.
constexpr double LeastWhole = 0.3;

} // namespace

// Whoever would have come back sooner than anyone is told to has not been here before. The longest
// limit grows while the first calls come in, so that "whole" is an estimate.
void CallerWaitEstimator::count(Window& window, Duration patience) {
    ++window.total;
    if (patience > window.longest)
        window.longest = patience;
    if (patience >= scaled(window.longest, Tolerance))
        ++window.whole;
}

Duration CallerWaitEstimator::waited(const std::string& route, Duration patience, Duration timeout,
                                     Time now) {
    RouteWindows& windows = routes_[route];
    if (now - windows.begun > WindowLength && windows.now.total >= EnoughCalls) {
        windows.before = std::exchange(windows.now, {});
        windows.begun = now;
    }
    count(windows.now, patience);
    const Window& before = windows.before;
    const bool known = before.total >= EnoughCalls;
    if (known && before.whole < LeastWhole * before.total)
        return Duration::zero();
    const Duration limit = known ? std::max(before.longest, windows.now.longest) : timeout;
    if (limit - patience < SoonestReturn || patience < scaled(limit, LeastPart))
        return Duration::zero();
    return limit - patience;
}

} // namespace liftweir
