#ifndef CALLERWAIT_H_INCLUDED
#define CALLERWAIT_H_INCLUDED

#include "process/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace liftweir {

// Tells how long a caller had been waiting before its request came here. A caller's first try
// names its whole time limit, a later one what is left of it; so on a route whose callers mostly
// have one limit, whoever names less has tried before. Pure.
class CallerWaitEstimator {
  public:
    // Nobody who was refused here, and comes back as told, has waited for less.
    static constexpr Duration SoonestReturn = std::chrono::milliseconds(1000);

    // Zero where nothing can be told. `timeout` is the route's, believed to be the callers' limit
    // until enough of them were seen.
    Duration waited(const std::string& route, Duration patience, Duration timeout, Time now);

  private:
    struct Window {
        Duration longest{};
        std::uint32_t total = 0;
        std::uint32_t whole = 0; // within Tolerance of the longest
    };
    struct RouteWindows {
        Time begun{};
        Window now;
        Window before;
    };

    static void count(Window& window, Duration patience);

    std::map<std::string, RouteWindows> routes_;
};

} // namespace liftweir

#endif // CALLERWAIT_H_INCLUDED
