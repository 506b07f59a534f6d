// Limits the share of time spent on repeated work. Used by liftweir-site-control.

#ifndef THROTTLE_H_INCLUDED
#define THROTTLE_H_INCLUDED

#include "process/clock.h"

#include <algorithm>

namespace liftweir {

// Keeps repeated work to a tenth of the time, based on the duration of its last run: short work
// runs right after each request, long work combines several requests into one run.
class Throttle {
  public:
    // The earliest time of the next run if it is requested now.
    Time due(Time now) const { return std::max(now, next_run_); }
    void record_run(Time started, Time ended) {
        next_run_ = ended + (ended - started) * IdlePerRun;
    }

  private:
    static constexpr int IdlePerRun = 9; // idle time after a run, in durations of the run

    Time next_run_{};
};

} // namespace liftweir

#endif // THROTTLE_H_INCLUDED
