// Control hosts as nodes, learners and voters, registrations of endpoints, budgets, load forecasts
// and the settings file, as used where endpoints register themselves.

#include "connection/codec.h"
#include "process/loadbudget.h"
#include "process/node.h"
#include "process/registry.h"
#include "process/siteconfig.h"
#include "process/voterselector.h"
#include "request/groupload.h"
#include "request/stalldetector.h"
#include "request/windowedretrybudget.h"
#include "unit/memstorage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <deque>
#include <fstream>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start{};

// ---- nodes and the replicated log

TEST(Node, AHostWithAnEmptiedDiskIsAnotherNode) {
    MemStorage disk;
    const auto founder = node_of_directory(disk, "10.1.0.4", true);
    ASSERT_TRUE(founder);
    EXPECT_EQ(*founder, founder_node("10.1.0.4"));
    EXPECT_EQ(node_of_directory(disk, "10.1.0.4", false).value(), *founder);
    MemStorage empty;
    const auto again = node_of_directory(empty, "10.1.0.4", false);
    ASSERT_TRUE(again);
    EXPECT_NE(*again, *founder);
    EXPECT_TRUE(same_host(*again, *founder));
    EXPECT_EQ(address_of(*again, 7340), "10.1.0.4:7340");
}

// After a power loss of all hosts there is no leader, so the first election uses shorter timeouts.
TEST(Raft, StandsForElectionSoonerUntilALeaderIsKnown) {
    RaftTuning tuning;
    tuning.first_election_min = milliseconds(100);
    tuning.first_election_max = milliseconds(200);
    const Time now = Start + seconds(1);
    Raft raft(1, tuning, 7, {1, 2, 3}, {}, {}, {}, now);
    const auto stands = [&](Time from, Duration within) {
        for (Time t = from; t < from + within; t += milliseconds(10)) {
            raft.tick(t);
            if (!raft.take_ready().messages.empty())
                return true;
        }
        return false;
    };
    EXPECT_TRUE(stands(now, milliseconds(220)));
    AppendRequest heartbeat;
    heartbeat.term = 1;
    raft.step(2, heartbeat, now + milliseconds(300));
    (void)raft.take_ready();
    raft.persisted();
    EXPECT_FALSE(stands(now + milliseconds(310), milliseconds(380)));
}

// A leader without other voters, with a log of 200 entries of 64 KB and a new learner.
class LongLog {
  public:
    static constexpr std::size_t EntryBytes = 64u << 10;
    static constexpr int Entries = 200;

    LongLog() : raft_(1, {}, 7, {1}, {}, {}, {}, now_) {
        while (!raft_.leads_with_commit())
            step();
        for (int n = 0; n < Entries; ++n)
            EXPECT_TRUE(raft_.propose(EntryKind::Command, std::string(EntryBytes, 'x')));
        step();
        raft_.set_learners({2});
    }
    Raft& raft() { return raft_; }
    Time now() const { return now_; }
    // Advances the time by 50 ms and returns what the leader sends.
    std::vector<RaftEnvelope> step() {
        now_ += milliseconds(50);
        raft_.tick(now_);
        std::vector<RaftEnvelope> sent;
        for (RaftReady ready = raft_.take_ready(); !ready.empty(); ready = raft_.take_ready()) {
            raft_.persisted();
            std::move(ready.messages.begin(), ready.messages.end(), std::back_inserter(sent));
        }
        return sent;
    }

  private:
    Time now_ = Start + seconds(1);
    Raft raft_;
};

TEST(Raft, LimitsWhatIsInFlightToASilentFollower) {
    // What a link of 40 Mbit/s carries in about half a second.
    constexpr std::size_t MostUnderWay = 2u << 20;
    LongLog leader;
    std::size_t sent = 0;
    for (int n = 0; n < 40; ++n) {
        // The first replies show the leader that the host's log is empty. Then it stops replying.
        if (n == 2)
            leader.raft().step(2, AppendReply{leader.raft().term(), false, 0, 0}, leader.now());
        if (n == 3)
            leader.raft().step(2, AppendReply{leader.raft().term(), true, 0, 0}, leader.now());
        for (const RaftEnvelope& envelope : leader.step())
            sent += encode(envelope.message).size();
    }
    EXPECT_LT(sent, MostUnderWay);
}

