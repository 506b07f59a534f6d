#ifndef STALLWATCH_H_INCLUDED
#define STALLWATCH_H_INCLUDED

#include "process/clock.h"

#include <cstdint>

namespace liftweir {

// Notices that a group stands still, from the streams that one entry host has there. A pass of
// the engine moves all streams at once, so silence on all of them for several passes means that a
// member is gone, long before the group itself reports it.
class StallWatch {
  public:
    // An event, or the head of an answer, came from the group.
    void progress(Time now);
    void started(Time now);
    void ended() { waiting_ -= waiting_ > 0 ? 1 : 0; }

    // For how long all streams have stood still; zero where none is waiting or it is too early to
    // tell.
    Duration stalled(Time now) const;
    // Smoothed time between two passes that moved a stream.
    double pass_ms() const { return pass_ms_; }
    std::uint32_t waiting() const { return waiting_; }
    Time last_progress() const { return last_; }

  private:
    Duration patience() const;

    std::uint32_t waiting_ = 0;
    Time last_{};      // progress, or the start of the only stream
    bool seen_ = false; // progress since the first of the present streams began
    double pass_ms_ = 0;
};

} // namespace liftweir

#endif // STALLWATCH_H_INCLUDED
