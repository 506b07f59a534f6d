// The replicated log of the control hosts (Raft): its entries, messages and state machine.
// Runs in liftweir-control and liftweir-site-control.

#ifndef RAFT_H_INCLUDED
#define RAFT_H_INCLUDED

#include "process/clock.h"
#include "process/failure.h"
#include "process/followerprogress.h"

#include <compare>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace liftweir {

// Identifies one data directory, not one machine: a host that lost its disk gets a new number. See
// process/node.h for how liftweir-site-control draws it.
using NodeId = std::uint64_t;
using Term = std::uint64_t;

constexpr NodeId NoNode = 0;

enum class EntryKind : std::uint8_t { Noop, Command, Voters };

struct LogEntry {
    Term term = 0;
    Index index = 0;
    EntryKind kind = EntryKind::Noop;
    std::string data;

    bool operator==(const LogEntry&) const = default;
    MSGPACK_DEFINE(term, index, kind, data)
};

// State that must be synced to disk before any message that depends on it is sent.
struct HardState {
    Term term = 0;
    NodeId voted_for = NoNode;

    auto operator<=>(const HardState&) const = default;
    MSGPACK_DEFINE(term, voted_for)
};

using Voters = std::set<NodeId>;

struct Snapshot {
    Index index = 0;
    Term term = 0;
    Voters voters;
    std::string data;

    bool operator==(const Snapshot&) const = default;
    MSGPACK_DEFINE(index, term, voters, data)
};

struct VoteRequest {
    Term term = 0;
    Index last_index = 0;
    Term last_term = 0;
    bool pre = false; // a pre-vote, which does not raise the term
    MSGPACK_DEFINE(term, last_index, last_term, pre)
};

struct VoteReply {
    Term term = 0;
    bool granted = false;
    bool pre = false;
    MSGPACK_DEFINE(term, granted, pre)
};

struct AppendRequest {
    Term term = 0;
    Index prev_index = 0;
    Term prev_term = 0;
    std::vector<LogEntry> entries;
    Index commit = 0;
    std::uint64_t round = 0; // confirms leadership for reads requested before this round
    MSGPACK_DEFINE(term, prev_index, prev_term, entries, commit, round)
};

struct AppendReply {
    Term term = 0;
    bool success = false;
    Index match = 0; // highest index known to match; on failure, the index to retry after
    std::uint64_t round = 0;
    MSGPACK_DEFINE(term, success, match, round)
};

struct SnapshotRequest {
    Term term = 0;
    Snapshot snapshot;
    MSGPACK_DEFINE(term, snapshot)
};

using RaftMessage =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest>;

struct RaftEnvelope {
    NodeId to = NoNode;
    RaftMessage message;
};

struct RaftTuning {
    // The shortest election timeout covers several heartbeats. Otherwise one delayed packet
    // between zones (1.5 ms one way, fsync of tens of ms) would start an election.
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration election_min = std::chrono::milliseconds(450);
    Duration election_max = std::chrono::milliseconds(900);
    // Limits for the bytes in one append and for the bytes that one host has not acknowledged yet;
    // a single entry may exceed both. A link of 170 Mbit/s carries the second limit in 50 ms,
    // within one heartbeat.
    std::size_t max_append_bytes = 256u << 10;
    std::size_t max_unacknowledged_bytes = 1u << 20;
    // Election timeouts before the first contact with a leader since the start. They may be
    // shorter: after a power failure there is no leader to wait for.
    Duration first_election_min = election_min;
    Duration first_election_max = election_max;
};

// Work for the caller of Raft::take_ready(), in this order: install, persist, send, apply.
struct RaftReady {
    std::optional<Snapshot> install;
    std::optional<HardState> hard_state;
    std::vector<LogEntry> append; // replaces all stored entries from append.front().index on
    std::vector<RaftEnvelope> messages;
    std::vector<LogEntry> committed;
    std::vector<std::uint64_t> confirmed_reads;
    std::vector<std::uint64_t> failed_reads;

    bool must_sync() const { return install || hard_state || !append.empty(); }
    bool empty() const {
        return !must_sync() && messages.empty() && committed.empty() && confirmed_reads.empty() &&
               failed_reads.empty();
    }
};

enum class RaftRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

// Raft after Ongaro and Ousterhout, with pre-vote, check-quorum, read index and changes of one
// voter at a time. A plain state machine: it uses no socket, clock, file or unseeded randomness.
class Raft {
  public:
    Raft(NodeId self, RaftTuning tuning, std::uint64_t seed, Voters bootstrap, HardState hard,
         Snapshot snapshot, std::vector<LogEntry> log, Time now);

    void tick(Time now);
    void step(NodeId from, const RaftMessage& message, Time now);

