// Tests of a group's gate, settings leases, the fair queue, limits, retries and routing.

#include "process/gate.h"
#include "process/leaseholder.h"
#include "process/settingsrollout.h"
#include "request/fairqueue.h"
#include "request/limits.h"
#include "request/retry.h"
#include "request/routing.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
constexpr Time Start{std::chrono::seconds(100)};

Assignment pair_of_hosts() {
    Assignment a;
    a.epoch = 7;
    a.members = {{"lead", 1, "a", "p"}, {"other", 2, "b", "q"}};
    return a;
}

TEST(Gate, OpensOnlyAfterEarlierGroupsMustHaveClosed) {
    Gate gate(pair_of_hosts(), "lead", 1, Start);
    gate.set_engine_ready(true);
    const auto pings = gate.due_pings(Start);
    ASSERT_EQ(pings.size(), 1u);
    gate.on_ping_reply({7, pings[0].ping.sequence, 2}, Start);
    EXPECT_FALSE(gate.open(Start + milliseconds(100)));
    const Time later = Start + milliseconds(1500);
    gate.on_ping_reply({7, gate.due_pings(later).at(0).ping.sequence, 2}, later);
    EXPECT_TRUE(gate.open(later));
}

TEST(Gate, OpensAtOnceIfEarlierGroupsAreKnownToBeClosed) {
    Assignment assignment = pair_of_hosts();
    assignment.waits_to_open = false;
    Gate gate(assignment, "lead", 1, Start);
    gate.set_engine_ready(true);
    EXPECT_FALSE(gate.open(Start));
    gate.on_ping_reply({7, gate.due_pings(Start).at(0).ping.sequence, 2}, Start);
    EXPECT_TRUE(gate.open(Start));
}

// The send time of a ping counts, so a delayed reply to an old ping does not open the gate.
TEST(Gate, ADelayedReplyToAnOldPingDoesNotOpenIt) {
    Gate gate(pair_of_hosts(), "lead", 1, Start);
    gate.set_engine_ready(true);
    const auto ping = gate.due_pings(Start).at(0).ping;
    const Time late = Start + milliseconds(1600);
    gate.on_ping_reply({7, ping.sequence, 2}, late);
    EXPECT_FALSE(gate.open(late));
    EXPECT_EQ(gate.missing(late), std::vector<HostName>{"other"});
}

TEST(Gate, AMemberRepliesOnlyForItsOwnEpochAndIncarnation) {
    Gate member(pair_of_hosts(), "other", 2, Start);
    EXPECT_FALSE(member.answer({7, 1, 1, 2})) << "the engine is not ready";
    member.set_engine_ready(true);
    EXPECT_TRUE(member.answer({7, 1, 1, 2}));
    EXPECT_FALSE(member.answer({6, 1, 1, 2}));
    EXPECT_FALSE(member.answer({7, 1, 1, 3}));
}

// Replies are lost and delayed at random.
TEST(Gate, IsNeverOpenOnExpiredReplies) {
    EXPECT_TRUE(rc::check([] {
        Gate gate(pair_of_hosts(), "lead", 1, Start);
        gate.set_engine_ready(true);
        Time now = Start;
        Time newest_reply{};
        std::vector<std::pair<Time, PingReply>> wire;
        for (const int action :
             *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 8))) {
            now += milliseconds(action * 40);
            for (const DuePing& due : gate.due_pings(now))
                wire.emplace_back(now, PingReply{7, due.ping.sequence, 2});
            if (!wire.empty() && action % 2 == 0) {
                const auto at = wire.begin() + static_cast<std::ptrdiff_t>(action) %
                                                   static_cast<std::ptrdiff_t>(wire.size());
                gate.on_ping_reply(at->second, now);
                newest_reply = std::max(newest_reply, at->first);
                wire.erase(at);
            }
            if (gate.open(now))
                RC_ASSERT(now - newest_reply < milliseconds(1500));
        }
    }));
}

