#ifndef LOADBUDGET_H_INCLUDED
#define LOADBUDGET_H_INCLUDED

#include "process/clock.h"

#include <deque>

namespace liftweir {

// Keeps loads from the weight store under its ceiling, counted over a sliding window.
class LoadBudget {
  public:
    void configure(double loads_per_second, Duration window);
    // A new leader does not know what was begun before it: it counts half of the window as begun,
    // and all of it where more than one leader may have begun loads in it.
    void assume_begun(bool by_several, Time now);
    bool allows(Time now);
    void begun(Time now) { begun_.push_back(now); }

  private:
    std::size_t most_ = 0;
    Duration window_ = std::chrono::seconds(5);
    std::deque<Time> begun_;
};

} // namespace liftweir

#endif // LOADBUDGET_H_INCLUDED
