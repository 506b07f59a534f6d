// Persisting, applying and compacting the replicated log; runs in the control host programs.

#include "process/replica.h"

#include "connection/codec.h"

#include <algorithm>

namespace liftweir {

namespace {

// A snapshot is written when the log has grown to this many times the size of the last snapshot.
// Snapshots then add at most a quarter to the bytes written, and a host with an empty disk is sent
// little more than the state.
constexpr std::size_t LogSizePerSnapshotSize = 4;
// A snapshot of a smaller log saves nothing: sending this many bytes takes 50 ms at 170 Mbit/s.
constexpr std::size_t MinLogBytesForSnapshot = 1u << 20;
// Limits the disk space: the smallest control hosts have 128 MB, and a snapshot needs space beside
// the log that it replaces.
constexpr std::size_t MaxLogBytesForSnapshot = 32u << 20;

} // namespace

Expected<std::unique_ptr<Replica>> Replica::open(Storage& storage, NodeId self,
                                                 const Voters& bootstrap, RaftTuning tuning,
                                                 std::uint64_t seed, Time now) {
    auto store = std::make_unique<LogStore>(storage);
    auto stored = store->open();
    if (!stored)
        return tl::make_unexpected(stored.error());
    State state;
    if (!stored->snapshot.data.empty()) {
        auto loaded = State::load(stored->snapshot.data);
        if (!loaded)
            return fail(FailureKind::Damaged, "snapshot: " + loaded.error().detail);
        state = std::move(*loaded);
    }
    return std::unique_ptr<Replica>(new Replica(std::move(store), std::move(state), self, bootstrap,
                                                tuning, seed, std::move(*stored), now));
}

Replica::Replica(std::unique_ptr<LogStore> store, State state, NodeId self, const Voters& bootstrap,
                 RaftTuning tuning, std::uint64_t seed, StoredLog stored, Time now)
    : store_(std::move(store)),
      state_(std::move(state)),
      raft_(self, tuning, seed, bootstrap, stored.hard_state, stored.snapshot,
            std::move(stored.entries), now),
      applied_(stored.snapshot.index) {
    update_pending_lease();
}

void Replica::propose(const Command& command, Answer answer) {
    const auto index = raft_.propose(EntryKind::Command, encode(command));
    if (!index) {
        answer(tl::make_unexpected(index.error()));
        return;
    }
    pending_[*index] = {raft_.term(), std::move(answer)};
}

void Replica::propose_voters(const Voters& voters, Answer answer) {
    const auto index = raft_.propose_voters(voters);
    if (!index) {
        answer(tl::make_unexpected(index.error()));
        return;
    }
    pending_[*index] = {raft_.term(), std::move(answer)};
}

void Replica::read(ReadAnswer answer) {
    const auto id = raft_.read_index();
    if (!id) {
        answer(tl::make_unexpected(id.error()));
        return;
    }
    reads_[*id] = std::move(answer);
}

// Every entry is persisted before it is applied and before a message that depends on it is sent.
Expected<std::vector<RaftEnvelope>> Replica::pump() {
    std::vector<RaftEnvelope> out;
    while (true) {
        RaftReady ready = raft_.take_ready();
        if (ready.empty())
            break;
        if (ready.install) {
            auto loaded = State::load(ready.install->data);
            if (!loaded)
                return fail(FailureKind::Damaged, "snapshot: " + loaded.error().detail);
            const HardState hard{raft_.term(), ready.hard_state ? ready.hard_state->voted_for
                                                                : raft_.voted_for()};
            if (auto saved = store_->save_snapshot(*ready.install, hard, raft_.log()); !saved)
                return tl::make_unexpected(saved.error());
            state_ = std::move(*loaded);
            applied_ = ready.install->index;
        } else if (ready.must_sync()) {
            if (auto stored = store_->append(ready.hard_state, ready.append); !stored)
                return tl::make_unexpected(stored.error());
        }
        if (!ready.append.empty() || ready.install)
            update_pending_lease();
        if (ready.must_sync())
            raft_.persisted();
        std::move(ready.messages.begin(), ready.messages.end(), std::back_inserter(out));
        for (const LogEntry& entry : ready.committed)
            apply(entry);
        answer_reads(ready);
    }
    if (!raft_.leads())
        fail_pending();
    if (auto compacted = maybe_compact(); !compacted)
        return tl::make_unexpected(compacted.error());
    return out;
}

void Replica::apply(const LogEntry& entry) {
    applied_ = entry.index;
    if (entry.kind != EntryKind::Command) {
        ApplyResult done;
        done.version = entry.index;
        complete(entry.index, entry.term, done);
        return;
    }
    const auto command = decode<Command>(entry.data);
    ApplyResult result;
    if (command) {
        result = state_.apply(entry.index, *command);
        if (on_applied_)
            on_applied_(entry.index, *command, result);
    } else {
        // A command of a newer release. Every replica of this release skips it in the same way.
        result.ok = false;
        result.failure = FailureKind::Decode;
        result.detail = command.error().detail;
    }
    complete(entry.index, entry.term, result);
}

void Replica::complete(Index index, Term term, const ApplyResult& result) {
    const auto found = pending_.find(index);
    if (found == pending_.end())
        return;
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    if (pending.term == term)
        pending.answer(result);
    else
        pending.answer(fail(FailureKind::NoQuorum, "leadership was lost"));
}

// A deposed leader can not know whether its successor will commit the pending commands.
void Replica::fail_pending() {
    for (auto& [index, pending] : std::exchange(pending_, {}))
        pending.answer(fail(FailureKind::NoQuorum, "leadership was lost"));
}

void Replica::answer_reads(RaftReady& ready) {
    const auto answer = [&](std::uint64_t id, const Expected<void>& result) {
        const auto found = reads_.find(id);
        if (found == reads_.end())
            return;
        const ReadAnswer read = std::move(found->second);
        reads_.erase(found);
        read(result);
    };
    for (const std::uint64_t id : ready.confirmed_reads)
        answer(id, {});
    for (const std::uint64_t id : ready.failed_reads)
        answer(id, fail(FailureKind::NoQuorum, "leadership was lost"));
}

void Replica::update_pending_lease() {
    pending_lease_ = 0;
    for (auto entry = raft_.log().rbegin(); entry != raft_.log().rend(); ++entry) {
        if (entry->index <= applied_)
            return;
        if (entry->kind != EntryKind::Command)
            continue;
        const auto command = decode<Command>(entry->data);
        if (command && raises_lease_version(*command)) {
            pending_lease_ = entry->index;
            return;
        }
    }
}

bool Replica::caught_up() const {
    return raft_.leader() != NoNode && applied_ == raft_.commit() &&
           raft_.term_at(applied_) == raft_.term();
}

Expected<void> Replica::maybe_compact() {
    const std::size_t threshold = std::clamp(LogSizePerSnapshotSize * raft_.snapshot().data.size(),
                                             MinLogBytesForSnapshot, MaxLogBytesForSnapshot);
    if (store_->bytes_since_snapshot() < threshold || applied_ == raft_.snapshot().index)
        return {};
    Snapshot snapshot;
    snapshot.index = applied_;
    snapshot.term = raft_.term_at(applied_);
    snapshot.voters = raft_.voters_at(applied_);
    snapshot.data = state_.save();
    raft_.compact(snapshot);
    return store_->save_snapshot(raft_.snapshot(), {raft_.term(), raft_.voted_for()}, raft_.log());
}

} // namespace liftweir
