// How long RelayedCall waits: for an endpoint, for an answer, and between two events.

#include "request/relayedcall.h"

#include <algorithm>

namespace liftweir {

namespace {

// A call that no endpoint takes is held for this part of its latency goal: long enough for a group
// that is just being put together, short enough that a refusal leaves time for another try.
constexpr int HoldPartOfGoal = 5;
// While endpoints are about to be heard of, it may wait for this part of the time it has.
constexpr int HoldPartOfPatience = 4;
// Callers give a stream up after the longest of these; liftweir goes on trying until just before.
constexpr Duration CallerGap = std::chrono::milliseconds(2000);
constexpr int CallerGapGoals = 4;
constexpr int CallerGapPauses = 8;
constexpr Duration GapMargin = std::chrono::milliseconds(150);
// A safe call without an answer is sent elsewhere after this part of its latency goal.
constexpr double RepeatAfterGoal = 0.6;

} // namespace

void RelayedCall::tick(Time now) {
    if (done_)
        return;
    if (now >= deadline_)
        out_of_time();
    else if (waiting_)
        wait_on(now);
    else if (overdue(now) && takes_another(now))
        on_broken("no answer in time");
}

void RelayedCall::out_of_time() {
    if (begun_)
        cut("out of time");
    else if (sends_ == 0)
        refuse("out of time", RetryAfterNoGroup);
    else
        fail(504, "out of time");
}

void RelayedCall::wait_on(Time now) {
    if (refused_by_quarantine(now))
        return;
    const auto sent = send_to_best(now);
    if (sent)
        return;
    if (begun_) {
        if (now - last_passed_ > patience_between_events())
            cut("no group can resume the stream");
        return;
    }
    if (now - received_ < longest_wait(now))
        return;
    refuse_unpicked(sent.error(), now);
}

// Right after the start of this host most endpoints are about to be heard of.
Duration RelayedCall::longest_wait(Time now) const {
    const Duration usual = plan_.route->latency_goal / HoldPartOfGoal;
    if (!host_.discovering_endpoints(now))
        return usual;
    return std::max(usual, (deadline_ - received_) / HoldPartOfPatience);
}

Duration RelayedCall::patience_between_events() const {
    const Duration gap = std::max({CallerGap, CallerGapGoals * plan_.route->latency_goal,
                                   CallerGapPauses * plan_.route->pause_goal});
    return gap - GapMargin;
}

// Whether a safe call has gone without a head for so long that another endpoint should get it.
bool RelayedCall::overdue(Time now) const {
    const Duration repeat_after = scaled(plan_.route->latency_goal, RepeatAfterGoal);
    return plan_.route->kind == CallKind::Safe && head_.status == 0 && now - sent_ > repeat_after &&
           runs_ + 1 < runs_allowed();
}

void RelayedCall::stalled(const EndpointId& lead, Time now) {
    if (done_ || endpoint_ != lead || !plan_.route->repeatable() || runs_ + 1 >= runs_allowed())
        return;
    if (takes_another(now))
        on_broken("the group stalled");
}

} // namespace liftweir
