#include "process/followerprogress.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// Sixteen times the first pause: with the smallest snapshots 5 s.
constexpr int MostDoublings = 4;

} // namespace

// Without growing pauses a link slower than thought fills up with copies.
void FollowerProgress::sent_snapshot(Index index, Time now, Duration patience) {
    snapshot_index_ = index;
    snapshot_due_ = now + patience * (1 << snapshots_unanswered_);
    snapshots_unanswered_ = std::min(snapshots_unanswered_ + 1, MostDoublings);
}

bool FollowerProgress::take_active() {
    return std::exchange(active_, false);
}

void FollowerProgress::sent_entries(Index last, std::size_t bytes) {
    next_ = last + 1;
    unanswered_.push_back({last, bytes});
    unanswered_bytes_ += bytes;
}

void FollowerProgress::answered(std::uint64_t round, Time now) {
    active_ = true;
    heard_ = now;
    round_ = std::max(round_, round);
}

void FollowerProgress::matched(Index index) {
    match_ = std::max(match_, index);
    while (!unanswered_.empty() && unanswered_.front().last <= match_) {
        unanswered_bytes_ -= unanswered_.front().bytes;
        unanswered_.pop_front();
    }
    // A probe's answer says where to go on; what was sent since the match is known is not sent
    // again.
    next_ = std::exchange(probing_, false) ? match_ + 1 : std::max(next_, match_ + 1);
    // An answer to an append from before the snapshot says nothing of the copy under way.
    if (match_ < snapshot_index_)
        return;
    snapshot_due_ = Time{};
    snapshots_unanswered_ = 0;
}

void FollowerProgress::rejected(Index hint, Index leader_last) {
    next_ = std::clamp(hint + 1, match_ + 1, leader_last + 1);
    probing_ = true;
    unanswered_.clear();
    unanswered_bytes_ = 0;
}

} // namespace liftweir
