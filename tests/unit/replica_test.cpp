// Tests of the replicated log with several control hosts on a simulated network.

#include "connection/codec.h"
#include "process/replica.h"
#include "unit/memstorage.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>

namespace liftweir {
namespace {

constexpr Duration Step = std::chrono::milliseconds(10);

Command change(const std::string& order, Version base, int ms) {
    ChangeSettings c;
    c.order = order;
    c.base = base;
    c.author = "test";
    c.changes = {{"org", "models/a/deadline_ms", std::to_string(ms)}};
    return c;
}

Command claim(std::uint64_t sequence) {
    return ClaimOnce{"customer", "key-" + std::to_string(sequence), "digest", {1, sequence, 0}, 1,
                     1u << 20};
}

// Control hosts on a virtual clock, with a network that delays, drops, duplicates and reorders
// packets.
class Hosts {
  public:
    explicit Hosts(unsigned count, std::uint64_t seed, Voters bootstrap = {})
        : random_(seed),
          storage_(count),
          replicas_(count),
          partitioned_(count, false),
          busy_(count, false) {
        for (NodeId n = 1; n <= count && bootstrap.empty(); ++n)
            bootstrap_.insert(n);
        if (!bootstrap.empty())
            bootstrap_ = bootstrap;
        for (NodeId n = 1; n <= count; ++n)
            start(n);
    }

    void start(NodeId n) {
        auto opened = Replica::open(storage_[n - 1], n, bootstrap_, RaftTuning{}, random_(), now_);
        ASSERT_TRUE(opened) << opened.error().detail;
        replicas_[n - 1] = std::move(*opened);
        replicas_[n - 1]->on_applied(
            [this](Index index, const Command& command, const ApplyResult&) {
                const std::string bytes = encode(command);
                const auto [known, added] = applied_.emplace(index, bytes);
                EXPECT_EQ(known->second, bytes) << "two hosts applied different commands";
            });
    }
    void crash(NodeId n) {
        replicas_[n - 1].reset();
        storage_[n - 1].crash();
    }
    bool up(NodeId n) const { return replicas_[n - 1] != nullptr; }
    Replica& at(NodeId n) { return *replicas_[n - 1]; }
    void partitioned(NodeId n, bool off) { partitioned_[n - 1] = off; }
    // A busy host neither reads messages nor runs its timers; its messages wait.
    void busy(NodeId n, bool on) { busy_[n - 1] = on; }
    unsigned size() const { return static_cast<unsigned>(replicas_.size()); }
    Time now() const { return now_; }

    // `loss` and `duplication` are in percent.
    void step(unsigned loss = 0, unsigned duplication = 0) {
        now_ += Step;
        for (NodeId n = 1; n <= size(); ++n)
            if (up(n) && !busy_[n - 1]) {
                at(n).tick(now_);
                pump(n, loss, duplication);
            }
        std::deque<Packet> due;
        due.swap(wire_);
        for (Packet& p : due) {
            if (busy_[p.to - 1] || random_() % 3 == 0) {
                wire_.push_back(std::move(p));
                continue;
            }
            if (!up(p.to) || partitioned_[p.to - 1] || partitioned_[p.from - 1])
                continue;
            at(p.to).step(p.from, p.message, now_);
            pump(p.to, loss, duplication);
        }
    }
    void run(Duration d) {
        for (Duration t{}; t < d; t += Step)
            step();
    }
    Replica* leader() {
        for (NodeId n = 1; n <= size(); ++n)
            if (up(n) && !partitioned_[n - 1] && at(n).ready())
                return &at(n);
        return nullptr;
    }
    std::map<Index, std::string>& applied() { return applied_; }

  private:
    struct Packet {
        NodeId from;
        NodeId to;
        RaftMessage message;
    };

