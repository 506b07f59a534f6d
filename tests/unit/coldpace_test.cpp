// A cold endpoint can handle few requests per second from all entry hosts together, although the
// hosts do not coordinate.

#include "process/groupname.h"
#include "request/directory.h"
#include "unit/groupsimulator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <memory>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);
constexpr double ColdCallsPerSecond = 26;
// Tolerated excess in any one second: a factor and a fixed number of requests.
constexpr double Overshoot = 1.5;
constexpr double Slack = 5;
constexpr int WarmLeads = 3;

Service service() {
    Service service{"llm", 562, simulated_engine()};
    service.cold_calls_per_second = ColdCallsPerSecond;
    return service;
}

EndpointReport lead(int number, bool cold) {
    EndpointReport report;
    report.id = {"i-" + std::to_string(number), 7};
    report.service = "llm";
    report.address = "10.0.0." + std::to_string(number + 1) + ":80";
    report.sequence = 1;
    report.cold = cold;
    const auto epoch = static_cast<Epoch>(number + 1);
    report.membership = {group_name("model", epoch, GroupKind::Regular), epoch, 0,
                         MemberState::Open};
    return report;
}

struct Outcome {
    std::size_t max_in_a_second = 0;
    int to_cold = 0;
    int refused = 0;
};

// Requests arrive at random entry hosts, and all hosts learn of one cold group at the same moment.
Outcome simulate(std::uint32_t seed, int entry_hosts, int calls_per_second, Duration time) {
    const Service served = service();
    Demand demand;
    demand.service = &served;
    demand.model = "model";
    demand.engine.prompt_tokens = 674;
    std::minstd_rand random(seed);
    std::vector<std::unique_ptr<Directory>> hosts;
    for (int n = 0; n < entry_hosts; ++n) {
        hosts.push_back(std::make_unique<Directory>(random()));
        hosts.back()->set_total_load_ratio(entry_hosts);
        for (int l = 0; l <= WarmLeads; ++l)
            hosts.back()->registry().merge(lead(l, l == WarmLeads), Start);
    }
    Outcome out;
    std::deque<Time> arrivals;
    for (Time now = Start; now < Start + time; now += milliseconds(1)) {
        if (std::uniform_int_distribution<int>(0, 999)(random) >= calls_per_second)
            continue;
        Directory& host = *hosts[random() % hosts.size()];
        const auto pick = host.pick(demand, {}, now);
        out.refused += pick ? 0 : 1;
        if (!pick || pick->endpoint != lead(WarmLeads, true).id)
            continue;
        EndpointUse& use = host.use(pick->endpoint);
        if (pick->cold_interval > Duration::zero())
            use.cold.sent(pick->cold_interval, now);
        ++out.to_cold;
        arrivals.push_back(now);
        while (now - arrivals.front() >= seconds(1))
            arrivals.pop_front();
        out.max_in_a_second = std::max(out.max_in_a_second, arrivals.size());
    }
    return out;
}

RC_GTEST_PROP(ColdEndpoint, RequestRateOfAllEntryHostsTogetherIsLimited, ()) {
    const int entry_hosts = *rc::gen::element(1, 3, 5, 16, 30);
    const Outcome out = simulate(*rc::gen::inRange<std::uint32_t>(1, 1u << 30), entry_hosts,
                                 *rc::gen::inRange(20, 400), seconds(4));
    RC_ASSERT(out.max_in_a_second <= ColdCallsPerSecond * Overshoot + Slack);
    RC_ASSERT(out.refused == 0);
}

// A cold endpoint gets requests up to its permitted rate.
TEST(ColdEndpoint, IsUsedWhileItIsCold) {
    for (const int entry_hosts : {3, 16}) {
        const Outcome out = simulate(11, entry_hosts, 300, seconds(4));
        EXPECT_GT(out.to_cold, 2 * ColdCallsPerSecond) << entry_hosts;
    }
}

TEST(ColdEndpoint, IsNotLimitedOnceItReportsThatItIsWarm) {
    const Service served = service();
    Demand demand;
    demand.service = &served;
    demand.model = "model";
    Directory directory(7);
    directory.registry().merge(lead(0, true), Start);
    directory.use(lead(0, true).id).cold.sent(seconds(5), Start);
    const auto cold = directory.pick(demand, {}, Start + seconds(1));
    ASSERT_FALSE(cold);
    EXPECT_EQ(cold.error(), PickFailure::AllFull);
    EndpointReport warm = lead(0, false);
    ++warm.sequence;
    directory.registry().merge(warm, Start + seconds(1));
    for (int n = 0; n < 30; ++n)
        EXPECT_TRUE(directory.pick(demand, {}, Start + seconds(1)));
}

// Without a configured rate, an endpoint that reports itself as cold is treated like the others.
TEST(ColdEndpoint, IsNotLimitedWithoutAConfiguredRate) {
    Service served = service();
    served.cold_calls_per_second = 0;
    Demand demand;
    demand.service = &served;
    demand.model = "model";
    Directory directory(7);
    directory.registry().merge(lead(0, true), Start);
    const auto pick = directory.pick(demand, {}, Start);
    ASSERT_TRUE(pick);
    EXPECT_EQ(pick->cold_interval, Duration::zero());
}

} // namespace
} // namespace liftweir
