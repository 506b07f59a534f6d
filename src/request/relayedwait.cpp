// How long RelayedCall waits for an endpoint, for a response, and between two events.

#include "request/relayedcall.h"

#include <algorithm>

namespace liftweir {

namespace {

// A call that no endpoint accepts waits for its latency goal divided by this: long enough for a
// group that is about to open, short enough to leave the caller time for another attempt.
constexpr int HoldGoalDivisor = 5;
// While this host is still discovering endpoints, a call may wait for its time limit divided by
// this.
constexpr int HoldTimeLimitDivisor = 4;
// Callers abandon a stream after the longest of these pauses between two events: a fixed time, a
// number of latency goals or a number of pause goals. Liftweir tries to resume a broken stream
// until GapMargin before that.
constexpr Duration MinCallerGap = std::chrono::milliseconds(2000);
constexpr int CallerGapGoals = 4;
constexpr int CallerGapPauses = 8;
constexpr Duration GapMargin = std::chrono::milliseconds(150);
// A safe call without a response head is retried at another endpoint after this part of its goal.
constexpr double RetryAfterPartOfGoal = 0.6;

} // namespace

void RelayedCall::tick(Time now) {
    if (done_)
        return;
    if (now >= deadline_)
        out_of_time();
    else if (waiting_)
        keep_waiting(now);
    else if (response_overdue(now) && can_ask_another(now))
        ask_another("no response in time", now);
}

void RelayedCall::out_of_time() {
    if (!response_started_)
        count_demand(sends_ == 0 ? DemandEvent::Refused : DemandEvent::Abandoned);
    if (response_started_)
        abort_response("the time limit has passed");
    else if (sends_ == 0)
        refuse("the time limit has passed", RetryAfterNoGroup);
    else
        fail(504, "the time limit has passed");
}

void RelayedCall::keep_waiting(Time now) {
    if (refused_by_quarantine(now))
        return;
    const auto sent = send_to_best(now);
    if (sent)
        return;
    if (response_started_) {
        if (now - last_forwarded_ > max_event_gap())
            abort_response("no group can resume the stream");
        return;
    }
    if (now - received_ < max_wait(now))
        return;
    refuse_without_endpoint(sent.error(), now);
}

// Right after the start of this process most endpoints are not known yet.
Duration RelayedCall::max_wait(Time now) const {
    const Duration usual = plan_.route->latency_goal / HoldGoalDivisor;
    if (!host_.discovering_endpoints(now))
        return usual;
    return std::max(usual, (deadline_ - received_) / HoldTimeLimitDivisor);
}

Duration RelayedCall::max_event_gap() const {
    const Duration gap = std::max({MinCallerGap, CallerGapGoals * plan_.route->latency_goal,
                                   CallerGapPauses * plan_.route->pause_goal});
    return gap - GapMargin;
}

// Whether a safe call has had no response head for so long that another endpoint should get it.
bool RelayedCall::response_overdue(Time now) const {
    const Duration retry_after = scaled(plan_.route->latency_goal, RetryAfterPartOfGoal);
    return plan_.route->kind == CallKind::Safe && current_.head.status == 0 &&
           now - current_.sent_at > retry_after;
}

// A stream that is not read until its caller reads has no events for that reason alone.
void RelayedCall::stalled(const EndpointId& lead, Time now) {
    if (done_ || current_.endpoint != lead || current_.endpoint_waits || !may_repeat())
        return;
    if (can_ask_another(now))
        ask_another("the group stalled", now);
}

} // namespace liftweir