    void pump(NodeId n, unsigned loss, unsigned duplication) {
        const auto messages = at(n).pump();
        ASSERT_TRUE(messages);
        for (const RaftEnvelope& e : *messages) {
            if (random_() % 100 >= loss)
                wire_.push_back({n, e.to, e.message});
            if (random_() % 100 < duplication)
                wire_.push_back({n, e.to, e.message});
        }
    }

    std::mt19937_64 random_;
    Time now_ = Time(std::chrono::seconds(100));
    Voters bootstrap_;
    std::vector<MemStorage> storage_;
    std::vector<std::unique_ptr<Replica>> replicas_;
    std::vector<bool> partitioned_;
    std::vector<bool> busy_;
    std::deque<Packet> wire_;
    std::map<Index, std::string> applied_;
};

// Random crashes, partitions, and lost and duplicated packets.
TEST(Replica, KeepsWhatItAcknowledgedUnderRandomFaults) {
    EXPECT_TRUE(rc::check([] {
        Hosts hosts(3, *rc::gen::arbitrary<std::uint64_t>());
        std::set<std::uint64_t> acknowledged;
        std::uint64_t sequence = 0;
        const auto actions = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 12));
        for (const int action : actions) {
            const NodeId node = static_cast<NodeId>(action % 3) + 1;
            if (action < 3 && hosts.up(node))
                hosts.crash(node);
            else if (action < 6 && !hosts.up(node))
                hosts.start(node);
            else if (action < 9)
                hosts.partitioned(node, action % 2 == 0);
            if (Replica* leader = hosts.leader()) {
                const std::uint64_t s = ++sequence;
                leader->propose(claim(s), [&acknowledged, s](const Expected<ApplyResult>& r) {
                    if (r && r->ok)
                        acknowledged.insert(s);
                });
            }
            for (int i = 0; i < 12; ++i)
                hosts.step(10, 10);
        }
        for (NodeId n = 1; n <= 3; ++n) {
            hosts.partitioned(n, false);
            if (!hosts.up(n))
                hosts.start(n);
        }
        for (int i = 0; i < 2000 && hosts.leader() == nullptr; ++i)
            hosts.step();
        hosts.run(std::chrono::seconds(1));
        Replica* leader = hosts.leader();
        RC_ASSERT(leader != nullptr);
        for (const std::uint64_t s : acknowledged)
            RC_ASSERT(leader->state().claim("customer", "key-" + std::to_string(s)).has_value());
        RC_ASSERT(hosts.at(1).state().save() == hosts.at(2).state().save());
        RC_ASSERT(hosts.at(2).state().save() == hosts.at(3).state().save());
    }));
}

TEST(Replica, APartitionedLeaderStepsDownAndAnswersNothing) {
    Hosts hosts(3, 7);
    hosts.run(std::chrono::seconds(3));
    Replica* old = hosts.leader();
    ASSERT_NE(old, nullptr);
    const NodeId partitioned = old->raft().self();
    hosts.partitioned(partitioned, true);
    bool reported_done = false;
    bool reported_failed = false;
    old->propose(claim(1), [&](const Expected<ApplyResult>& r) {
        (r ? reported_done : reported_failed) = true;
    });
    bool read_done = false;
    old->read([&](const Expected<void>& r) { read_done = r.has_value(); });
    hosts.run(std::chrono::milliseconds(1500));
    EXPECT_FALSE(old->raft().leads());
    EXPECT_FALSE(reported_done);
    EXPECT_TRUE(reported_failed);
    EXPECT_FALSE(read_done);
    Replica* successor = hosts.leader();
    ASSERT_NE(successor, nullptr);
    EXPECT_NE(successor->raft().self(), partitioned);
}

// A host that returns from a partition does not raise the term, so the leader stays.
TEST(Replica, PreVoteKeepsAReturningHostFromDeposingTheLeader) {
    Hosts hosts(3, 11);
    hosts.run(std::chrono::seconds(3));
    Replica* leader = hosts.leader();
    ASSERT_NE(leader, nullptr);
    const Term term = leader->raft().term();
    const NodeId other = leader->raft().self() % 3 + 1;
    hosts.partitioned(other, true);
    hosts.run(std::chrono::seconds(5));
    hosts.partitioned(other, false);
    hosts.run(std::chrono::seconds(2));
    EXPECT_TRUE(leader->raft().leads());
    EXPECT_EQ(leader->raft().term(), term);
}

