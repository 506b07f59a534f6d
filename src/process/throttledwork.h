#ifndef THROTTLEDWORK_H_INCLUDED
#define THROTTLEDWORK_H_INCLUDED

#include "process/throttle.h"

#include <asio.hpp>

#include <functional>
#include <utility>

namespace liftweir {

// Work on the loop that many causes ask for: done once for all that came in the meantime, and no
// more often than its pace allows.
class ThrottledWork {
  public:
    ThrottledWork(asio::io_context& io, std::function<void()> work)
        : timer_(io), work_(std::move(work)) {}

    // Does the work from the loop, as soon as may be.
    void schedule() {
        if (std::exchange(asked_, true))
            return;
        const Time now = BootClock::now();
        timer_.expires_after(pace_.due(now) - now);
        timer_.async_wait([this](asio::error_code error) {
            if (error)
                return;
            asked_ = false;
            run();
        });
    }

    // Does it now, whatever its pace.
    void run() {
        const Time begun = BootClock::now();
        work_();
        pace_.worked(begun, BootClock::now());
    }

    // When it may be done next, if it is asked for then.
    Time due(Time now) const { return pace_.due(now); }

  private:
    asio::steady_timer timer_;
    std::function<void()> work_;
    Throttle pace_;
    bool asked_ = false;
};

} // namespace liftweir

#endif // THROTTLEDWORK_H_INCLUDED
