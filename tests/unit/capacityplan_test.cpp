// Guards the numbers of groups against following anything but what callers ask for.

#include "process/capacityplan.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Domains = 3;
const std::vector<std::size_t> Hosts(Domains, 19);

ModelNeed large(double callers, double work) {
    return {"large", 8, callers, work, 11, seconds(16)};
}

ModelNeed small(double callers, double work) {
    return {"small", 4, callers, work, 10, seconds(12)};
}

TEST(CapacityPlan, ModelsGetGroupsByWhatIsAskedOfThem) {
    const GroupCounts plan = plan_groups({large(20, 1.1), small(150, 3.4)}, Hosts);
    EXPECT_EQ(plan.at("large"), 2u);
    EXPECT_EQ(plan.at("small"), 8u);
    const GroupCounts reversed = plan_groups({large(90, 4.2), small(40, 0.9)}, Hosts);
    EXPECT_GE(reversed.at("large"), 5u);
}

// A model with few callers keeps a group, whatever the others ask for.
TEST(CapacityPlan, EveryModelThatIsAskedForKeepsAGroup) {
    const GroupCounts plan = plan_groups({large(0.5, 0.02), small(900, 20)}, Hosts);
    EXPECT_GE(plan.at("large"), 1u);
    EXPECT_TRUE(
        best_move({large(0.5, 0.02), small(900, 20)}, {{"large", 1}, {"small", 9}}).from.empty());
}

TEST(CapacityPlan, AMoveGoesFromTheModelThatCanSpareAGroup) {
    const GroupMove move =
        best_move({large(20, 1.1), small(150, 3.4)}, {{"large", 3}, {"small", 5}});
    EXPECT_EQ(move.from, "large");
    EXPECT_EQ(move.to, "small");
    EXPECT_EQ(move.gained, 2u);
    EXPECT_GT(move.callers_gained, 0);
}

// With both models short, a move only changes whose callers are refused.
TEST(CapacityPlan, NoModelIsMadeWorseOffThanOneThatIsNotMoreUrgent) {
    ModelNeed equally_urgent = large(30, 1.6);
    equally_urgent.urgency = 10;
    EXPECT_TRUE(
        best_move({equally_urgent, small(130, 3.0)}, {{"large", 2}, {"small", 4}}).from.empty());
    EXPECT_EQ(best_move({large(20, 1.1), small(150, 3.4)}, {{"large", 2}, {"small", 4}}).from,
              "large");
}

TEST(CapacityPlan, NoMoveWhereBothModelsAreServed) {
    EXPECT_TRUE(
        best_move({large(20, 0.5), small(20, 0.5)}, {{"large", 3}, {"small", 6}}).from.empty());
}

// A load takes 12 to 16 s, longer than a burst of callers lasts.
TEST(CapacityPlan, DemandThatGoesBackAndForthMovesNothing) {
    SmoothedDemand demand;
    int moves = 0;
    Time now{seconds(100)};
    for (int n = 0; n < 400; ++n, now += milliseconds(100)) {
        const bool swapped = (n / 40) % 2 == 1;
        demand.update(large(swapped ? 24 : 16, swapped ? 1.3 : 0.9), now);
        demand.update(small(swapped ? 60 : 140, swapped ? 1.4 : 3.2), now);
        if (!demand.known(now))
            continue;
        const GroupMove move =
            best_move({demand.smoothed(large(0, 0)), demand.smoothed(small(0, 0))},
                      {{"large", 3}, {"small", 6}});
        moves += move.from.empty() ? 0 : 1;
    }
    EXPECT_EQ(moves, 0);
}

TEST(SmoothedDemand, FollowsALastingShiftWithinItsSmoothingTime) {
    SmoothedDemand demand;
    Time now{seconds(100)};
    const auto run = [&](double work, Duration time) {
        for (const Time until = now + time; now < until; now += milliseconds(150))
            demand.update(small(10 * work, work), now);
    };
    run(1, seconds(30));
    EXPECT_NEAR(demand.smoothed(small(0, 0)).work, 1, 0.05);
    run(4, seconds(20));
    EXPECT_GT(demand.smoothed(small(0, 0)).work, 3.3);
}

} // namespace
} // namespace liftweir
