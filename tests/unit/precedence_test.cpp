#include "request/precedence.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;

constexpr CallProgress Request{.waited = milliseconds(250),
                               .latency_goal = milliseconds(400),
                               .pause_goal = milliseconds(300)};

TEST(Precedence, WhoeverWaitedForHalfOfTheGoalLetsOthersGoFirst) {
    CallProgress call = Request;
    EXPECT_TRUE(is_bound_to_be_late(call));
    call.waited = milliseconds(150);
    EXPECT_FALSE(is_bound_to_be_late(call));
}

TEST(Precedence, AStreamThatStoodStillForItsPauseGoalLetsOthersGoFirst) {
    CallProgress call = Request;
    call.begun = true;
    call.stood_still = milliseconds(290);
    EXPECT_FALSE(is_bound_to_be_late(call));
    call.stood_still = milliseconds(310);
    EXPECT_TRUE(is_bound_to_be_late(call));
}

// Where the operators name no goal nothing is late.
TEST(Precedence, WithoutAGoalNobodyIsPutBehind) {
    CallProgress call = Request;
    call.latency_goal = call.pause_goal = Duration::zero();
    EXPECT_FALSE(is_bound_to_be_late(call));
    call.begun = true;
    call.stood_still = milliseconds(2000);
    EXPECT_FALSE(is_bound_to_be_late(call));
}

} // namespace
} // namespace liftweir
