// A control host's copy of the replicated state: Raft, its store on disk and the applied state.
// Runs in liftweir-control and liftweir-site-control.

#ifndef REPLICA_H_INCLUDED
#define REPLICA_H_INCLUDED

#include "process/logstore.h"
#include "process/raft.h"
#include "version/state.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace liftweir {

// Persists and applies the replicated log. Its only I/O is through Storage, and it reads no clock:
// callers pass in the time.
class Replica {
  public:
    using OnApplied = std::function<void(Index, const Command&, const ApplyResult&)>;
    using Answer = std::function<void(const Expected<ApplyResult>&)>;
    using ReadAnswer = std::function<void(const Expected<void>&)>;

    // Fails with Damaged or Storage; a control host then must not start.
    static Expected<std::unique_ptr<Replica>> open(Storage& storage, NodeId self,
                                                   const Voters& bootstrap, RaftTuning tuning,
                                                   std::uint64_t seed, Time now);

    void on_applied(OnApplied on_applied) { on_applied_ = std::move(on_applied); }

    void tick(Time now) { raft_.tick(now); }
    void step(NodeId from, const RaftMessage& message, Time now) { raft_.step(from, message, now); }
    // `answer` is called once the command is applied. It gets NoQuorum where leadership is lost
    // before that is known; the command may still be applied later.
    void propose(const Command& command, Answer answer);
    void propose_voters(const Voters& voters, Answer answer);
    // Calls `answer` once every command that was committed before this call is applied here.
    void read(ReadAnswer answer);

    // Persists and applies pending work and returns the messages to send. After a failure the
    // process must stop.
    Expected<std::vector<RaftEnvelope>> pump();

    const State& state() const { return state_; }
    const Raft& raft() const { return raft_; }
    // Access for the leader, which sets voters and learners.
    Raft& mutable_raft() { return raft_; }
    // Index of the newest command in the log, committed or not, that raises the lease version.
    // Settings leases of entry hosts depend on this value.
    Version logged_lease_version() const {
        return std::max(state_.lease_version(), pending_lease_);
    }
    // True where this host has applied an entry of the current leader, and so everything that was
    // committed under earlier ones.
    bool caught_up() const;
    bool ready() const { return raft_.leads_with_commit() && applied_ == raft_.commit(); }

  private:
    struct Pending {
        Term term = 0;
        Answer answer;
    };

    Replica(std::unique_ptr<LogStore> store, State state, NodeId self, const Voters& bootstrap,
            RaftTuning tuning, std::uint64_t seed, StoredLog stored, Time now);

    void apply(const LogEntry& entry);
    void complete(Index index, Term term, const ApplyResult& result);
    void fail_pending();
    void answer_reads(RaftReady& ready);
    void update_pending_lease();
    Expected<void> maybe_compact();

    std::unique_ptr<LogStore> store_;
    State state_;
    Raft raft_;
    Index applied_ = 0;
    Version pending_lease_ = 0;
    std::map<Index, Pending> pending_;
    std::map<std::uint64_t, ReadAnswer> reads_;
    OnApplied on_applied_;
};

} // namespace liftweir

#endif // REPLICA_H_INCLUDED
