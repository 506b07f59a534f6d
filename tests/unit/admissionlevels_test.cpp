#include "request/admissionlevels.h"
#include "request/modeldemand.h"
#include "request/urgencyranks.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);

AdmissionLevel level() {
    AdmissionLevel level;
    level.service = "llm";
    level.model = "large";
    level.urgency = 1;
    level.part = 0.6;
    level.customers = {{"greedy", 0.1}, {"modest", 1}};
    level.opens_in_ms = 1500;
    level.load = 1.8;
    return level;
}

AdmissionLevels stored() {
    AdmissionLevels levels;
    levels.store({level()}, Start);
    return levels;
}

TEST(AdmissionLevels, AdmitsByUrgencyThenByPart) {
    const AdmissionLevels levels = stored();
    EXPECT_TRUE(levels.admits("llm", "large", 0, "greedy", 0.99, Start));
    EXPECT_TRUE(levels.admits("llm", "large", 1, "other", 0.59, Start));
    EXPECT_FALSE(levels.admits("llm", "large", 1, "other", 0.61, Start));
    EXPECT_FALSE(levels.admits("llm", "large", 2, "modest", 0, Start));
    EXPECT_TRUE(levels.admits("llm", "large", 1, "modest", 1.0, Start));
    EXPECT_TRUE(levels.admits("llm", "large", 1, "greedy", 0.09, Start));
    EXPECT_FALSE(levels.admits("llm", "large", 1, "greedy", 0.11, Start));
}

// Guards against refusals of models and services that are not overloaded.
TEST(AdmissionLevels, AdmitsAllOfOtherModels) {
    const AdmissionLevels levels = stored();
    EXPECT_TRUE(levels.admits("llm", "small", 9, "greedy", 1.0, Start));
    EXPECT_TRUE(levels.admits("other", "large", 9, "greedy", 1.0, Start));
}

TEST(AdmissionLevels, NamesTheReason) {
    const AdmissionLevels levels = stored();
    EXPECT_EQ(levels.refusal("llm", "large", 1, "greedy", 0.5, Start), AdmissionRefusal::Share);
    EXPECT_EQ(levels.refusal("llm", "large", 1, "other", 0.9, Start), AdmissionRefusal::Urgency);
    EXPECT_EQ(levels.refusal("llm", "large", 2, "greedy", 0.5, Start), AdmissionRefusal::Urgency);
}

// The leader is lost: the last plan holds for two seconds, then the host's own view decides.
TEST(AdmissionLevels, PlanExpires) {
    const AdmissionLevels levels = stored();
    const Time last = Start + milliseconds(1999);
    EXPECT_FALSE(levels.admits("llm", "large", 2, "other", 0, last));
    EXPECT_GT(levels.load("llm", "large", last), 0);
    EXPECT_TRUE(levels.admits("llm", "large", 2, "other", 0.99, Start + seconds(2)));
    EXPECT_EQ(levels.load("llm", "large", Start + seconds(2)), 0);
    EXPECT_EQ(levels.opens_in("llm", "large", Start + seconds(2)), Duration::zero());
}

TEST(AdmissionLevels, EmptyPlanEndsTheOverload) {
    AdmissionLevels levels = stored();
    levels.store({}, Start + milliseconds(500));
    EXPECT_TRUE(levels.admits("llm", "large", 9, "greedy", 1.0, Start + milliseconds(500)));
}

// Guards against a retry time that is counted from when the plan is read, not from its receipt.
TEST(AdmissionLevels, TimeUntilTheNextGroupRunsDown) {
    const AdmissionLevels levels = stored();
    EXPECT_EQ(levels.opens_in("llm", "large", Start + milliseconds(500)), milliseconds(1000));
    EXPECT_GT(levels.opens_in("llm", "large", Start + milliseconds(1800)), Duration::zero());
    EXPECT_EQ(levels.opens_in("llm", "small", Start), Duration::zero());
}

// ---- engine priorities

// Guards against another order at the engines of deployments without priorities.
TEST(EnginePriority, IsTheDefaultOrSevenWhereUrgencyIsTheSame) {
    EXPECT_EQ(engine_priority({0, 1}, false), DefaultEnginePriority);
    EXPECT_EQ(engine_priority({0, 1}, true), 7u);
}

TEST(EnginePriority, OrdersByRankAndLateOnesBehindAll) {
    for (std::uint32_t count = 1; count <= 100; ++count) {
        for (std::uint32_t rank = 0; rank < count; ++rank) {
            const std::uint32_t in_time = engine_priority({rank, count}, false);
            const std::uint32_t late = engine_priority({rank, count}, true);
            EXPECT_LE(in_time, DefaultEnginePriority);
            EXPECT_GT(late, DefaultEnginePriority);
            EXPECT_LE(late, LastEnginePriority);
            if (rank == 0)
                continue;
            EXPECT_GE(in_time, engine_priority({rank - 1, count}, false));
            EXPECT_GE(late, engine_priority({rank - 1, count}, true));
            if (count <= 6) {
                EXPECT_GT(in_time, engine_priority({rank - 1, count}, false));
            }
        }
    }
}

Route route_to(const std::string& service, std::uint32_t priority) {
    Route route;
    route.priority = priority;
    route.split = {{service, 1}};
    return route;
}

Deployment deployment(std::vector<Route> routes) {
    Service llm{.name = "llm", .engine = {}};
    llm.engine.emplace();
    Deployment deployment;
    deployment.services = {llm, {.name = "plain", .engine = {}}};
    deployment.routes = std::move(routes);
    return deployment;
}

TEST(UrgencyRanks, RanksTheUrgenciesOfAService) {
    const UrgencyRanks ranks(
        deployment({route_to("llm", 4), route_to("llm", 1), route_to("llm", 4)}));
    EXPECT_EQ(ranks.rank("llm", 1), (UrgencyRank{0, 2}));
    EXPECT_EQ(ranks.rank("llm", 4), (UrgencyRank{1, 2}));
}

TEST(UrgencyRanks, EqualPrioritiesHaveOneRank) {
    const UrgencyRanks ranks(deployment({route_to("llm", 3), route_to("llm", 3)}));
    EXPECT_EQ(ranks.rank("llm", 3), UrgencyRank{});
}

// Guards against a priority for services whose endpoints run no engine.
TEST(UrgencyRanks, PlainServicesHaveOneRank) {
    const UrgencyRanks ranks(deployment({route_to("plain", 0), route_to("plain", 7)}));
    EXPECT_EQ(ranks.rank("plain", 7), UrgencyRank{});
}

TEST(UrgencyRanks, CustomersPriorityComesFirst) {
    Deployment with_customers = deployment({route_to("llm", 0), route_to("llm", 1)});
    with_customers.customers = {{"first", {"a"}, 0}, {"second", {"b"}, 1}};
    const UrgencyRanks ranks(with_customers);
    EXPECT_EQ(ranks.rank("llm", urgency_of(0, 1)), (UrgencyRank{1, 4}));
    EXPECT_EQ(ranks.rank("llm", urgency_of(1, 0)), (UrgencyRank{2, 4}));
}

} // namespace
} // namespace liftweir