TEST(Replica, ABusyLeaderReadsRepliesBeforeItStepsDown) {
    int uncontested = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Hosts hosts(3, seed);
        hosts.run(std::chrono::seconds(3));
        Replica* leader = hosts.leader();
        ASSERT_NE(leader, nullptr);
        const NodeId self = leader->raft().self();
        hosts.busy(self, true);
        hosts.run(RaftTuning{}.election_min + 2 * Step);
        hosts.busy(self, false);
        bool contested = false;
        for (NodeId n = 1; n <= 3; ++n)
            contested = contested || (n != self && hosts.at(n).raft().role() != RaftRole::Follower);
        if (contested)
            continue;
        ++uncontested;
        hosts.step();
        EXPECT_TRUE(leader->raft().leads()) << "seed " << seed;
    }
    EXPECT_GT(uncontested, 10);
}

TEST(Replica, ASlowPartitionedLeaderStepsDown) {
    Hosts hosts(3, 5);
    hosts.run(std::chrono::seconds(3));
    Replica* leader = hosts.leader();
    ASSERT_NE(leader, nullptr);
    const NodeId self = leader->raft().self();
    hosts.partitioned(self, true);
    for (int turn = 0; turn < 10; ++turn) {
        hosts.busy(self, true);
        hosts.run(std::chrono::milliseconds(300));
        hosts.busy(self, false);
        hosts.step();
    }
    EXPECT_FALSE(leader->raft().leads());
}

TEST(Replica, AHostFarBehindCatchesUpFromASnapshot) {
    Hosts hosts(3, 13);
    hosts.run(std::chrono::seconds(3));
    const NodeId late = hosts.leader()->raft().self() % 3 + 1;
    hosts.crash(late);
    for (int i = 0; i < 700; ++i) {
        CloseClaim big{"customer", "none", {}, ClaimPhase::Completed, {200, "", {}}, true};
        big.answer.body = std::string(16000, 'x');
        hosts.leader()->propose(big, [](const auto&) {});
        if (i % 10 == 0)
            hosts.step();
    }
    hosts.leader()->propose(change("o", 0, 77), [](const auto&) {});
    hosts.run(std::chrono::seconds(2));
    EXPECT_GT(hosts.leader()->raft().snapshot().index, 500u);
    hosts.start(late);
    hosts.run(std::chrono::seconds(3));
    EXPECT_EQ(hosts.at(late).state().settings_version(),
              hosts.leader()->state().settings_version());
    EXPECT_GT(hosts.at(late).raft().snapshot().index, 500u);
}

// Host 2 of three, with an empty disk.
std::unique_ptr<Replica> open_follower(MemStorage& storage) {
    auto opened = Replica::open(storage, 2, {1, 2, 3}, RaftTuning{}, 7, Time{});
    EXPECT_TRUE(opened);
    return std::move(*opened);
}

TEST(Replica, ADelayedSnapshotDropsNoAcknowledgedEntry) {
    MemStorage storage;
    const auto opened = open_follower(storage);
    Replica& host = *opened;
    AppendRequest entries;
    entries.term = 1;
    entries.commit = 10;
    State state;
    for (Index index = 1; index <= 20; ++index) {
        const Command command = ReplaceDocument{index, "document"};
        entries.entries.push_back({1, index, EntryKind::Command, encode(command)});
        if (index <= 15)
            state.apply(index, command);
    }
    host.step(1, entries, Time{} + Step);
    ASSERT_TRUE(host.pump());
    host.step(1, SnapshotRequest{1, {15, 1, {1, 2, 3}, state.save()}}, Time{} + 2 * Step);
    const auto answers = host.pump();
    ASSERT_TRUE(answers);
    EXPECT_EQ(host.raft().last_index(), 20u);
    EXPECT_EQ(host.state().document().version, 15u);
    const auto* answer = std::get_if<AppendReply>(&answers->back().message);
    ASSERT_NE(answer, nullptr);
    EXPECT_TRUE(answer->success);
    EXPECT_EQ(answer->match, 15u);
}

