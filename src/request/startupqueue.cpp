// Queue for requests that arrive before the first settings.

#include "request/startupqueue.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// Long enough for the election of a leader after a power failure, and short enough to leave a
// rejected caller time for another attempt.
constexpr Duration MaxHold = std::chrono::milliseconds(1500);
// A request with a short time limit is held for its time limit divided by this.
constexpr int HoldTimeLimitDivisor = 4;
// Limits the memory of queued requests.
constexpr std::size_t MaxQueued = 1000;

} // namespace

bool StartupQueue::add(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request,
                       Time now) {
    if (queued_.size() >= MaxQueued)
        return false;
    const Duration hold_time = request.time_limit
                                   ? std::min(MaxHold, *request.time_limit / HoldTimeLimitDivisor)
                                   : MaxHold;
    const auto disconnected = std::make_shared<bool>(false);
    exchange->on_disconnect([disconnected] { *disconnected = true; });
    queued_.push_back({{exchange, request, now + hold_time}, disconnected});
    return true;
}

std::vector<StartupQueue::QueuedRequest> StartupQueue::release() {
    std::vector<QueuedRequest> out;
    for (Entry& entry : std::exchange(queued_, {}))
        if (!*entry.disconnected)
            out.push_back(std::move(entry.queued));
    return out;
}

std::vector<StartupQueue::QueuedRequest> StartupQueue::expired(Time now) {
    std::vector<QueuedRequest> out;
    std::vector<Entry> still;
    for (Entry& entry : std::exchange(queued_, {})) {
        if (*entry.disconnected)
            continue;
        if (now >= entry.queued.until)
            out.push_back(std::move(entry.queued));
        else
            still.push_back(std::move(entry));
    }
    queued_ = std::move(still);
    return out;
}

} // namespace liftweir
