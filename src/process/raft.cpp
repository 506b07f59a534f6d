// Raft elections, replication, commit and reads; runs in the control host programs.

#include "process/raft.h"

#include "connection/codec.h"

#include <algorithm>
#include <cassert>

namespace liftweir {

namespace {

// A follower acknowledges a snapshot only after it has received and synced it, and a copy with
// every heartbeat would fill the link. The retry delay is therefore the time for a sync on a slow
// disk, plus twice the transfer time on a link of 40 Mbit/s.
constexpr Duration SnapshotSyncTime = std::chrono::milliseconds(300);
constexpr std::size_t SnapshotBytesPerMilli = 2500;

// Bytes that an entry takes on the wire beside its data, so that small entries count too.
constexpr std::size_t EntryOverheadBytes = 32;

struct VotersRecord {
    Voters voters;
    MSGPACK_DEFINE(voters)
};

Term term_of(const RaftMessage& message) {
    return std::visit([](const auto& m) { return m.term; }, message);
}

Duration snapshot_retry_delay(const Snapshot& snapshot) {
    return SnapshotSyncTime +
           std::chrono::milliseconds(snapshot.data.size() / SnapshotBytesPerMilli);
}

bool is_pre_vote(const RaftMessage& message) {
    if (const auto* request = std::get_if<VoteRequest>(&message))
        return request->pre;
    const auto* reply = std::get_if<VoteReply>(&message);
    return reply != nullptr && reply->pre && reply->granted;
}

} // namespace

Raft::Raft(NodeId self, RaftTuning tuning, std::uint64_t seed, Voters bootstrap, HardState hard,
           Snapshot snapshot, std::vector<LogEntry> log, Time now)
    : self_(self),
      tuning_(tuning),
      random_(seed),
      hard_(hard),
      stored_hard_(hard),
      snapshot_(std::move(snapshot)),
      log_(std::move(log)),
      bootstrap_(std::move(bootstrap)),
      commit_(snapshot_.index),
      applied_(snapshot_.index),
      now_(now),
      last_tick_(now) {
    assert(log_.empty() || log_.front().index == snapshot_.index + 1);
    stored_ = last_index();
    unstored_ = last_index() + 1;
    refresh_voters();
    reset_election_timer();
}

Index Raft::last_index() const {
    return log_.empty() ? snapshot_.index : log_.back().index;
}

Term Raft::term_at(Index index) const {
    if (index == snapshot_.index)
        return snapshot_.term;
    if (index < first_index() || index > last_index())
        return 0;
    return log_[index - first_index()].term;
}

// A set of voters applies as soon as it is in the log, committed or not: the safety of changing
// one voter at a time depends on it.
void Raft::refresh_voters() {
    voters_ = find_voters(last_index(), voters_index_);
}

Voters Raft::voters_at(Index index) const {
    Index ignored = 0;
    return find_voters(index, ignored);
}

Voters Raft::find_voters(Index up_to, Index& found_at) const {
    for (auto entry = log_.rbegin(); entry != log_.rend(); ++entry) {
        if (entry->kind != EntryKind::Voters || entry->index > up_to)
            continue;
        const auto record = decode_struct<VotersRecord>(entry->data);
        assert(record);
        found_at = entry->index;
        return record->voters;
    }
    found_at = snapshot_.index;
    return snapshot_.voters.empty() ? bootstrap_ : snapshot_.voters;
}

void Raft::reset_election_timer() {
    const bool contacted = leader_contact_ != Time{} || leads();
    const Duration least = contacted ? tuning_.election_min : tuning_.first_election_min;
    const Duration most = contacted ? tuning_.election_max : tuning_.first_election_max;
    std::uniform_int_distribution<Duration::rep> pick(0, (most - least).count());
    election_deadline_ = now_ + least + Duration(pick(random_));
}

void Raft::send(NodeId to, RaftMessage message) {
    outbox_.push_back({to, std::move(message)});
}

// A process that was busy or suspended for long has not yet read the heartbeats or replies that
// arrived meanwhile, so its deadlines are extended once by a heartbeat before it treats other nodes
// as unresponsive. This can not cause stale reads: reads are confirmed by rounds of heartbeats.
void Raft::extend_deadlines_after_late_tick(Time now) {
    const bool late = now - last_tick_ > tuning_.election_min / 2;
    const bool excused = std::exchange(last_tick_late_, late);
    last_tick_ = now;
    if (!late || excused)
        return;
    quorum_due_ = std::max(quorum_due_, now + tuning_.heartbeat);
    election_deadline_ = std::max(election_deadline_, now + tuning_.heartbeat);
}

void Raft::tick(Time now) {
    now_ = now;
    extend_deadlines_after_late_tick(now);
    if (leads()) {
        check_quorum();
        if (leads() && now_ >= heartbeat_due_)
            broadcast_append();
        return;
    }
    if (now_ >= election_deadline_ && voters_.contains(self_))
        start_pre_vote();
}

// Check-quorum: a partitioned leader receives no message that would depose it, so it steps down by
// itself when a majority has not replied. It stops serving before clients can use a successor.
void Raft::check_quorum() {
    if (now_ < quorum_due_)
        return;
    std::size_t contacted = voters_.contains(self_) ? 1 : 0;
    for (auto& [node, progress] : progress_) {
        const bool active = progress.take_active();
        contacted += active && voters_.contains(node) ? 1 : 0;
    }
    if (!is_quorum(contacted)) {
        become_follower(hard_.term, NoNode);
        return;
    }
    quorum_due_ = now_ + tuning_.election_min;
}

void Raft::become_follower(Term term, NodeId leader) {
    assert(term >= hard_.term);
    if (term > hard_.term)
        hard_ = {term, NoNode};
    role_ = RaftRole::Follower;
    leader_ = leader;
    votes_.clear();
    fail_reads();
    reset_election_timer();
}

// A pre-vote finds out whether an election could be won before the term is raised, so that a host
// that returns from a partition does not depose a working leader.
void Raft::start_pre_vote() {
    role_ = RaftRole::PreCandidate;
    leader_ = NoNode;
    votes_.clear();
    votes_[self_] = true;
    reset_election_timer();
    for (const NodeId node : voters_)
        if (node != self_)
            send(node, VoteRequest{hard_.term + 1, last_index(), term_at(last_index()), true});
    check_votes();
}

void Raft::start_election() {
    role_ = RaftRole::Candidate;
    hard_ = {hard_.term + 1, self_};
    votes_.clear();
    votes_[self_] = true;
    reset_election_timer();
    for (const NodeId node : voters_)
        if (node != self_)
            send(node, VoteRequest{hard_.term, last_index(), term_at(last_index()), false});
    check_votes();
}

void Raft::check_votes() {
    const auto granted = std::count_if(votes_.begin(), votes_.end(), [&](const auto& vote) {
        return vote.second && voters_.contains(vote.first);
    });
    if (!is_quorum(static_cast<std::size_t>(granted)))
        return;
    if (role_ == RaftRole::PreCandidate)
        start_election();
    else if (role_ == RaftRole::Candidate)
        become_leader();
}

void Raft::become_leader() {
    role_ = RaftRole::Leader;
    leader_ = self_;
    progress_.clear();
    for (const NodeId node : voters_)
        if (node != self_)
            progress_.try_emplace(node, last_index() + 1, now_);
    quorum_due_ = now_ + tuning_.election_min;
    // Entries of earlier terms are committed only by committing an entry of the leader's own term.
    append_entry({hard_.term, last_index() + 1, EntryKind::Noop, {}});
    broadcast_append();
}

void Raft::append_entry(LogEntry entry) {
    assert(entry.index == last_index() + 1);
    const bool changes_voters = entry.kind == EntryKind::Voters;
    log_.push_back(std::move(entry));
    if (changes_voters)
        refresh_voters();
}

void Raft::truncate_from(Index index) {
    assert(index > commit_);
    log_.resize(index - first_index());
    stored_ = std::min(stored_, index - 1);
    unstored_ = std::min(unstored_, index);
    if (voters_index_ >= index)
        refresh_voters();
}

Expected<Index> Raft::propose(EntryKind kind, std::string data) {
    if (!leads())
        return fail(FailureKind::NotLeader, std::to_string(leader_));
    append_entry({hard_.term, last_index() + 1, kind, std::move(data)});
    return last_index();
}

// Only one voter may be added or removed at a time, and only after the previous change is
// committed: then every majority of the old set shares a voter with every majority of the new set.
Expected<Index> Raft::propose_voters(const Voters& voters) {
    if (!leads_with_commit())
        return fail(FailureKind::NotLeader, std::to_string(leader_));
    if (voters_index_ > commit_)
        return fail(FailureKind::Conflict, "a change of voters is not yet committed");
    Voters difference;
    std::set_symmetric_difference(voters.begin(), voters.end(), voters_.begin(), voters_.end(),
                                  std::inserter(difference, difference.end()));
    if (difference.size() != 1 || voters.empty())
        return fail(FailureKind::BadRequest, "voters change one at a time");
    auto index = propose(EntryKind::Voters, encode_struct(VotersRecord{voters}));
    for (const NodeId node : voters_)
        if (node != self_ && !progress_.contains(node))
            progress_.try_emplace(node, last_index(), now_);
    return index;
}

// A removed voter stays in progress_ until it is no learner either, so that it receives the entry
// that removes it.
void Raft::set_learners(const Voters& learners) {
    if (!leads())
        return;
    for (const NodeId node : learners)
        if (node != self_ && !progress_.contains(node))
            progress_.try_emplace(node, last_index() + 1, now_);
    std::erase_if(progress_, [&](const auto& item) {
        return !voters_.contains(item.first) && !learners.contains(item.first);
    });
}

std::optional<Raft::PeerView> Raft::peer(NodeId node) const {
    const auto found = progress_.find(node);
    if (!leads() || found == progress_.end())
        return std::nullopt;
    return PeerView{found->second.match(), found->second.last_contact()};
}

std::size_t Raft::synced_copies(Index index) const {
    std::size_t copies = voters_.contains(self_) && stored_ >= index ? 1 : 0;
    for (const auto& [node, progress] : progress_)
        copies += voters_.contains(node) && progress.match() >= index ? 1 : 0;
    return copies;
}

Expected<std::uint64_t> Raft::read_index() {
    if (!leads_with_commit())
        return fail(FailureKind::NotLeader, std::to_string(leader_));
    const auto id = next_read_++;
    reads_.push_back({id, round_ + 1});
    return id;
}

void Raft::fail_reads() {
    for (const auto& read : reads_)
        failed_reads_.push_back(read.id);
    reads_.clear();
}

void Raft::confirm_reads() {
    const auto confirmed = [&](const PendingRead& read) {
        std::size_t replied = voters_.contains(self_) ? 1 : 0;
        for (const auto& [node, progress] : progress_)
            replied += progress.round() >= read.round && voters_.contains(node) ? 1 : 0;
        return read.round <= round_ && is_quorum(replied);
    };
    std::erase_if(reads_, [&](const PendingRead& read) {
        if (!confirmed(read))
            return false;
        confirmed_reads_.push_back(read.id);
        return true;
    });
}

void Raft::broadcast_append() {
    heartbeat_due_ = now_ + tuning_.heartbeat;
    for (const auto& [node, progress] : progress_)
        send_heartbeat(node);
}

// Sends an empty append even where no entries may be sent: a follower that waits for a snapshot
// must not start an election, and its replies count towards the leader's quorum.
void Raft::send_heartbeat(NodeId to) {
    const Index next = progress_.at(to).next();
    send_append(to, std::max(next - 1, snapshot_.index), {});
    send_missing(to);
}

// Sends the entries or the snapshot that a follower lacks, as far as its limits allow. It never
// sends an empty append: the reply to it would trigger the next one without end.
void Raft::send_missing(NodeId to) {
    FollowerProgress& progress = progress_.at(to);
    if (progress.next() <= snapshot_.index) {
        send_snapshot(to);
        return;
    }
    while (true) {
        const Index after_index = progress.next() - 1;
        std::vector<LogEntry> entries = next_entries(progress);
        if (entries.empty())
            return;
        send_append(to, after_index, std::move(entries));
    }
}

void Raft::send_append(NodeId to, Index after_index, std::vector<LogEntry> entries) {
    AppendRequest request;
    request.term = hard_.term;
    request.prev_index = after_index;
    request.prev_term = term_at(after_index);
    request.commit = commit_;
    request.round = round_;
    request.entries = std::move(entries);
    send(to, std::move(request));
}

void Raft::send_snapshot(NodeId to) {
    FollowerProgress& progress = progress_.at(to);
    if (!progress.snapshot_due(now_))
        return;
    progress.sent_snapshot(snapshot_.index, now_, snapshot_retry_delay(snapshot_));
    send(to, SnapshotRequest{hard_.term, snapshot_});
}

// Returns the next entries for a follower, up to the limit of unacknowledged bytes: a host that
// does not reply must not be sent the log again with each heartbeat.
std::vector<LogEntry> Raft::next_entries(FollowerProgress& progress) const {
    std::vector<LogEntry> entries;
    if (progress.probing())
        return entries;
    std::size_t bytes = 0;
    for (Index index = progress.next(); index <= last_index(); ++index) {
        const LogEntry& entry = log_[index - first_index()];
        const std::size_t size = EntryOverheadBytes + entry.data.size();
        const std::size_t unacknowledged = progress.unacknowledged_bytes() + bytes;
        const bool batch_full = bytes > 0 && bytes + size > tuning_.max_append_bytes;
        const bool window_full =
            unacknowledged > 0 && unacknowledged + size > tuning_.max_unacknowledged_bytes;
        if (batch_full || window_full)
            break;
        bytes += size;
        entries.push_back(entry);
    }
    if (!entries.empty())
        progress.sent_entries(entries.back().index, bytes);
    return entries;
}

// The leader counts its own copy only up to the index that it has synced. An entry of an earlier
// term is never committed by counting copies.
void Raft::advance_commit() {
    if (!leads())
        return;
    std::vector<Index> matches;
    for (const NodeId node : voters_)
        matches.push_back(node == self_ ? stored_ : progress_.at(node).match());
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const Index majority = matches[matches.size() / 2];
    if (majority <= commit_ || term_at(majority) != hard_.term)
        return;
    commit_ = majority;
    // A removed leader continues until its own removal is committed, then steps down.
    if (!voters_.contains(self_) && voters_index_ <= commit_)
        become_follower(hard_.term, NoNode);
}

void Raft::step(NodeId from, const RaftMessage& message, Time now) {
    now_ = now;
    const Term term = term_of(message);
    const bool vote_request = std::holds_alternative<VoteRequest>(message);
    if (term > hard_.term && !vote_request && !is_pre_vote(message))
        become_follower(term, NoNode);
    std::visit([&](const auto& m) { on(from, m); }, message);
}

bool Raft::log_up_to_date(Index index, Term term) const {
    const Term own = term_at(last_index());
    return term > own || (term == own && index >= last_index());
}

void Raft::on(NodeId from, const VoteRequest& m) {
    const bool follows_live_leader =
        leader_ != NoNode && leader_ != self_ && now_ - leader_contact_ < tuning_.election_min;
    const bool leader_alive = leads() || follows_live_leader;
    if (m.pre) {
        const bool grant =
            m.term > hard_.term && !leader_alive && log_up_to_date(m.last_index, m.last_term);
        send(from, VoteReply{grant ? m.term : hard_.term, grant, true});
        return;
    }
    if (m.term > hard_.term) {
        if (leader_alive)
            return;
        become_follower(m.term, NoNode);
    }
    const bool free = hard_.voted_for == NoNode || hard_.voted_for == from;
    const bool grant = m.term == hard_.term && free && log_up_to_date(m.last_index, m.last_term);
    if (grant) {
        hard_.voted_for = from;
        reset_election_timer();
    }
    send(from, VoteReply{hard_.term, grant, false});
}

void Raft::on(NodeId from, const VoteReply& m) {
    const bool counts_pre =
        m.pre && role_ == RaftRole::PreCandidate && (!m.granted || m.term == hard_.term + 1);
    const bool counts = !m.pre && role_ == RaftRole::Candidate && m.term == hard_.term;
    if (!counts_pre && !counts)
        return;
    votes_[from] = m.granted;
    check_votes();
}

void Raft::on(NodeId from, const AppendRequest& m) {
    if (m.term < hard_.term) {
        send(from, AppendReply{hard_.term, false, last_index(), m.round});
        return;
    }
    if (role_ != RaftRole::Follower || leader_ != from)
        become_follower(m.term, from);
    leader_contact_ = now_;
    reset_election_timer();

    const Index known = std::max(m.prev_index, snapshot_.index);
    if (m.prev_index > last_index()) {
        send(from, AppendReply{hard_.term, false, last_index(), m.round});
        return;
    }
    if (m.prev_index >= snapshot_.index && term_at(m.prev_index) != m.prev_term) {
        const Term conflicting = term_at(m.prev_index);
        Index hint = m.prev_index - 1;
        while (hint > commit_ && term_at(hint) == conflicting)
            --hint;
        send(from, AppendReply{hard_.term, false, std::max(hint, commit_), m.round});
        return;
    }
    for (const LogEntry& entry : m.entries) {
        if (entry.index <= known || entry.index <= snapshot_.index)
            continue;
        if (entry.index <= last_index()) {
            if (term_at(entry.index) == entry.term)
                continue;
            truncate_from(entry.index);
        }
        append_entry(entry);
    }
    const Index match = m.prev_index + m.entries.size();
    commit_ = std::max(commit_, std::min(m.commit, match));
    send(from, AppendReply{hard_.term, true, match, m.round});
}

void Raft::on(NodeId from, const AppendReply& m) {
    if (!leads() || m.term != hard_.term || !progress_.contains(from))
        return;
    FollowerProgress& progress = progress_.at(from);
    progress.replied(m.round, now_);
    confirm_reads();
    if (!m.success) {
        progress.rejected(m.match, last_index());
        if (progress.next() > snapshot_.index)
            send_append(from, progress.next() - 1, {});
        else
            send_snapshot(from);
        return;
    }
    progress.matched(m.match);
    advance_commit();
    if (leads())
        send_missing(from);
}

void Raft::on(NodeId from, const SnapshotRequest& m) {
    if (m.term < hard_.term) {
        send(from, AppendReply{hard_.term, false, last_index(), 0});
        return;
    }
    if (role_ != RaftRole::Follower || leader_ != from)
        become_follower(m.term, from);
    leader_contact_ = now_;
    reset_election_timer();
    const bool log_matches =
        m.snapshot.index > snapshot_.index && term_at(m.snapshot.index) == m.snapshot.term;
    if (m.snapshot.index > commit_ && log_matches) {
        // The log matches up to the snapshot's index. The entries after it were acknowledged, and
        // the leader may have counted them, so a delayed snapshot must not drop them.
        commit_ = m.snapshot.index;
    } else if (m.snapshot.index > commit_) {
        snapshot_ = m.snapshot;
        log_.clear();
        commit_ = applied_ = stored_ = snapshot_.index;
        unstored_ = snapshot_.index + 1;
        to_install_ = snapshot_;
        refresh_voters();
    }
    send(from, AppendReply{hard_.term, true, std::min(m.snapshot.index, commit_), 0});
}

RaftReady Raft::take_ready() {
    assert(!ready_pending_);
    if (leads() && !reads_.empty() && reads_.back().round > round_) {
        ++round_;
        broadcast_append();
        confirm_reads();
    } else if (leads() && unstored_ <= last_index()) {
        for (const auto& [node, progress] : progress_)
            if (!progress.probing())
                send_missing(node);
    }

    RaftReady ready;
    ready.install = std::exchange(to_install_, std::nullopt);
    if (hard_ != stored_hard_)
        ready.hard_state = hard_;
    if (unstored_ <= last_index())
        ready.append.assign(log_.begin() + static_cast<std::ptrdiff_t>(unstored_ - first_index()),
                            log_.end());
    ready.messages = std::exchange(outbox_, {});
    ready.confirmed_reads = std::exchange(confirmed_reads_, {});
    ready.failed_reads = std::exchange(failed_reads_, {});
    for (Index index = applied_ + 1; index <= commit_; ++index)
        ready.committed.push_back(log_[index - first_index()]);
    applied_ = commit_;
    unstored_ = last_index() + 1;
    ready_pending_ = ready.must_sync();
    return ready;
}

void Raft::persisted() {
    ready_pending_ = false;
    stored_hard_ = hard_;
    stored_ = last_index();
    advance_commit();
}

void Raft::compact(Snapshot snapshot) {
    assert(snapshot.index <= applied_);
    if (snapshot.index <= snapshot_.index)
        return;
    log_.erase(log_.begin(),
               log_.begin() + static_cast<std::ptrdiff_t>(snapshot.index + 1 - first_index()));
    snapshot_ = std::move(snapshot);
}

} // namespace liftweir
