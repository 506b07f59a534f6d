#include "request/precedence.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;

constexpr CallProgress Request{.waited = milliseconds(250),
                               .latency_goal = milliseconds(400),
                               .pause_goal = milliseconds(300)};

TEST(Precedence, RequestGetsLowPriorityAfterHalfOfTheGoal) {
    CallProgress call = Request;
    EXPECT_TRUE(is_bound_to_be_late(call));
    call.waited = milliseconds(150);
    EXPECT_FALSE(is_bound_to_be_late(call));
}

TEST(Precedence, StreamGetsLowPriorityAfterAStallOfItsPauseGoal) {
    CallProgress call = Request;
    call.streaming = true;
    call.stalled_for = milliseconds(290);
    EXPECT_FALSE(is_bound_to_be_late(call));
    call.stalled_for = milliseconds(310);
    EXPECT_TRUE(is_bound_to_be_late(call));
}

// A route without a goal has no late requests.
TEST(Precedence, WithoutAGoalNoRequestGetsLowPriority) {
    CallProgress call = Request;
    call.latency_goal = call.pause_goal = Duration::zero();
    EXPECT_FALSE(is_bound_to_be_late(call));
    call.streaming = true;
    call.stalled_for = milliseconds(2000);
    EXPECT_FALSE(is_bound_to_be_late(call));
}

} // namespace
} // namespace liftweir
