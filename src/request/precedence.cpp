#include "request/precedence.h"

namespace liftweir {

namespace {

// A first event takes about half of the goal where a group has its usual work: whoever has waited
// for longer than the other half is going to be late.
constexpr int YieldAfterPartOfGoal = 2;

} // namespace

// The streams of a group that was lost are late as soon as that is noticed, and their callers stay
// for seconds. Their prompts are read anew at the groups that are left: half a second of a group's
// time, in which new requests would be late or refused. In time are 0.50 of the longer requests of
// a model whose two groups are lost in turn every 4.5 s, and 0.43 where such streams go first
// (played in virtual time).
bool lets_others_go_first(const CallProgress& call) {
    if (call.begun)
        return call.pause_goal > Duration::zero() && call.stood_still > call.pause_goal;
    return call.latency_goal > Duration::zero() &&
           call.waited > call.latency_goal / YieldAfterPartOfGoal;
}

} // namespace liftweir