    // Appends to the leader's log. Fails with NotLeader.
    Expected<Index> propose(EntryKind kind, std::string data);
    // Adds or removes one voter. Fails with NotLeader, or with Conflict while an earlier change is
    // not committed.
    Expected<Index> propose_voters(const Voters& voters);
    // Sets the non-voting nodes that the leader replicates to. A node that loses leadership drops
    // the set.
    void set_learners(const Voters& learners);
    // Requests a confirmation that this node still leads. The returned id appears later in the
    // confirmed or failed reads of a RaftReady.
    Expected<std::uint64_t> read_index();

    RaftReady take_ready();
    // To be called once everything in the last RaftReady is synced.
    void persisted();
    // Drops log entries up to the snapshot's index.
    void compact(Snapshot snapshot);

    RaftRole role() const { return role_; }
    bool leads() const { return role_ == RaftRole::Leader; }
    // True once an entry of the leader's own term is committed: reads are linearizable from then.
    bool leads_with_commit() const { return leads() && term_at(commit_) == hard_.term; }
    // Whether a leader has checked lately that a majority replies. One that was suspended may not
    // know yet that it was deposed.
    bool quorum_is_recent(Time now) const {
        return leads() && now < quorum_due_ + tuning_.heartbeat;
    }
    NodeId self() const { return self_; }
    NodeId leader() const { return leader_; }
    Term term() const { return hard_.term; }
    NodeId voted_for() const { return hard_.voted_for; }
    // What the leader knows about another node; nullopt where it does not replicate to that node.
    struct PeerView {
        Index match = 0;
        Time last_contact{};
    };
    std::optional<PeerView> peer(NodeId node) const;
    // Number of voters, this node included, that have synced the log up to an index. Only
    // meaningful on the leader.
    std::size_t synced_copies(Index index) const;
    // The set of voters that applies at an index of the log.
    Voters voters_at(Index index) const;
    Index commit() const { return commit_; }
    Index last_index() const;
    Index first_index() const { return snapshot_.index + 1; }
    Term term_at(Index index) const;
    const Voters& voters() const { return voters_; }
    Index voters_index() const { return voters_index_; }
    const std::vector<LogEntry>& log() const { return log_; }
    const Snapshot& snapshot() const { return snapshot_; }

  private:
    struct PendingRead {
        std::uint64_t id = 0;
        std::uint64_t round = 0;
    };

    void become_follower(Term term, NodeId leader);
    void start_pre_vote();
    void start_election();
    void become_leader();
    void reset_election_timer();
    void send(NodeId to, RaftMessage message);
    void send_heartbeat(NodeId to);
    void send_missing(NodeId to);
    void send_append(NodeId to, Index after_index, std::vector<LogEntry> entries);
    void send_snapshot(NodeId to);
    std::vector<LogEntry> next_entries(FollowerProgress& progress) const;
    void broadcast_append();
    void check_quorum();
    void extend_deadlines_after_late_tick(Time now);
    void advance_commit();
    void confirm_reads();
    void fail_reads();
    void truncate_from(Index index);
    void append_entry(LogEntry entry);
    void refresh_voters();
    Voters find_voters(Index up_to, Index& found_at) const;
    bool is_quorum(std::size_t votes) const { return votes > voters_.size() / 2; }
    bool log_up_to_date(Index index, Term term) const;
    void check_votes();

    void on(NodeId from, const VoteRequest& m);
    void on(NodeId from, const VoteReply& m);
    void on(NodeId from, const AppendRequest& m);
    void on(NodeId from, const AppendReply& m);
    void on(NodeId from, const SnapshotRequest& m);

    const NodeId self_;
    const RaftTuning tuning_;
    std::mt19937_64 random_;
    HardState hard_;
    HardState stored_hard_;
    Snapshot snapshot_;
    std::vector<LogEntry> log_; // entries after snapshot_
    Voters bootstrap_;
    Voters voters_;
    Index voters_index_ = 0;
    Index commit_ = 0;
    Index applied_ = 0;
    Index stored_ = 0;   // highest index known to be synced on this node
    Index unstored_ = 0; // lowest index not yet returned by take_ready(); last_index() + 1 if none
    bool ready_pending_ = false; // a RaftReady was taken and is not persisted yet
    std::optional<Snapshot> to_install_;
    RaftRole role_ = RaftRole::Follower;
    NodeId leader_ = NoNode;
    std::map<NodeId, bool> votes_;
    std::map<NodeId, FollowerProgress> progress_;
    std::vector<RaftEnvelope> outbox_;
    std::vector<PendingRead> reads_;
    std::vector<std::uint64_t> confirmed_reads_;
    std::vector<std::uint64_t> failed_reads_;
    std::uint64_t round_ = 0;
    std::uint64_t next_read_ = 1;
    Time now_;
    Time last_tick_;
    bool last_tick_late_ = false;
    Time election_deadline_{};
    Time heartbeat_due_{};
    Time quorum_due_{};
    Time leader_contact_{};
};

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::EntryKind)

#endif // RAFT_H_INCLUDED
