#ifndef STALLDETECTOR_H_INCLUDED
#define STALLDETECTOR_H_INCLUDED

#include "process/clock.h"

#include <cstdint>

namespace liftweir {

// Notices that a group stands still, from the streams that one entry host has there. A pass of
// the engine moves every stream that writes, so silence on all of them for longer than any pass
// can take means that a member is gone, long before the group itself reports it.
class StallDetector {
  public:
    // Longest pass of the group's engine, and how long a first event may take; from the engine's
    // figures.
    void expect(Duration longest_pass, Duration first_event);
    void started(Time now);
    // An event came from the group; `first` where it was the first one of its stream.
    void progress(Time now, bool first);
    // A stream that had begun to write, or had not, is over.
    void ended(bool wrote);

    // For how long all streams have stood still; zero where none is waiting or it is too early to
    // tell.
    Duration stalled(Time now) const;
    // Smoothed time between two passes that moved a stream.
    double pass_ms() const { return pass_ms_; }
    std::uint32_t waiting() const { return writing_ + reading_; }

  private:
    Duration patience() const;

    std::uint32_t writing_ = 0;
    std::uint32_t reading_ = 0;
    Time last_{}; // progress, or the start of the first of the present streams
    double pass_ms_ = 0;
    Duration longest_pass_{};
    Duration first_event_{};
};

} // namespace liftweir

#endif // STALLDETECTOR_H_INCLUDED
