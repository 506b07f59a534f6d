// Throttled work on an event loop. Used by liftweir-site-control.

#ifndef THROTTLEDWORK_H_INCLUDED
#define THROTTLEDWORK_H_INCLUDED

#include "process/throttle.h"

#include <asio.hpp>

#include <functional>
#include <utility>

namespace liftweir {

// Runs work on the event loop on request. Requests that arrive before the next run are combined
// into one, and runs are throttled.
class ThrottledWork {
  public:
    ThrottledWork(asio::io_context& io, std::function<void()> work)
        : timer_(io), work_(std::move(work)) {}

    // Schedules a run on the event loop as early as the throttle allows.
    void schedule() {
        if (std::exchange(scheduled_, true))
            return;
        const Time now = BootClock::now();
        timer_.expires_after(throttle_.due(now) - now);
        timer_.async_wait([this](asio::error_code error) {
            if (error)
                return;
            scheduled_ = false;
            run();
        });
    }

    // Runs the work now, regardless of the throttle.
    void run() {
        const Time started = BootClock::now();
        work_();
        throttle_.record_run(started, BootClock::now());
    }

    // The earliest time of the next run if it is requested at `now`.
    Time due(Time now) const { return throttle_.due(now); }

  private:
    asio::steady_timer timer_;
    std::function<void()> work_;
    Throttle throttle_;
    bool scheduled_ = false;
};

} // namespace liftweir

#endif // THROTTLEDWORK_H_INCLUDED
