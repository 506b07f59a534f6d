#include "process/admissionlog.h"
#include "process/admissionplan.h"
#include "request/admissionlevels.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace liftweir {
namespace {

// A token of a prompt takes a millisecond, so a thousand per second keep one group busy.
EngineCost engine() {
    EngineCost cost;
    cost.models = {{.name = "small"}, {.name = "large"}};
    return cost;
}

const std::map<std::string, EngineCost> Engines{{"llm", engine()}};

ModelDemand asks(const std::string& model, std::uint32_t urgency, double groups,
                 const std::string& customer = "") {
    ModelDemand line;
    line.service = "llm";
    line.model = model;
    line.urgency = urgency;
    line.customer = customer;
    line.requests = 10 * groups;
    line.prompt_tokens = 1000 * groups;
    return line;
}

ModelSupply open_groups(const std::string& model, double groups) {
    ModelSupply supply;
    supply.service = "llm";
    supply.model = model;
    supply.groups = groups;
    return supply;
}

std::vector<AdmissionLevel> planned(const std::vector<ModelDemand>& demand,
                                    const std::vector<ModelSupply>& supply) {
    AdmissionPlanner planner;
    return planner.plan(demand, supply, Engines);
}

double part_of_customer(const AdmissionLevel& level, const std::string& customer) {
    for (const CustomerPart& line : level.customers)
        if (line.customer == customer)
            return line.part;
    return level.part;
}

// Guards against refusals while the groups can bear the load.
TEST(AdmissionPlan, HasNoLevelsWithoutOverload) {
    EXPECT_TRUE(planned({asks("small", 0, 2.0)}, {open_groups("small", 3)}).empty());
    EXPECT_TRUE(planned({asks("small", 0, 2.2)}, {open_groups("small", 3)}).empty());
    EXPECT_TRUE(planned({}, {open_groups("small", 3)}).empty());
}

// Guards against a plan for a model whose supply is not known, or that has no open group.
TEST(AdmissionPlan, HasNoLevelsWithoutKnownGroups) {
    EXPECT_TRUE(planned({asks("small", 0, 9)}, {}).empty());
    EXPECT_TRUE(planned({asks("small", 0, 9)}, {open_groups("small", 0)}).empty());
    EXPECT_TRUE(planned({asks("unknown", 0, 9)}, {open_groups("unknown", 1)}).empty());
}

// Equal urgency and no customer lines: one part for all.
TEST(AdmissionPlan, AdmitsHalfOfADoubledClass) {
    const auto levels = planned({asks("small", 0, 4.2)}, {open_groups("small", 3)});
    ASSERT_EQ(levels.size(), 1u);
    EXPECT_EQ(levels[0].urgency, 0u);
    EXPECT_NEAR(levels[0].part, 0.5, 1e-9);
    EXPECT_NEAR(levels[0].load, 2, 1e-9);
    EXPECT_TRUE(levels[0].customers.empty());
    EXPECT_EQ(levels[0].opens_in_ms, 0u);
}

// Guards against an overload that starts and ends with each variation of the rates.
TEST(AdmissionPlan, EndsBelowTheLoadAtWhichItStarts) {
    AdmissionPlanner planner;
    const std::vector<ModelSupply> supply{open_groups("small", 10)};
    EXPECT_TRUE(planner.plan({asks("small", 0, 7.4)}, supply, Engines).empty());
    EXPECT_FALSE(planner.plan({asks("small", 0, 8)}, supply, Engines).empty());
    EXPECT_FALSE(planner.plan({asks("small", 0, 7.4)}, supply, Engines).empty());
    const auto below = planner.plan({asks("small", 0, 6.8)}, supply, Engines);
    ASSERT_EQ(below.size(), 1u);
    EXPECT_EQ(below[0].part, 1);
    EXPECT_TRUE(planner.plan({asks("small", 0, 6.5)}, supply, Engines).empty());
    EXPECT_TRUE(planner.plan({asks("small", 0, 7.4)}, supply, Engines).empty());
}

// Guards against a burst of less urgent requests that takes groups from more urgent ones.
TEST(AdmissionPlan, ServesTheMoreUrgentFirstOnASharedModel) {
    for (const double burst : {2.0, 5.0, 20.0}) {
        const auto levels =
            planned({asks("large", 2, burst), asks("large", 1, 1.4)}, {open_groups("large", 3)});
        ASSERT_EQ(levels.size(), 1u);
        EXPECT_EQ(levels[0].urgency, 2u);
        EXPECT_NEAR(levels[0].part, 0.7 / burst, 1e-9);
    }
    const auto levels =
        planned({asks("large", 2, 1), asks("large", 1, 4.2)}, {open_groups("large", 3)});
    ASSERT_EQ(levels.size(), 1u);
    EXPECT_EQ(levels[0].urgency, 1u);
    EXPECT_NEAR(levels[0].part, 0.5, 1e-9);
}

// Guards against a class that is refused because of another model's overload.
TEST(AdmissionPlan, LeavesClassesOfOtherModelsAlone) {
    const auto levels = planned({asks("small", 0, 8), asks("large", 1, 1)},
                                {open_groups("small", 3), open_groups("large", 3)});
    ASSERT_EQ(levels.size(), 1u);
    EXPECT_EQ(levels[0].model, "small");
}

// Guards against a customer that gets more by asking for more.
TEST(AdmissionPlan, GreedyCustomerGetsNoMoreThanTheRestLeave) {
    std::vector<ModelDemand> demand{asks("small", 0, 3.3), asks("small", 0, 1.0, "greedy")};
    for (int n = 0; n < 23; ++n)
        demand.push_back(asks("small", 0, 0.1, "c" + std::to_string(n)));
    const auto levels = planned(demand, {open_groups("small", 4)});
    ASSERT_EQ(levels.size(), 1u);
    double sum = 0;
    double worst = 1;
    for (int n = 0; n < 23; ++n) {
        const double part = part_of_customer(levels[0], "c" + std::to_string(n));
        sum += part;
        worst = std::min(worst, part);
    }
    EXPECT_GE(worst, 0.9 * sum / 23);
    EXPECT_NEAR(worst, 1, 1e-9);
    EXPECT_NEAR(part_of_customer(levels[0], "greedy"), 2.8 - 2.3, 1e-9);
}

// Where even equal shares are too much, the greedy customer gets the work that each other one gets.
TEST(AdmissionPlan, GreedyCustomerGetsAnEqualShareOfTooLittle) {
    std::vector<ModelDemand> demand{asks("small", 0, 3.3), asks("small", 0, 1.0, "greedy")};
    for (int n = 0; n < 23; ++n)
        demand.push_back(asks("small", 0, 0.1, "c" + std::to_string(n)));
    const auto levels = planned(demand, {open_groups("small", 2)});
    ASSERT_EQ(levels.size(), 1u);
    EXPECT_NEAR(part_of_customer(levels[0], "c5"), 1.4 / 24 / 0.1, 1e-9);
    EXPECT_NEAR(part_of_customer(levels[0], "greedy"), 1.4 / 24, 1e-9);
}

// Only a quarter of the hosts name customers yet: the others must not be refused for lack of lines.
TEST(AdmissionPlan, UnnamedCustomersGetWhatNamedOnesGet) {
    std::vector<ModelDemand> demand{asks("small", 0, 2.8)};
    for (int n = 0; n < 6; ++n)
        demand.push_back(asks("small", 0, 0.1, "c" + std::to_string(n)));
    const auto levels = planned(demand, {open_groups("small", 2)});
    ASSERT_EQ(levels.size(), 1u);
    EXPECT_NEAR(levels[0].part, 0.5, 1e-6);
    EXPECT_NEAR(part_of_customer(levels[0], "c3"), 0.5, 1e-6);
}

// Guards against capacity that stays idle because its customers do not ask for it.
TEST(AdmissionPlan, UnusedRoomGoesToWhoeverAsks) {
    const auto levels = planned({asks("small", 0, 3.4), asks("small", 0, 0.1, "a"),
                                 asks("small", 0, 0.3, "b"), asks("small", 0, 3.0, "c")},
                                {open_groups("small", 3)});
    ASSERT_EQ(levels.size(), 1u);
    EXPECT_EQ(part_of_customer(levels[0], "a"), 1);
    EXPECT_EQ(part_of_customer(levels[0], "b"), 1);
    EXPECT_NEAR(part_of_customer(levels[0], "c") * 3.0, 2.1 - 0.4, 1e-9);
}

// Guards against a plan that prefers small requests: customers with equal work are admitted
// equally, whatever the size of their requests.
TEST(AdmissionPlan, AdmitsLargeRequestsAsOftenAsSmallOnes) {
    ModelDemand large = asks("small", 0, 2, "large requests");
    large.requests = 2;
    ModelDemand small = asks("small", 0, 2, "small requests");
    small.requests = 200;
    const auto levels = planned({asks("small", 0, 4), large, small}, {open_groups("small", 3)});
    ASSERT_EQ(levels.size(), 1u);
    EXPECT_EQ(part_of_customer(levels[0], "large requests"),
              part_of_customer(levels[0], "small requests"));
    EXPECT_NEAR(part_of_customer(levels[0], "large requests"), 2.1 / 4, 1e-9);
}

TEST(AdmissionPlan, AnnouncesTheNextGroup) {
    ModelSupply supply = open_groups("small", 1);
    supply.opening = true;
    supply.opens_in = std::chrono::milliseconds(1800);
    EXPECT_EQ(planned({asks("small", 0, 2)}, {supply}).at(0).opens_in_ms, 1800u);
    supply.opens_in = Duration::zero();
    EXPECT_EQ(planned({asks("small", 0, 2)}, {supply}).at(0).opens_in_ms, 1u);
}

// Guards against a log that grows with each plan, and against a change that an operator misses.
TEST(AdmissionLog, ShowsChangesOfUrgencyAndOfATenth) {
    AdmissionLevel level;
    level.model = "small";
    level.part = 0.5;
    AdmissionLog log;
    EXPECT_EQ(log.note({level}), 1u);
    level.part = 0.55;
    level.load = 1.9;
    EXPECT_EQ(log.note({level}), 0u);
    level.part = 0.61;
    EXPECT_EQ(log.note({level}), 1u);
    level.urgency = 1;
    EXPECT_EQ(log.note({level}), 1u);
    EXPECT_EQ(log.note({}), 1u);
    EXPECT_EQ(log.note({}), 0u);
}

// Guards against a total that drifts because each entry host draws for itself.
TEST(AdmissionPlan, FractionHoldsOverManyEntryHosts) {
    const auto levels = planned({asks("small", 0, 4.2)}, {open_groups("small", 3)});
    constexpr Time Now = Time{} + std::chrono::seconds(100);
    int admitted = 0;
    constexpr int PerHost = 1000;
    for (unsigned host = 0; host < 16; ++host) {
        AdmissionLevels at_entry;
        at_entry.store(levels, Now);
        std::minstd_rand random(host + 1);
        for (int n = 0; n < PerHost; ++n)
            admitted += at_entry.admits("llm", "small", 0, "c",
                                        std::uniform_real_distribution<double>()(random), Now)
                            ? 1
                            : 0;
    }
    EXPECT_NEAR(admitted, 16 * PerHost / 2, 16 * PerHost / 2 * 0.03);
}

} // namespace
} // namespace liftweir