TEST(Raft, ASlowFollowerIsSentTheLogOnce) {
    LongLog leader;
    Raft follower(2, {}, 9, {1}, {}, {}, {}, leader.now());
    std::deque<std::vector<RaftMessage>> answers(2);
    std::size_t sent = 0;
    for (int n = 0; n < 200 && follower.last_index() < leader.raft().last_index(); ++n) {
        answers.emplace_back();
        for (const RaftEnvelope& envelope : leader.step()) {
            sent += encode(envelope.message).size();
            follower.step(1, envelope.message, leader.now());
        }
        for (RaftReady ready = follower.take_ready(); !ready.empty();
             ready = follower.take_ready()) {
            if (ready.must_sync())
                follower.persisted();
            for (RaftEnvelope& answer : ready.messages)
                answers.back().push_back(std::move(answer.message));
        }
        for (const RaftMessage& answer : answers.front())
            leader.raft().step(2, answer, leader.now());
        answers.pop_front();
    }
    EXPECT_EQ(follower.last_index(), leader.raft().last_index());
    EXPECT_LT(sent, LongLog::Entries * LongLog::EntryBytes * 11 / 10);
}

std::size_t snapshots_in(const std::vector<RaftEnvelope>& messages) {
    return static_cast<std::size_t>(
        std::count_if(messages.begin(), messages.end(), [](const RaftEnvelope& envelope) {
            return std::holds_alternative<SnapshotRequest>(envelope.message);
        }));
}

TEST(Raft, RepliesToOldAppendsTriggerNoMoreSnapshots) {
    LongLog leader;
    Raft& raft = leader.raft();
    raft.step(2, AppendReply{raft.term(), false, 0, 0}, leader.now());
    raft.step(2, AppendReply{raft.term(), true, 0, 0}, leader.now());
    std::vector<Index> under_way;
    for (const RaftEnvelope& envelope : leader.step())
        if (const auto* append = std::get_if<AppendRequest>(&envelope.message))
            under_way.push_back(append->prev_index + append->entries.size());
    ASSERT_GT(under_way.size(), 2u);
    raft.compact({raft.commit(), raft.term(), {1}, "state"});
    std::size_t snapshots = snapshots_in(leader.step());
    for (const Index match : under_way) {
        raft.step(2, AppendReply{raft.term(), true, match, 0}, leader.now());
        snapshots += snapshots_in(leader.step());
    }
    // One more may be sent since the retry interval has passed.
    EXPECT_LE(snapshots, 2u);
    raft.step(2, AppendReply{raft.term(), true, raft.snapshot().index, 0}, leader.now());
    EXPECT_EQ(raft.peer(2)->match, raft.snapshot().index);
}

// The pause before a snapshot is sent again doubles each time.
TEST(Raft, ASilentFollowerIsSentFewSnapshots) {
    LongLog leader;
    leader.raft().compact({leader.raft().commit(), leader.raft().term(), {1}, "state"});
    leader.raft().step(2, AppendReply{leader.raft().term(), false, 0, 0}, leader.now());
    std::size_t snapshots = 0;
    for (int n = 0; n < 600; ++n)
        snapshots += snapshots_in(leader.step());
    EXPECT_GE(snapshots, 3u);
    EXPECT_LE(snapshots, 10u);
}