LeaseAck lease_ack(NodeId node, std::uint64_t sequence, Version logged) {
    LeaseAck v;
    v.node = node;
    v.sequence = sequence;
    v.logged = logged;
    v.registered = true;
    v.voters = {1, 2, 3};
    return v;
}

TEST(LeaseHolder, NeedsAMajorityWithoutNewerSettings) {
    LeaseHolder lease({1, 2, 3}, 9);
    const auto a = lease.renewal_sent(1, Start);
    const auto b = lease.renewal_sent(2, Start + milliseconds(10));
    lease.on_lease_ack(lease_ack(1, a, 5), 5, Start + milliseconds(50));
    EXPECT_EQ(lease.valid_until(), Time{});
    lease.on_lease_ack(lease_ack(2, b, 6), 5, Start + milliseconds(60));
    EXPECT_EQ(lease.valid_until(), Time{}) << "host 2 has logged something newer";
    EXPECT_TRUE(lease.behind());
    const auto c = lease.renewal_sent(2, Start + milliseconds(100));
    lease.on_lease_ack(lease_ack(2, c, 6), 6, Start + milliseconds(900));
    EXPECT_EQ(lease.valid_until(), Start + SettingsLease) << "counts from the older renewal";
}

TEST(LeaseHolder, AnUnsolicitedAcknowledgementDoesNotExtendIt) {
    LeaseHolder lease({1}, 9);
    lease.renewal_sent(1, Start);
    lease.on_lease_ack(lease_ack(1, 0, 5), 5, Start);
    EXPECT_EQ(lease.valid_until(), Time{});
}

TEST(SettingsRollout, WaitsForEveryEntryOrForTheLeases) {
    SettingsRollout force;
    force.reset(Start);
    const Time now = Start + std::chrono::seconds(10);
    force.committed(4, now);
    EXPECT_FALSE(force.reached(4, {"a", "b"}, now));
    force.acknowledged("a", 4);
    EXPECT_FALSE(force.reached(4, {"a", "b"}, now));
    force.acknowledged("b", 5);
    EXPECT_TRUE(force.reached(4, {"a", "b"}, now));
    force.committed(9, now);
    EXPECT_TRUE(force.reached(9, {"a", "b"}, now + SettingsLeaseWait));
}

TEST(SettingsRollout, ANewLeaderWaitsUntilUnknownLeasesExpire) {
    SettingsRollout force;
    force.reset(Start);
    force.acknowledged("a", 4);
    EXPECT_FALSE(force.reached(4, {"a"}, Start + milliseconds(10)));
    EXPECT_TRUE(force.reached(4, {"a"}, Start + SettingsLeaseWait));
}

QueueItem item(std::uint64_t n, const std::string& cls, const std::string& customer,
               std::uint32_t weight, std::uint32_t shed = 50) {
    return {{1, n, 1}, cls, customer, weight, 10, shed, 1, Start + std::chrono::hours(1), true};
}

// Under contention, shares follow the weights and the small class is not starved.
TEST(FairQueue, SharesFollowWeights) {
    FairQueue queue(1, 10000);
    std::uint64_t n = 0;
    for (int i = 0; i < 400; ++i) {
        queue.offer(item(++n, "big", "a", 30), Start);
        queue.offer(item(++n, "small", "b", 10), Start);
    }
    int big = 0;
    std::vector<QueueItem> expired;
    for (int i = 0; i < 200; ++i) {
        const auto next = queue.start_next(Start, expired);
        ASSERT_TRUE(next);
        big += next->traffic_class == "big" ? 1 : 0;
        queue.finished(milliseconds(10), 1);
    }
    EXPECT_NEAR(big, 150, 5);
}

