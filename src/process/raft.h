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

// Names one data folder, not one machine: a host whose disk was lost gets a new one. See
// process/node.h for how a number is drawn.
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

// What must be synced before any message that depends on it leaves.
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
    bool pre = false;
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
    std::uint64_t round = 0; // confirms leadership for reads asked before this round
    MSGPACK_DEFINE(term, prev_index, prev_term, entries, commit, round)
};

struct AppendReply {
    Term term = 0;
    bool success = false;
    Index match = 0; // highest index known to be equal; on failure, where to go on from
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
    // Heartbeats must outrun the shortest election timeout several times over, or one late
    // packet between zones (1.5 ms one way, fsync of tens of ms) starts an election.
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration election_min = std::chrono::milliseconds(450);
    Duration election_max = std::chrono::milliseconds(900);
    // Bytes in one append, and on the way to one host that has not answered yet; one entry may go
    // beyond either. A link of 170 Mbit/s carries the second in 50 ms, within one heartbeat.
    std::size_t max_append_bytes = 256u << 10;
    std::size_t max_unanswered_bytes = 1u << 20;
    // The same until a first leader was heard since the start: after a loss of power nobody leads,
    // and waiting for a leader that may live is in vain.
    Duration first_election_min = election_min;
    Duration first_election_max = election_max;
};

// Work the driver has to do, in this order: install, persist, send, apply.
struct RaftReady {
    std::optional<Snapshot> install;
    std::optional<HardState> hard_state;
    std::vector<LogEntry> append; // replaces everything stored from append.front().index on
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

// Replicated log as a plain state machine: no socket, clock, file or unseeded randomness.
// Source: Ongaro and Ousterhout's Raft with pre-vote, check-quorum, read index and
// one-at-a-time change of voters.
class Raft {
  public:
    Raft(NodeId self, RaftTuning tuning, std::uint64_t seed, Voters bootstrap, HardState hard,
         Snapshot snapshot, std::vector<LogEntry> log, Time now);

    void tick(Time now);
    void step(NodeId from, const RaftMessage& message, Time now);

    // Appends to the leader's log. Fails with NotLeader.
    Expected<Index> propose(EntryKind kind, std::string data);
    // Adds or removes one voter. Fails with NotLeader, or Conflict while another change runs.
    Expected<Index> propose_voters(const Voters& voters);
    // Non-voting nodes that the leader keeps up to date. Forgotten when leadership is lost.
    void set_learners(const Voters& learners);
    // Asks for a confirmation that this node still leads. The id comes back in RaftReady.
    Expected<std::uint64_t> read_index();

    RaftReady take_ready();
    // The driver has synced everything of the last RaftReady.
    void persisted();
    // Drops log entries up to the snapshot's index.
    void compact(Snapshot snapshot);

    RaftRole role() const { return role_; }
    bool leads() const { return role_ == RaftRole::Leader; }
    // True once an entry of the leader's own term is committed: reads are linearizable from then.
    bool leads_with_commit() const { return leads() && term_at(commit_) == hard_.term; }
    NodeId self() const { return self_; }
    NodeId leader() const { return leader_; }
    Term term() const { return hard_.term; }
    NodeId voted_for() const { return hard_.voted_for; }
    // What the leader knows of another node; nothing where it does not replicate to it.
    struct PeerView {
        Index match = 0;
        Time last_contact{};
    };
    std::optional<PeerView> peer(NodeId node) const;
    // Voters, this one included, that have synced the log up to an index. Leader only.
    std::size_t synced_copies(Index index) const;
    // Voters in force at an index of the log.
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
    void send_append(NodeId to, Index behind, std::vector<LogEntry> entries);
    void send_snapshot(NodeId to);
    std::vector<LogEntry> next_entries(FollowerProgress& progress) const;
    void broadcast_append();
    void check_quorum();
    void excuse_late_tick(Time now);
    void advance_commit();
    void confirm_reads();
    void fail_reads();
    void truncate_from(Index index);
    void append_entry(LogEntry entry);
    void refresh_voters();
    Voters find_voters(Index up_to, Index& found_at) const;
    bool is_quorum(std::size_t votes) const { return votes > voters_.size() / 2; }
    bool log_up_to_date(Index index, Term term) const;
    void maybe_win();

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
    Index stored_ = 0;    // highest index known to be synced here
    Index unstored_ = 0;  // lowest index not yet handed to the driver; last_index()+1 if none
    bool taking_ = false; // a RaftReady is out and not yet persisted
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
    Time ticked_;
    bool ticked_late_ = false;
    Time election_deadline_{};
    Time heartbeat_due_{};
    Time quorum_due_{};
    Time leader_heard_{};
};

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::EntryKind)

#endif // RAFT_H_INCLUDED