// A learner gets all entries but counts for no majority.
TEST(Raft, LearnersReceiveTheLogButCountForNoMajority) {
    const Time now = Start + seconds(1);
    Raft raft(1, {}, 7, {1}, {}, {}, {}, now);
    for (Time t = now; t < now + seconds(2) && !raft.leads(); t += milliseconds(10))
        raft.tick(t);
    ASSERT_TRUE(raft.leads());
    (void)raft.take_ready();
    raft.persisted();
    raft.set_learners({9});
    ASSERT_TRUE(raft.propose(EntryKind::Command, "x"));
    raft.tick(now + seconds(3));
    const RaftReady ready = raft.take_ready();
    raft.persisted();
    EXPECT_TRUE(std::any_of(ready.messages.begin(), ready.messages.end(),
                            [](const RaftEnvelope& e) { return e.to == 9; }));
    raft.step(9, AppendReply{raft.term(), true, raft.last_index(), 0}, now + seconds(3));
    EXPECT_EQ(raft.peer(9)->match, raft.last_index());
    EXPECT_EQ(raft.synced_copies(raft.last_index()), 1u);
    EXPECT_EQ(raft.voters(), Voters{1});
}

// ---- voters

class VoterSelectorTest : public testing::Test {
  protected:
    static NodeId node(int host, NodeId directory = 0) {
        return founder_node("10.0.0." + std::to_string(host)) | directory << 32;
    }
    static NodeView live(NodeId n) { return {n, true, milliseconds(50)}; }
    static NodeView silent(NodeId n) { return {n, false, seconds(5)}; }
    VoterSelector voter_selector_{5};
};

TEST_F(VoterSelectorTest, GrowsOneAtATimeUpToTheTarget) {
    const Voters three{node(1), node(2), node(3)};
    const std::vector<NodeView> all{live(node(2)), live(node(3)), live(node(4)), live(node(5))};
    const auto next = voter_selector_.next(node(1), three, all);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->size(), 4u);
}

TEST_F(VoterSelectorTest, AddsNoSpareThatLagsBehind) {
    const Voters three{node(1), node(2), node(3)};
    EXPECT_FALSE(voter_selector_.next(
        node(1), three, {live(node(2)), live(node(3)), {node(4), false, milliseconds(10)}}));
}

TEST_F(VoterSelectorTest, ReplacesALostVoterByAddingFirst) {
    const Voters five{node(1), node(2), node(3), node(4), node(5)};
    const std::vector<NodeView> views{live(node(2)), live(node(3)), live(node(4)), silent(node(5)),
                                      live(node(6))};
    const auto added = voter_selector_.next(node(1), five, views);
    ASSERT_TRUE(added);
    EXPECT_TRUE(added->contains(node(6)));
    EXPECT_TRUE(added->contains(node(5)));
    const auto removed = voter_selector_.next(node(1), *added, views);
    ASSERT_TRUE(removed);
    EXPECT_FALSE(removed->contains(node(5)));
    EXPECT_EQ(removed->size(), 5u);
}

TEST_F(VoterSelectorTest, KeepsALostVoterWhileThereIsNoSpare) {
    const Voters five{node(1), node(2), node(3), node(4), node(5)};
    EXPECT_FALSE(voter_selector_.next(
        node(1), five, {live(node(2)), live(node(3)), silent(node(4)), silent(node(5))}));
}

TEST_F(VoterSelectorTest, AVoterWithAnEmptiedDiskIsReplacedByItsNewNodeAtOnce) {
    const Voters five{node(1), node(2), node(3), node(4), node(5)};
    const NodeId wiped = node(5, 77);
    const std::vector<NodeView> views{live(node(2)),
                                      live(node(3)),
                                      live(node(4)),
                                      {node(5), false, milliseconds(100)},
                                      live(wiped)};
    const auto added = voter_selector_.next(node(1), five, views);
    ASSERT_TRUE(added);
    EXPECT_TRUE(added->contains(wiped));
}

TEST_F(VoterSelectorTest, NeverRemovesItself) {
    const Voters six{node(1), node(2), node(3), node(4), node(5), node(6)};
    std::vector<NodeView> views;
    for (int i = 1; i <= 5; ++i)
        views.push_back(live(node(i)));
    const auto next = voter_selector_.next(node(6), six, views);
    ASSERT_TRUE(next);
    EXPECT_TRUE(next->contains(node(6)));
}

// ---- registry