// Entries that differ from the leader's are dropped, and so are those after them.
TEST(Replica, ASnapshotReplacesALogThatDiffers) {
    MemStorage storage;
    const auto opened = open_follower(storage);
    Replica& host = *opened;
    AppendRequest entries;
    entries.term = 1;
    for (Index index = 1; index <= 20; ++index)
        entries.entries.push_back(
            {1, index, EntryKind::Command, encode(Command(ReplaceDocument{index, "one"}))});
    host.step(1, entries, Time{} + Step);
    ASSERT_TRUE(host.pump());
    State state;
    state.apply(15, ReplaceDocument{40, "other"});
    host.step(3, SnapshotRequest{2, {15, 2, {1, 2, 3}, state.save()}}, Time{} + 2 * Step);
    ASSERT_TRUE(host.pump());
    EXPECT_EQ(host.raft().last_index(), 15u);
    EXPECT_EQ(host.state().document().version, 40u);
}

TEST(Replica, ALogOfLargeDocumentsStaysAFewTimesAsLargeAsItsState) {
    constexpr std::size_t DocumentBytes = 70000;
    Hosts hosts(3, 14);
    hosts.run(std::chrono::seconds(3));
    for (Version version = 1; version <= 200; ++version) {
        hosts.leader()->propose(ReplaceDocument{version, std::string(DocumentBytes, 'x')},
                                [](const auto&) {});
        hosts.step();
    }
    hosts.run(std::chrono::seconds(1));
    const Raft& raft = hosts.leader()->raft();
    std::size_t log = 0;
    for (const LogEntry& entry : raft.log())
        log += entry.data.size();
    EXPECT_LT(log, 20 * DocumentBytes);
    EXPECT_EQ(hosts.leader()->state().document().version, 200u);
}

TEST(Replica, VotersChangeOneAtATime) {
    Hosts hosts(4, 17, {1, 2, 3});
    hosts.run(std::chrono::seconds(3));
    Replica* leader = hosts.leader();
    ASSERT_NE(leader, nullptr);
    bool two_at_once = true;
    leader->propose_voters({1, 4}, [&](const auto& r) { two_at_once = r.has_value(); });
    EXPECT_FALSE(two_at_once);
    bool added = false;
    leader->propose_voters({1, 2, 3, 4}, [&](const auto& r) { added = r && r->ok; });
    bool second = true;
    leader->propose_voters({1, 2, 3}, [&](const auto& r) { second = r.has_value(); });
    EXPECT_FALSE(second) << "the previous change is not committed";
    hosts.run(std::chrono::seconds(2));
    EXPECT_TRUE(added);
    EXPECT_EQ(hosts.at(4).raft().voters(), (Voters{1, 2, 3, 4}));
}

// Lease acknowledgements depend on this: a logged but uncommitted change counts at once.
TEST(Replica, LoggedLeaseVersionCountsUncommittedChanges) {
    Hosts hosts(3, 19);
    hosts.run(std::chrono::seconds(3));
    Replica* leader = hosts.leader();
    ASSERT_NE(leader, nullptr);
    for (NodeId n = 1; n <= 3; ++n)
        hosts.partitioned(n, n != leader->raft().self());
    leader->propose(change("o", 0, 5), [](const auto&) {});
    hosts.step();
    EXPECT_EQ(leader->state().lease_version(), 0u);
    EXPECT_EQ(leader->logged_lease_version(), leader->raft().last_index());
}

} // namespace
} // namespace liftweir
