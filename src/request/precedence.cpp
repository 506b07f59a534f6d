#include "request/precedence.h"

namespace liftweir {

namespace {

// A first event takes about half of the goal where a group has its usual work: whoever has waited
// for longer than the other half is going to be late.
constexpr int YieldAfterPartOfGoal = 2;

} // namespace

// The streams of a group that was lost are late as soon as that is noticed, and their callers stay
// for seconds. Reading their prompts anew first would make new requests late as well.
bool is_bound_to_be_late(const CallProgress& call) {
    if (call.begun)
        return call.pause_goal > Duration::zero() && call.stood_still > call.pause_goal;
    return call.latency_goal > Duration::zero() &&
           call.waited > call.latency_goal / YieldAfterPartOfGoal;
}

} // namespace liftweir
