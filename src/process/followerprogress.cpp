#include "process/followerprogress.h"

#include <algorithm>
#include <utility>

namespace liftweir {

bool FollowerProgress::snapshot_due(Time now, Duration patience) const {
    return snapshot_sent_ == Time{} || now - snapshot_sent_ >= patience;
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
    snapshot_sent_ = Time{};
}

void FollowerProgress::rejected(Index hint, Index leader_last) {
    next_ = std::clamp(hint + 1, match_ + 1, leader_last + 1);
    probing_ = true;
    unanswered_.clear();
    unanswered_bytes_ = 0;
}

} // namespace liftweir
