// Replication progress of one follower; runs in the control host programs.

#include "process/followerprogress.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// The longest retry delay is 16 times the first one: 5 s for the smallest snapshots.
constexpr int MaxRetryDoublings = 4;

} // namespace

// The retry delay doubles because copies would fill up a link that is slower than assumed.
void FollowerProgress::sent_snapshot(Index index, Time now, Duration retry_delay) {
    snapshot_index_ = index;
    snapshot_due_ = now + retry_delay * (1 << snapshots_unacknowledged_);
    snapshots_unacknowledged_ = std::min(snapshots_unacknowledged_ + 1, MaxRetryDoublings);
}

bool FollowerProgress::take_active() {
    return std::exchange(active_, false);
}

void FollowerProgress::sent_entries(Index last, std::size_t bytes) {
    next_ = last + 1;
    unacknowledged_.push_back({last, bytes});
    unacknowledged_bytes_ += bytes;
}

void FollowerProgress::replied(std::uint64_t round, Time now) {
    active_ = true;
    last_contact_ = now;
    round_ = std::max(round_, round);
}

void FollowerProgress::matched(Index index) {
    match_ = std::max(match_, index);
    while (!unacknowledged_.empty() && unacknowledged_.front().last <= match_) {
        unacknowledged_bytes_ -= unacknowledged_.front().bytes;
        unacknowledged_.pop_front();
    }
    // The reply to a probe determines the next entry. After that, entries that were already sent
    // are not sent again.
    next_ = std::exchange(probing_, false) ? match_ + 1 : std::max(next_, match_ + 1);
    // A reply to an append that was sent before the snapshot does not acknowledge the snapshot.
    if (match_ < snapshot_index_)
        return;
    snapshot_due_ = Time{};
    snapshots_unacknowledged_ = 0;
}

void FollowerProgress::rejected(Index hint, Index leader_last) {
    next_ = std::clamp(hint + 1, match_ + 1, leader_last + 1);
    probing_ = true;
    unacknowledged_.clear();
    unacknowledged_bytes_ = 0;
}

} // namespace liftweir
