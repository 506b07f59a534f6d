#ifndef LOADBUDGET_H_INCLUDED
#define LOADBUDGET_H_INCLUDED

#include "process/clock.h"

#include <deque>
#include <optional>

namespace liftweir {

// Keeps loads from the weight store under its ceiling, counted over a sliding window.
class LoadBudget {
  public:
    void configure(double loads_per_second, Duration window);
    // A new leader does not know what was begun before it: it counts half of the window as begun,
    // and all of it where more than one leader may have begun loads in it.
    // Where it is not configured yet, from then on.
    void assume_begun(bool by_several, Time now);
    bool allows(Time now);
    void begun(Time now) { begun_.push_back(now); }

  private:
    // What was assumed before the figures were known.
    struct Assumption {
        bool by_several = false;
        Time at{};
    };

    std::size_t most_ = 0; // zero before it is configured
    std::optional<Assumption> assumed_;
    Duration window_ = std::chrono::seconds(5);
    std::deque<Time> begun_;
};

} // namespace liftweir

#endif // LOADBUDGET_H_INCLUDED
