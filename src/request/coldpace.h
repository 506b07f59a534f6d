#ifndef COLDPACE_H_INCLUDED
#define COLDPACE_H_INCLUDED

#include "process/clock.h"

#include <compare>

namespace liftweir {

// When this entry host may send the next request to an endpoint that has just started, and bears
// only so many a second from all entry hosts. They do not ask each other: each keeps a pace of its
// own, and begins at a moment that chance decides.
class ColdPace {
  public:
    // `every` is the time between two requests of this host; `draw` lies in [0, 1).
    bool allows(Duration every, double draw, Time now);
    void sent(Duration every, Time now) { due_ = now + every; }

    auto operator<=>(const ColdPace&) const = default;

  private:
    Time due_{}; // of the next request; not begun where it is zero
};

} // namespace liftweir

#endif // COLDPACE_H_INCLUDED
