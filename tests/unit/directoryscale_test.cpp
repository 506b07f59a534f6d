// Processor time that an entry host needs to choose among a thousand groups.

#include "process/groupname.h"
#include "request/directory.h"
#include "unit/cputime.h"
#include "unit/groupsimulator.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);
// 13,000 requests per second over 90 entry hosts with 0.18 of a core each leave 1.25 ms of a core
// per request; the choice of the group may take half of that.
constexpr Duration MaxTimePerChoice = microseconds(625);
constexpr int Endpoints = 3000;
constexpr int LargeGroupSize = 4;
constexpr int SmallGroupSize = 2;

EngineCost engine() {
    EngineCost e = simulated_engine();
    e.cross_domain_factor = 3;
    e.models = {{"large", LargeGroupSize, 0.67, 1.0, seconds(16), {}},
                {"small", SmallGroupSize, 0.33, 0.6, seconds(12), {}}};
    return e;
}

EndpointReport member(int number, const std::string& model, int size, const std::string& domain) {
    EndpointReport report;
    report.id = {"i-" + std::to_string(10000 + number), 7};
    report.service = "llm";
    report.address =
        "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":80";
    report.zone = "z";
    report.domain = domain;
    report.sequence = 1;
    const auto epoch = static_cast<Epoch>(1000 + number / size);
    report.membership = {group_name(model, epoch, GroupKind::Regular), epoch,
                         static_cast<std::uint32_t>(number % size), MemberState::Ready};
    if (report.membership.rank == 0)
        report.membership.state = MemberState::Open;
    return report;
}

Demand demand_of(const Service& service, const std::string& model) {
    Demand demand;
    demand.service = &service;
    demand.model = model;
    demand.engine.prompt_tokens = 674;
    demand.latency_goal = std::chrono::milliseconds(300);
    return demand;
}

TEST(DirectoryScale, ChoiceAmongFiveHundredGroupsIsFast) {
    Directory directory(7);
    const Service service{"llm", 400, engine()};
    const int large = Endpoints * 2 / 3;
    for (int n = 0; n < Endpoints; ++n)
        directory.registry().merge(
            n < large ? member(n, "large", LargeGroupSize, "d" + std::to_string(n / 1000))
                      : member(n, "small", SmallGroupSize, "d" + std::to_string(n / 1000)),
            Start);
    constexpr int Choices = 20;
    for (const std::string model : {"large", "small"}) {
        const Demand demand = demand_of(service, model);
        ASSERT_TRUE(directory.pick(demand, {}, Start));
        const Duration started = cpu_time();
        for (int n = 0; n < Choices; ++n)
            ASSERT_TRUE(directory.pick(demand, {}, Start));
        const Duration each = (cpu_time() - started) / Choices;
        EXPECT_LT(each, MaxTimePerChoice)
            << model << ": " << to_exact_millis(each) << " ms of a core each";
    }
}

// A group is slower while its members are in two fabric domains, also after members changed.
TEST(DirectoryScale, DomainSpanFollowsChangesOfTheMembers) {
    Directory directory(7);
    const Service service{"llm", 400, engine()};
    const Demand demand = demand_of(service, "small");
    directory.registry().merge(member(0, "small", SmallGroupSize, "d0"), Start);
    const auto first_event_ms = [&] {
        return directory.pick(demand, {}, Start)->forecast.first_event_ms;
    };
    const double within = first_event_ms();
    EndpointReport other = member(1, "small", SmallGroupSize, "d1");
    directory.registry().merge(other, Start);
    const double across = first_event_ms();
    EXPECT_GT(across, 2 * within);
    ++other.sequence;
    other.membership = {};
    directory.registry().merge(other, Start);
    EXPECT_EQ(first_event_ms(), within);
    ++other.sequence;
    other.membership = member(1, "small", SmallGroupSize, "d1").membership;
    directory.registry().merge(other, Start);
    EXPECT_EQ(first_event_ms(), across);
    directory.registry().forget(other.id);
    EXPECT_EQ(first_event_ms(), within);
}

} // namespace
} // namespace liftweir
