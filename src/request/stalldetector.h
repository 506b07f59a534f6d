// Detects stalled groups from the streams of one entry host (liftweir-site-entry).

#ifndef STALLDETECTOR_H_INCLUDED
#define STALLDETECTOR_H_INCLUDED

#include "process/clock.h"

#include <cstdint>

namespace liftweir {

// Each forward pass of the engine advances all decoding streams of the group. If none of them has
// an event for longer than any pass can take, a member was lost; this shows long before the group
// itself reports it.
class StallDetector {
  public:
    // Sets the longest forward pass of the group's engine and the longest time until a first event,
    // both from the engine's cost model.
    void expect(Duration longest_pass, Duration first_event);
    void started(Time now);
    // A stream received an event; `first` if it is the stream's first one.
    void progress(Time now, bool first);
    // A stream that has begun is not read for a while, or is read again.
    void paused();
    void resumed(Time now);
    // A stream ended; `had_event` if it had received its first event.
    void ended(bool had_event);

    // How long all streams have had no event; zero before the timeout or if there is no stream.
    Duration stalled(Time now) const;
    // Smoothed time between two passes that advanced a stream.
    double pass_ms() const { return pass_ms_; }
    std::uint32_t waiting() const { return decoding_ + prefilling_; }

  private:
    Duration timeout() const;

    std::uint32_t decoding_ = 0;
    std::uint32_t prefilling_ = 0;
    Time last_progress_{}; // last event, or the start of the first of the present streams
    double pass_ms_ = 0;
    Duration longest_pass_{};
    Duration first_event_{};
};

} // namespace liftweir

#endif // STALLDETECTOR_H_INCLUDED
