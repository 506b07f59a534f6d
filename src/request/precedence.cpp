// Choice of the requests with low priority.

#include "request/precedence.h"

namespace liftweir {

namespace {

// At a group with its usual load, the first event takes about half of the goal: a caller that has
// waited for more than the other half is served late.
constexpr int LowPriorityGoalDivisor = 2;

} // namespace

// The streams of a lost group are late as soon as the loss is detected, but their callers wait for
// seconds. If their prompts were prefilled first, new requests would become late as well. A caller
// with a booking is late too, but a second refusal would leave it without any answer.
bool is_bound_to_be_late(const CallProgress& call) {
    if (call.streaming)
        return call.pause_goal > Duration::zero() && call.stalled_for > call.pause_goal;
    if (call.booked)
        return false;
    return call.latency_goal > Duration::zero() &&
           call.waited > call.latency_goal / LowPriorityGoalDivisor;
}

} // namespace liftweir
