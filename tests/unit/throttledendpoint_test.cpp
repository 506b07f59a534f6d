// Endpoints that accept no request from this entry host for some time: in back-off, at their rate
// limit, or leaving.

#include "process/groupname.h"
#include "request/directory.h"
#include "unit/groupsimulator.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);

EndpointReport report_of(int number, bool leads) {
    EndpointReport report;
    report.id = {"i-" + std::to_string(number), 7};
    report.service = "app";
    report.address = "10.0.0." + std::to_string(number + 1) + ":80";
    report.sequence = 1;
    const auto epoch = static_cast<Epoch>(number + 1);
    if (leads)
        report.membership = {group_name("model", epoch, GroupKind::Regular), epoch, 0,
                             MemberState::Open};
    return report;
}

// Two endpoints that are either plain ones or leads of groups.
struct ThrottledEndpoint : testing::TestWithParam<bool> {
    ThrottledEndpoint() {
        if (GetParam())
            service.engine = simulated_engine();
        demand.service = &service;
        demand.model = GetParam() ? "model" : "";
        for (const EndpointReport& report : {first, second})
            directory.registry().merge(report, Start);
    }
    NoPick none(const std::set<EndpointId>& tried = {}, Time now = Start) {
        const auto pick = directory.pick(demand, tried, now);
        EXPECT_FALSE(pick);
        return pick ? NoPick{} : pick.error();
    }

    Service service{"app", 100, std::nullopt};
    Demand demand;
    const EndpointReport first = report_of(0, GetParam());
    const EndpointReport second = report_of(1, GetParam());
    Directory directory{7};
};

INSTANTIATE_TEST_SUITE_P(PlainEndpointsAndLeads, ThrottledEndpoint, testing::Bool());

TEST_P(ThrottledEndpoint, EndpointInBackoffIsExcludedEvenIfItIsTheOnlyOne) {
    directory.back_off(first.id, seconds(3), Start);
    for (int n = 0; n < 20; ++n)
        EXPECT_EQ(directory.pick(demand, {}, Start)->endpoint, second.id);
    directory.back_off(second.id, seconds(2), Start);
    const NoPick all = none();
    EXPECT_EQ(all.why, PickFailure::AllThrottled);
    EXPECT_EQ(all.soonest, second.id);
    EXPECT_EQ(all.wait, seconds(2));
    EXPECT_EQ(directory.pick(demand, {}, Start + seconds(2))->endpoint, second.id);
}

TEST_P(ThrottledEndpoint, ShorterBackoffDoesNotEndALongerOne) {
    directory.back_off(first.id, seconds(3), Start);
    directory.back_off(first.id, seconds(1), Start + milliseconds(100));
    EXPECT_EQ(none({second.id}, Start + seconds(2)).wait, seconds(1));
}

TEST_P(ThrottledEndpoint, RetryDelaysEndAfterTheBackoffAndDiffer) {
    directory.back_off(first.id, seconds(3), Start);
    directory.back_off(second.id, seconds(3), Start);
    std::set<Duration> delays;
    for (int n = 0; n < 50; ++n)
        delays.insert(directory.retry_delay(none(), Start));
    EXPECT_GE(*delays.begin(), seconds(3));
    EXPECT_GT(*delays.rbegin() - *delays.begin(), milliseconds(500));
}

TEST_P(ThrottledEndpoint, TriedEndpointCountsForTheRetryDelay) {
    directory.back_off(first.id, seconds(3), Start);
    EXPECT_EQ(none({first.id, second.id}).wait, seconds(3));
}

TEST_P(ThrottledEndpoint, BackoffIsOfOneIncarnation) {
    directory.back_off(first.id, seconds(3), Start);
    EndpointReport next_incarnation = first;
    next_incarnation.id.started_ms = 8;
    next_incarnation.membership.epoch = next_incarnation.membership.epoch == NoEpoch ? NoEpoch : 9;
    directory.registry().merge(next_incarnation, Start + milliseconds(10));
    EXPECT_EQ(directory.pick(demand, {second.id}, Start + milliseconds(20))->endpoint,
              next_incarnation.id);
}

TEST_P(ThrottledEndpoint, BackoffOutlastsATemporaryRemovalOfTheEndpoint) {
    directory.back_off(first.id, seconds(3), Start);
    directory.registry().forget(first.id);
    directory.expire(Start + milliseconds(100));
    directory.registry().merge(first, Start + milliseconds(200));
    EXPECT_EQ(none({second.id}, Start + milliseconds(300)).why, PickFailure::AllThrottled);
}

TEST_P(ThrottledEndpoint, EndpointAtItsLimitIsExcluded) {
    directory.limits().book().add_report(first.id, 2, Start);
    EXPECT_EQ(directory.pick(demand, {}, Start)->endpoint, second.id);
    EXPECT_EQ(none({second.id}).why, PickFailure::AllThrottled);
}

TEST_P(ThrottledEndpoint, LeavingEndpointIsExcludedForGoodButItsNextIncarnationIsNot) {
    EXPECT_TRUE(directory.mark_leaving(first.id, Start));
    EXPECT_FALSE(directory.mark_leaving(first.id, Start));
    directory.registry().forget(first.id);
    directory.expire(Start + seconds(30));
    directory.registry().merge(first, Start + seconds(30));
    EXPECT_EQ(none({second.id}, Start + seconds(31)).why, PickFailure::NoneInService);
    EndpointReport next_incarnation = first;
    next_incarnation.id.started_ms = 8;
    next_incarnation.membership.epoch = next_incarnation.membership.epoch == NoEpoch ? NoEpoch : 9;
    directory.registry().merge(next_incarnation, Start + seconds(32));
    EXPECT_EQ(directory.pick(demand, {second.id}, Start + seconds(33))->endpoint,
              next_incarnation.id);
}

TEST(ThrottledLeads, FailedLeadMayServeBeforeTheBackoffOfAnotherEnds) {
    Service service{"app", 100, simulated_engine()};
    Demand demand;
    demand.service = &service;
    demand.model = "model";
    Directory directory(7);
    for (const int number : {0, 1})
        directory.registry().merge(report_of(number, true), Start);
    directory.back_off(report_of(0, true).id, seconds(3), Start);
    directory.failed(report_of(1, true).id, Start);
    const auto pick = directory.pick(demand, {}, Start);
    ASSERT_FALSE(pick);
    EXPECT_EQ(pick.error().why, PickFailure::NoneInService);
}

} // namespace
} // namespace liftweir
