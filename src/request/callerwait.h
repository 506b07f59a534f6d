// Estimates from callers' time limits how long each caller has been waiting since its first
// attempt.

#ifndef CALLERWAIT_H_INCLUDED
#define CALLERWAIT_H_INCLUDED

#include "process/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace liftweir {

// A caller's first attempt states its full time limit, and a later one the remainder. So on a route
// whose callers mostly have the same limit, a request with a shorter one is a later attempt. Pure:
// no I/O and no clock of its own.
class CallerWaitEstimator {
  public:
    // Shortest Retry-After of a rejection: a caller that returns as requested has waited longer.
    static constexpr Duration MinRetryDelay = std::chrono::milliseconds(1000);

    // How long the caller has been waiting; zero if unknown. The route's `timeout` is taken for the
    // callers' limit until enough calls were counted.
    Duration waited(const std::string& route, Duration time_limit, Duration timeout, Time now);

  private:
    struct Window {
        Duration longest{};
        std::uint32_t total = 0;
        std::uint32_t full = 0; // calls within Tolerance of the longest limit
    };
    struct RouteWindows {
        Time started{};
        Window now;
        Window previous;
    };

    static void count(Window& window, Duration time_limit);

    std::map<std::string, RouteWindows> routes_;
};

} // namespace liftweir

#endif // CALLERWAIT_H_INCLUDED
