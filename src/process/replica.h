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

// One copy of the replicated state: the log, its store and the state that the log builds. Does
// no I/O but through Storage, and knows no clock but the times it is given.
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
    // The answer comes once the command is applied; NoQuorum where leadership is lost before
    // that is known: the command may still be applied.
    void propose(const Command& command, Answer answer);
    void propose_voters(const Voters& voters, Answer answer);
    // Answers once every command committed before the call is applied here.
    void read(ReadAnswer answer);

    // Persists, applies, and returns the messages to send. A failure is final: stop the process.
    Expected<std::vector<RaftEnvelope>> pump();

    const State& state() const { return state_; }
    const Raft& raft() const { return raft_; }
    // For the leader's care of voters and learners.
    Raft& mutable_raft() { return raft_; }
    // No command above this index that raises the lease version stands in the log, committed or
    // not. What an entry host's settings lease rests on.
    Version logged_lease_version() const {
        return std::max(state_.lease_version(), pending_lease_);
    }
    bool ready() const { return raft_.leads_with_commit() && applied_ == raft_.commit(); }

  private:
    struct Pending {
        Term term = 0;
        Answer answer;
    };

    Replica(std::unique_ptr<LogStore> store, State state, NodeId self, const Voters& bootstrap,
            RaftTuning tuning, std::uint64_t seed, StoredLog stored, Time now);

    void apply(const LogEntry& entry);
    void settle(Index index, Term term, const ApplyResult& result);
    void fail_pending();
    void answer_reads(RaftReady& ready);
    void note_pending_lease();
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
