// Request rate of one entry host towards an endpoint that has just started and is still cold.

#ifndef COLDPACE_H_INCLUDED
#define COLDPACE_H_INCLUDED

#include "process/clock.h"

#include <compare>

namespace liftweir {

// A cold endpoint can handle only a limited request rate from all entry hosts together. The hosts
// do not coordinate: each sends at its own share of that rate, beginning at a random moment.
class ColdPace {
  public:
    // Whether a request may be sent now. `interval` is the time between two requests of this host,
    // `draw` a random number in [0, 1).
    bool allows(Duration interval, double draw, Time now);
    void sent(Duration interval, Time now) { due_ = now + interval; }

    auto operator<=>(const ColdPace&) const = default;

  private:
    Time due_{}; // of the next request; zero before the first call of allows()
};

} // namespace liftweir

#endif // COLDPACE_H_INCLUDED