TEST(FairQueue, ABusyCustomerDoesNotDelayAQuietOne) {
    FairQueue queue(1, 10000);
    for (std::uint64_t n = 1; n <= 500; ++n)
        queue.offer(item(n, "c", "loud", 10), Start);
    std::vector<QueueItem> expired;
    for (int i = 0; i < 100; ++i) {
        queue.start_next(Start, expired);
        queue.finished(milliseconds(10), 1);
    }
    queue.offer(item(1000, "c", "quiet", 10), Start);
    int position = 0;
    while (queue.start_next(Start, expired)->customer != "quiet") {
        queue.finished(milliseconds(10), 1);
        ++position;
    }
    EXPECT_LE(position, 2);
}

TEST(FairQueue, RejectsAtOnceARequestThatCanNotMeetItsDeadline) {
    FairQueue queue(1, 100);
    std::vector<QueueItem> expired;
    for (std::uint64_t n = 1; n <= 10; ++n)
        ASSERT_TRUE(queue.offer(item(n, "c", "a", 10), Start).admitted);
    queue.start_next(Start, expired);
    queue.finished(std::chrono::seconds(1), 1);
    queue.start_next(Start, expired);
    QueueItem late = item(11, "c", "a", 10);
    late.deadline = Start + std::chrono::seconds(3);
    const Admission refused = queue.offer(late, Start);
    EXPECT_FALSE(refused.admitted);
    EXPECT_EQ(refused.reason, FailureKind::DeadlineTooNear);
    EXPECT_GE(refused.retry_after, std::chrono::seconds(3));
}

// A request that would reach its deadline before it ends is not started, as its work would be
// wasted.
TEST(FairQueue, DoesNotStartARequestThatWouldMissItsDeadline) {
    FairQueue queue(1, 100);
    std::vector<QueueItem> expired;
    QueueItem known = item(1, "c", "a", 10);
    known.cost = 100;
    queue.offer(known, Start);
    queue.start_next(Start, expired);
    queue.finished(std::chrono::seconds(1), 100);
    known.deadline = Start + std::chrono::seconds(5);
    QueueItem small = known;
    known.id.sequence = 2;
    small.id.sequence = 3;
    small.cost = 10;
    ASSERT_TRUE(queue.offer(known, Start).admitted);
    ASSERT_TRUE(queue.offer(small, Start).admitted);
    const auto next = queue.start_next(Start + milliseconds(4500), expired);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->id.sequence, 3u) << "a short one still fits";
    ASSERT_EQ(expired.size(), 1u);
    EXPECT_EQ(expired[0].id.sequence, 2u);
}

TEST(FairQueue, AFullQueueShedsTheLeastImportantClassFirst) {
    FairQueue queue(1, 2);
    std::vector<QueueItem> expired;
    queue.offer(item(1, "low", "a", 10, 10), Start);
    queue.start_next(Start, expired);
    queue.offer(item(2, "low", "a", 10, 10), Start);
    queue.offer(item(3, "low", "a", 10, 10), Start);
    const Admission low = queue.offer(item(4, "low", "a", 10, 10), Start);
    EXPECT_FALSE(low.admitted);
    const Admission high = queue.offer(item(5, "high", "a", 10, 90), Start);
    EXPECT_TRUE(high.admitted);
    EXPECT_EQ(high.shed, (AttemptId{1, 3, 1}));
}

// Counts stay correct and the bound holds for any order of offers, starts, removals and
// completions.
TEST(FairQueue, CountsStayRight) {
    EXPECT_TRUE(rc::check([] {
        FairQueue queue(3, 5);
        std::set<std::uint64_t> waiting;
        std::size_t running = 0;
        std::uint64_t n = 0;
        for (const int action :
             *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 9))) {
            std::vector<QueueItem> expired;
            if (action < 5) {
                const auto a =
                    queue.offer(item(++n, std::to_string(action % 2), std::to_string(action % 3),
                                     10, static_cast<std::uint32_t>(action)),
                                Start);
                if (a.admitted)
                    waiting.insert(n);
                if (a.shed)
                    RC_ASSERT(waiting.erase(a.shed->sequence) == 1);
            } else if (action < 7) {
                if (const auto next = queue.start_next(Start, expired)) {
                    RC_ASSERT(waiting.erase(next->id.sequence) == 1);
                    ++running;
                }
            } else if (action == 7 && running > 0) {
                queue.finished(milliseconds(5), 1);
                --running;
            } else if (!waiting.empty()) {
                RC_ASSERT(queue.remove({1, *waiting.begin(), 1}));
                waiting.erase(waiting.begin());
            }
            RC_ASSERT(queue.waiting() == waiting.size());
            RC_ASSERT(queue.running() == running && running <= 3);
        }
    }));
}

