#ifndef LEVELING_H_INCLUDED
#define LEVELING_H_INCLUDED

#include "process/clock.h"

#include <cstddef>
#include <vector>

namespace liftweir {

// How much of something arrives in a second, smoothed over some seconds.
class ArrivalRate {
  public:
    void add(double amount, Time now);
    double per_second(Time now) const;

  private:
    double per_second_ = 0; // at last_
    Time last_{};
};

// Chooses among places whose levels all choosers have seen some time ago, so that together they
// fill the lower ones up evenly. `inflow` is what all choosers add until they see newer levels, in
// the levels' unit. `draw` is uniform in 0 to 1. Expects a level at least.
std::size_t choose_by_level(const std::vector<double>& levels, double inflow, double draw);

} // namespace liftweir

#endif // LEVELING_H_INCLUDED
