// Tracks how far the leader of the replicated log has replicated to one follower.
// Runs in liftweir-control and liftweir-site-control.

#ifndef FOLLOWERPROGRESS_H_INCLUDED
#define FOLLOWERPROGRESS_H_INCLUDED

#include "process/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace liftweir {

// Position of an entry in the replicated log; the first entry has index 1.
using Index = std::uint64_t;

// What a leader knows about one follower's log, and the messages that the follower has not
// acknowledged yet.
class FollowerProgress {
  public:
    // Starts probing at index `next`; `now` counts as the time of the last reply.
    FollowerProgress(Index next, Time now) : next_(next), last_contact_(now) {}

    // Index of the first entry that was not sent yet.
    Index next() const { return next_; }
    // Highest index up to which the logs are known to match.
    Index match() const { return match_; }
    // True while the matching index is not known; no entries are sent until it is.
    bool probing() const { return probing_; }
    std::size_t unacknowledged_bytes() const { return unacknowledged_bytes_; }
    // Newest round of heartbeats that the follower replied to.
    std::uint64_t round() const { return round_; }
    // Time of the last reply.
    Time last_contact() const { return last_contact_; }
    bool snapshot_due(Time now) const { return now >= snapshot_due_; }
    // Returns whether the follower replied since the last call.
    bool take_active();

    void sent_entries(Index last, std::size_t bytes);
    // The next copy is due after `retry_delay`; the delay doubles with each copy that is not
    // acknowledged.
    void sent_snapshot(Index index, Time now, Duration retry_delay);
    void replied(std::uint64_t round, Time now);
    // The follower's log matches up to an index.
    void matched(Index index);
    // The follower's log ends before the entries sent, or conflicts with them: probing starts again
    // after index `hint`.
    void rejected(Index hint, Index leader_last);

  private:
    // Entries up to index `last` that were sent and not acknowledged.
    struct Unacknowledged {
        Index last = 0;
        std::size_t bytes = 0;
    };

    Index next_;
    Index match_ = 0;
    std::uint64_t round_ = 0;
    bool active_ = false;
    bool probing_ = true;
    Time last_contact_;
    Time snapshot_due_{};
    Index snapshot_index_ = 0; // of the last snapshot sent
    int snapshots_unacknowledged_ = 0;
    std::deque<Unacknowledged> unacknowledged_;
    std::size_t unacknowledged_bytes_ = 0;
};

} // namespace liftweir

#endif // FOLLOWERPROGRESS_H_INCLUDED
