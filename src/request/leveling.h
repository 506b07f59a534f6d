// Randomised load balancing for several choosers that share outdated load levels.

#ifndef LEVELING_H_INCLUDED
#define LEVELING_H_INCLUDED

#include "process/clock.h"

#include <cstddef>
#include <vector>

namespace liftweir {

// An amount per second, smoothed exponentially over a few seconds.
class ArrivalRate {
  public:
    void add(double amount, Time now);
    double per_second(Time now) const;
    // The rate if `amount` is added now.
    double per_second_with(double amount, Time now) const;

  private:
    double per_second_ = 0; // at last_
    Time last_{};
};

// Returns the index of a target. All choosers know the same levels from some time ago, and together
// they fill the lower targets up to a common level. `inflow` is the amount that all choosers add
// until they know newer levels, in the unit of the levels. `draw` is uniform in 0 to 1, and also
// decides between equal levels. There must be at least one level.
std::size_t choose_by_level(const std::vector<double>& levels, double inflow, double draw);

} // namespace liftweir

#endif // LEVELING_H_INCLUDED