EndpointReport report(const std::string& id, std::uint64_t sequence) {
    EndpointReport r;
    r.id = id;
    r.service = "llm";
    r.address = "10.0.0." + id + ":80";
    r.sequence = sequence;
    return r;
}

TEST(Registry, ALateReportChangesNothing) {
    Registry registry;
    EXPECT_TRUE(registry.merge(report("1", 5), Start));
    EndpointReport late = report("1", 4);
    late.phase = EndpointPhase::Draining;
    EXPECT_FALSE(registry.merge(late, Start));
    EXPECT_EQ(registry.find("1")->report.phase, EndpointPhase::Serving);
}

TEST(Registry, AnEndpointThatIsGoneStaysGone) {
    Registry registry;
    registry.merge(report("1", 5), Start);
    EXPECT_TRUE(registry.mark_gone("1", Start));
    EXPECT_FALSE(registry.merge(report("1", 9), Start));
    EXPECT_EQ(registry.find("1")->report.phase, EndpointPhase::Gone);
}

// A probe of the address shows which of two incarnations runs there.
TEST(Registry, AConfirmedIncarnationEndsTheEarlierOneAtItsAddress) {
    Registry registry;
    registry.merge(report("1", 5), Start);
    EndpointReport other = report("2", 1);
    other.address = report("1", 0).address;
    registry.merge(other, Start);
    EXPECT_EQ(registry.find("2"), nullptr);
    const auto questions = registry.take_address_checks(Start);
    ASSERT_EQ(questions, (std::vector<Registry::AddressCheck>{{other, "1"}}));
    EXPECT_TRUE(registry.take_address_checks(Start + milliseconds(100)).empty());
    registry.confirmed(questions.front(), Start);
    EXPECT_EQ(registry.take_resolved(), (std::vector<EndpointId>{"1", "2"}));
    EXPECT_EQ(registry.find("1")->report.phase, EndpointPhase::Gone);
    EXPECT_EQ(registry.find("2")->report.phase, EndpointPhase::Serving);
    EXPECT_FALSE(registry.merge(report("1", 9), Start));
    EXPECT_EQ(registry.find("1")->report.phase, EndpointPhase::Gone);
}

// Reports reach each copy in a different order, some twice. All copies end up equal.
RC_GTEST_PROP(Registry, CopiesConverge, ()) {
    std::vector<EndpointReport> reports;
    const auto count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
        EndpointReport r =
            report(std::to_string(*rc::gen::inRange(1, 4)), static_cast<std::uint64_t>(i + 1));
        r.membership = {"g", static_cast<Epoch>(*rc::gen::inRange(0, 3)), 0, MemberState::Ready};
        if (*rc::gen::inRange(0, 6) == 0)
            r.phase = EndpointPhase::Gone;
        reports.push_back(r);
    }
    Registry in_order;
    for (const EndpointReport& r : reports)
        in_order.merge(r, Start);
    Registry shuffled;
    std::vector<EndpointReport> mixed = reports;
    for (std::size_t i = mixed.size(); i > 1; --i)
        std::swap(mixed[i - 1],
                  mixed[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(i)))]);
    mixed.insert(mixed.end(), reports.begin(), reports.end());
    for (const EndpointReport& r : mixed)
        shuffled.merge(r, Start);
    RC_ASSERT(in_order.digest() == shuffled.digest());
}

// ---- budgets

TEST(LoadBudget, StaysUnderTheCeilingInEveryWindow) {
    LoadBudget budget;
    budget.configure(3, seconds(5));
    std::vector<Time> started;
    for (Time now = Start; now < Start + seconds(30); now += milliseconds(50))
        if (budget.allows(now)) {
            budget.record_start(now);
            started.push_back(now);
        }
    for (const Time from : started) {
        const auto in_window = std::count_if(started.begin(), started.end(), [&](Time t) {
            return t >= from && t < from + seconds(5);
        });
        EXPECT_LE(in_window, 15);
    }
    EXPECT_GT(started.size(), 40u);
}

