#ifndef FOLLOWERPROGRESS_H_INCLUDED
#define FOLLOWERPROGRESS_H_INCLUDED

#include "process/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace liftweir {

// Place of an entry in the replicated log; the first one is 1.
using Index = std::uint64_t;

// What a leader knows of one follower's log, and what it has sent there without an answer yet.
class FollowerProgress {
  public:
    // Probes from an index on; `now` counts as the last answer.
    FollowerProgress(Index next, Time now) : next_(next), heard_(now) {}

    // The first entry that was not sent yet.
    Index next() const { return next_; }
    // The highest index known to be equal.
    Index match() const { return match_; }
    // No entries are sent until the match is found.
    bool probing() const { return probing_; }
    std::size_t unanswered_bytes() const { return unanswered_bytes_; }
    // The newest round of heartbeats that the follower answered.
    std::uint64_t round() const { return round_; }
    Time last_contact() const { return heard_; }
    bool snapshot_due(Time now) const { return now >= snapshot_due_; }
    // Whether it answered since the last call.
    bool take_active();

    void sent_entries(Index last, std::size_t bytes);
    // The next copy leaves after `patience`, and twice as late after each that goes unanswered.
    void sent_snapshot(Index index, Time now, Duration patience);
    void answered(std::uint64_t round, Time now);
    // Its log is equal up to an index.
    void matched(Index index);
    // Its log ends before what was sent, or differs there: starts over behind an index.
    void rejected(Index hint, Index leader_last);

  private:
    // Entries up to an index, on their way.
    struct Unanswered {
        Index last = 0;
        std::size_t bytes = 0;
    };

    Index next_;
    Index match_ = 0;
    std::uint64_t round_ = 0;
    bool active_ = false;
    bool probing_ = true;
    Time heard_;
    Time snapshot_due_{};
    Index snapshot_index_ = 0; // of the last one sent
    int snapshots_unanswered_ = 0;
    std::deque<Unanswered> unanswered_;
    std::size_t unanswered_bytes_ = 0;
};

} // namespace liftweir

#endif // FOLLOWERPROGRESS_H_INCLUDED