TEST(Limits, EnforcesARateAndReturnsTheWait) {
    CustomerLimits limits;
    const CustomerRates rates{10, 1e6, 1000};
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += limits.admit(rates, Start) ? 0 : 1;
    EXPECT_NEAR(admitted, 11, 1);
    const auto wait = limits.admit(rates, Start);
    ASSERT_TRUE(wait);
    EXPECT_FALSE(limits.admit(rates, Start + *wait + milliseconds(1)));
}

TEST(Limits, TokensUsedDelayLaterRequests) {
    CustomerLimits limits;
    const CustomerRates rates{1000, 100, 1000};
    ASSERT_FALSE(limits.admit(rates, Start));
    limits.finished(rates, 500, Start);
    EXPECT_TRUE(limits.admit(rates, Start));
    EXPECT_FALSE(limits.admit(rates, Start + std::chrono::seconds(5)));
}

TEST(RetryBudget, IsEarnedBySuccessfulRequests) {
    RetryBudget budget;
    int free = 0;
    while (budget.take())
        ++free;
    EXPECT_LE(free, 10);
    for (int i = 0; i < 100; ++i)
        budget.earn(0.1);
    int earned = 0;
    while (budget.take())
        ++earned;
    EXPECT_EQ(earned, 10);
}

std::vector<Target> targets(int count) {
    std::vector<Target> out;
    for (int i = 0; i < count; ++i) {
        Target t;
        t.host = "h" + std::to_string(i);
        t.epoch = static_cast<Epoch>(i) + 1;
        t.stats = std::make_shared<TargetStats>();
        t.stats->open = true;
        out.push_back(t);
    }
    return out;
}

TEST(Router, KeepsAPrefixAtOneGroupUntilItIsLoaded) {
    Router router("z", 1);
    auto groups = targets(5);
    RoutingRules rules;
    RouteQuery query;
    query.prefix = 12345;
    const Target* first = router.pick(groups, rules, query, Start);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(router.pick(groups, rules, query, Start), first);
    first->stats->in_flight = 50;
    EXPECT_NE(router.pick(groups, rules, query, Start), first);
}

TEST(Router, AvoidsClosedFailedAndSlowGroupsButNeverAllOfThem) {
    Router router("z", 1);
    auto groups = targets(4);
    RoutingRules rules;
    rules.prefix_affinity = false;
    for (Target& t : groups) {
        t.stats->samples = 100;
        t.stats->first_token_s = 0.1;
    }
    groups[0].stats->first_token_s = 2;
    groups[1].stats->open = false;
    RouteQuery query;
    query.avoid = {target_id(groups[2])};
    for (int i = 0; i < 30; ++i)
        EXPECT_TRUE(router.pick(groups, rules, {}, Start) != &groups[1]);
    EXPECT_EQ(Router::slow_targets({&groups[0], &groups[1], &groups[2], &groups[3]}, rules),
              std::vector<const Target*>{&groups[0]});
    for (Target& t : groups)
        t.stats->first_token_s = 5;
    EXPECT_TRUE(
        Router::slow_targets({&groups[0], &groups[1], &groups[2], &groups[3]}, rules).empty());
}

} // namespace
} // namespace liftweir
