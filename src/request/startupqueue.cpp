#include "request/startupqueue.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// Covers the election of a leader after a loss of power; a refusal after it leaves time for another
// try.
constexpr Duration LongestHold = std::chrono::milliseconds(1500);
// A caller that waits for a short while only is told sooner.
constexpr int HoldPartOfPatience = 4;
// Bounds the memory that held requests take.
constexpr std::size_t MostHeld = 1000;

} // namespace

bool StartupQueue::take(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request,
                        Time now) {
    if (held_.size() >= MostHeld)
        return false;
    const Duration hold = request.time_limit
                              ? std::min(LongestHold, *request.time_limit / HoldPartOfPatience)
                              : LongestHold;
    const auto gone = std::make_shared<bool>(false);
    exchange->on_disconnect([gone] { *gone = true; });
    held_.push_back({{exchange, request, now + hold}, gone});
    return true;
}

std::vector<StartupQueue::QueuedRequest> StartupQueue::release() {
    std::vector<QueuedRequest> out;
    for (Entry& entry : std::exchange(held_, {}))
        if (!*entry.gone)
            out.push_back(std::move(entry.held));
    return out;
}

std::vector<StartupQueue::QueuedRequest> StartupQueue::expired(Time now) {
    std::vector<QueuedRequest> out;
    std::vector<Entry> still;
    for (Entry& entry : std::exchange(held_, {})) {
        if (*entry.gone)
            continue;
        if (now >= entry.held.until)
            out.push_back(std::move(entry.held));
        else
            still.push_back(std::move(entry));
    }
    held_ = std::move(still);
    return out;
}

} // namespace liftweir