TEST(WindowedRetryBudget, RepeatsAreAShareOfRequestsInEveryWindow) {
    WindowedRetryBudget budget(seconds(10), 0.2, 100);
    budget.set_share(0.2);
    const Time now = Start + seconds(100);
    for (int i = 0; i < 100; ++i)
        budget.request(now);
    int taken = 0;
    while (budget.has_left(now)) {
        EXPECT_TRUE(budget.take(now));
        ++taken;
    }
    EXPECT_LE(taken, 40);
    EXPECT_GE(taken, 25);
    EXPECT_FALSE(budget.take(now + seconds(5)));
    EXPECT_TRUE(budget.take(now + seconds(12)));
}

// ---- load and stalls

EngineCost engine() {
    EngineCost e;
    e.slots = 48;
    e.step_ms = 6;
    e.step_ms_per_sequence = 0.24;
    e.prefill_tokens_per_ms = 46;
    e.chunk = 2048;
    e.steps_per_pass = 3;
    return e;
}

TEST(GroupLoad, MoreWorkMeansALaterFirstEvent) {
    const ModelShape model{"m", 4, 1, 1, {}, {}};
    GroupLoad idle;
    GroupLoad busy;
    busy.decoding = 6;
    busy.prefilling = 2;
    busy.prefill_tokens = 9000;
    const LoadForecast a = forecast(engine(), model, idle, {1400, false}, 5);
    const LoadForecast b = forecast(engine(), model, busy, {1400, false}, 5);
    EXPECT_LT(a.first_event_ms, b.first_event_ms);
    EXPECT_LT(a.pause_ms, b.pause_ms);
    EXPECT_DOUBLE_EQ(b.in_flight, 40);
}

TEST(StallDetector, SilenceOfAllWritersIsNoticedAfterTheLongestPass) {
    StallDetector watch;
    watch.expect(milliseconds(186), milliseconds(100));
    Time now = Start + seconds(1);
    watch.started(now);
    watch.progress(now + milliseconds(80), true);
    for (int i = 2; i < 10; ++i)
        watch.progress(now + i * milliseconds(80), false);
    now += 9 * milliseconds(80);
    EXPECT_EQ(watch.stalled(now + milliseconds(200)), Duration::zero());
    EXPECT_GT(watch.stalled(now + milliseconds(300)), Duration::zero());
    watch.ended(true);
    EXPECT_EQ(watch.stalled(now + seconds(10)), Duration::zero());
}

TEST(StallDetector, ARequestThatWaitsForItsFirstEventGetsLonger) {
    StallDetector watch;
    watch.expect(milliseconds(186), milliseconds(100));
    watch.started(Start);
    EXPECT_EQ(watch.stalled(Start + milliseconds(700)), Duration::zero());
    EXPECT_GT(watch.stalled(Start + milliseconds(900)), Duration::zero());
}

// ---- settings file

TEST(SiteConfig, ReadsStringsAsNumbersAndNamesTheInvalidKey) {
    const std::string file = testing::TempDir() + "/fleet.json";
    const auto write = [&](const std::string& text) { std::ofstream(file) << text; };
    write(R"({"name":"a","ip":"10.0.0.1","link_port":7340,"seeds":["10.0.0.1:80"],
              "first_start":true,"revoke_ms":"4000","tolerated_hosts":""})");
    const auto good = read_site_config(file);
    ASSERT_TRUE(good) << good.error().detail;
    EXPECT_EQ(good->bounds.revoke, milliseconds(4000));
    EXPECT_EQ(good->tolerated_hosts, 1u);
    EXPECT_EQ(good->seed_ips(), std::vector<std::string>{"10.0.0.1"});
    write(R"({"name":"a","ip":"10.0.0.1","link_port":7340,"seeds":[],"revoke_ms":"soon"})");
    const auto bad = read_site_config(file);
    ASSERT_FALSE(bad);
    EXPECT_NE(bad.error().detail.find("revoke_ms"), std::string::npos);
    std::remove(file.c_str());
    EXPECT_FALSE(read_site_config(file));
}

} // namespace
} // namespace liftweir
