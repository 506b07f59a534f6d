#include "request/directory.h"

#include "process/groupname.h"
#include "unit/groupsimulator.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

constexpr Time Start = Time{} + std::chrono::seconds(100);

EndpointReport plain(const EndpointId& id, const std::string& address) {
    EndpointReport report;
    report.id = id;
    report.service = "app";
    report.address = address;
    report.sequence = 1;
    return report;
}

// An endpoint resets connections above its limit, which all entry hosts share.
TEST(Directory, ConnectionsAreLimitedToThisHostsShare) {
    Directory directory(7);
    directory.registry().merge(plain("i-1", "10.0.0.1:80"), Start);
    directory.set_total_load_ratio(5);
    const Service service{"app", 50, std::nullopt};
    Demand demand;
    demand.service = &service;
    EXPECT_EQ(directory.connections_allowed(service), 10u);
    directory.use("i-1").in_flight = 9;
    EXPECT_TRUE(directory.pick(demand, {}, Start));
    directory.use("i-1").in_flight = 10;
    const auto full = directory.pick(demand, {}, Start);
    ASSERT_FALSE(full);
    EXPECT_EQ(full.error(), PickFailure::AllFull);
    directory.registry().merge(plain("i-2", "10.0.0.2:80"), Start);
    EXPECT_EQ(directory.pick(demand, {}, Start)->endpoint, "i-2");
}

TEST(Directory, LongPromptIsAdmittedWhereAShortOneIs) {
    Directory directory(7);
    const Service service{"llm", 400, simulated_engine()};
    EndpointReport lead = plain("i-1", "10.0.0.1:80");
    lead.service = "llm";
    lead.membership = {.group = group_name("model", 7, GroupKind::Regular), .epoch = 7, .rank = 0};
    lead.membership.state = MemberState::Open;
    directory.registry().merge(lead, Start);
    directory.use("i-1").load = {.decoding = 30, .prefilling = 4, .prefill_tokens = 5600};
    Demand demand;
    demand.service = &service;
    demand.model = "model";
    demand.latency_goal = std::chrono::milliseconds(400);
    for (const std::uint32_t tokens : {1400u, 2000u, 5900u}) {
        demand.engine.prompt_tokens = tokens;
        EXPECT_TRUE(directory.pick(demand, {}, Start)) << tokens;
    }
    directory.use("i-1").load.prefill_tokens = 20000;
    for (const std::uint32_t tokens : {1400u, 5900u}) {
        demand.engine.prompt_tokens = tokens;
        EXPECT_FALSE(directory.pick(demand, {}, Start)) << tokens;
    }
}

// A host with a small share of the load may receive a burst in the next second.
TEST(Directory, MinimumOfConnectionsIsAlwaysAllowed) {
    Directory directory(7);
    directory.set_total_load_ratio(50);
    EXPECT_EQ(directory.connections_allowed({"app", 400, std::nullopt}), 25u);
    EXPECT_EQ(directory.connections_allowed({"app", 1, std::nullopt}), 2u);
}

// A cached report from before a restart never replaces a report that was received since.
TEST(Registry, CachedReportDoesNotReplaceANewerOne) {
    Registry registry;
    registry.merge(plain("new", "10.0.0.1:80"), Start);
    EXPECT_FALSE(registry.add_cached(plain("old", "10.0.0.1:80"), Start));
    EXPECT_FALSE(registry.add_cached(plain("new", "10.0.0.9:80"), Start));
    EXPECT_TRUE(registry.add_cached(plain("other", "10.0.0.2:80"), Start));
    registry.forget("other");
    EXPECT_EQ(registry.find("other"), nullptr);
    EXPECT_EQ(registry.find("new")->report.phase, EndpointPhase::Serving);
}

// A copy of a registry keeps the time of each endpoint's last contact.
TEST(Registry, MergedReportKeepsTheTimeOfItsSource) {
    Registry registry;
    registry.merge(plain("i-1", "10.0.0.1:80"), Start - std::chrono::seconds(9));
    EXPECT_EQ(registry.find("i-1")->last_contact, Start - std::chrono::seconds(9));
    EndpointReport later = plain("i-1", "10.0.0.1:80");
    later.sequence = 2;
    registry.seen_alive("i-1", Start);
    registry.merge(later, Start - std::chrono::seconds(1));
    EXPECT_EQ(registry.find("i-1")->last_contact, Start);
}

} // namespace
} // namespace liftweir
