// What the planner announces as the supply of each model.

#include "unit/plannerfleet.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::seconds;

ModelSupply supply_of(Fleet& fleet, const std::string& model) {
    for (const ModelSupply& supply : fleet.planner.supply(fleet.registry, fleet.now))
        if (supply.model == model)
            return supply;
    return {};
}

struct PlannerSupply : testing::Test {
    PlannerSupply() {
        for (auto& [id, endpoint] : fleet.endpoints)
            endpoint.report.zone = "zone-" + endpoint.report.domain;
        fleet.planner.configure(pairs_and_fours());
        fleet.planner.take_over(1, fleet.now);
    }

    Fleet fleet{2, 12};
};

// Guards against admission by groups that are not open, and a first group that is not announced.
TEST_F(PlannerSupply, CountsOpenGroupsAndAnnouncesFormingOnes) {
    while (!supply_of(fleet, "big").opening && fleet.now < Time{} + seconds(200))
        fleet.step();
    EXPECT_EQ(supply_of(fleet, "big").groups, 0);
    const Time expected = fleet.now + supply_of(fleet, "big").opens_in;
    EXPECT_GT(expected, fleet.now);
    while (fleet.open("big") == 0 && fleet.now < Time{} + seconds(200))
        fleet.step();
    EXPECT_LE(fleet.now, expected + seconds(2));
    fleet.run(seconds(60));
    EXPECT_GT(fleet.open("big"), 0u);
    EXPECT_EQ(supply_of(fleet, "big").groups, static_cast<double>(fleet.open("big")));
    EXPECT_EQ(supply_of(fleet, "small").groups, static_cast<double>(fleet.open("small")));
    EXPECT_FALSE(supply_of(fleet, "big").opening);
    EXPECT_EQ(supply_of(fleet, "big").service, "llm");
}

// Guards against capacity of groups that get no requests.
TEST_F(PlannerSupply, LeavesOutZonesOutOfUse) {
    fleet.run(seconds(60));
    ASSERT_GT(supply_of(fleet, "big").groups, 0);
    fleet.planner.set_zones_out_of_use({"zone-d0", "zone-d1"});
    EXPECT_EQ(supply_of(fleet, "big").groups, 0);
    EXPECT_EQ(supply_of(fleet, "small").groups, 0);
    fleet.planner.set_zones_out_of_use({});
    EXPECT_GT(supply_of(fleet, "big").groups, 0);
}

// Guards against capacity of a group whose lead has missed two heartbeats.
TEST_F(PlannerSupply, LeavesOutLostLeads) {
    fleet.run(seconds(60));
    const double before = supply_of(fleet, "small").groups;
    ASSERT_GT(before, 0);
    fleet.lead_of("small").unreachable = true;
    const Time lost = fleet.now;
    while (supply_of(fleet, "small").groups == before && fleet.now - lost < seconds(10))
        fleet.step();
    EXPECT_EQ(supply_of(fleet, "small").groups, before - 1);
    EXPECT_LT(fleet.now - lost, seconds(5));
}

} // namespace
} // namespace liftweir
