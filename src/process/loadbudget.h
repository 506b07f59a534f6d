// A rate limit on loads of model weights. Used by liftweir-site-control.

#ifndef LOADBUDGET_H_INCLUDED
#define LOADBUDGET_H_INCLUDED

#include "process/clock.h"

#include <deque>
#include <optional>

namespace liftweir {

// Limits the loads from the weight store that start within a sliding window.
class LoadBudget {
  public:
    void configure(double loads_per_second, Duration window);
    // Accounts for loads that earlier leaders may have started: half of the limit, or all of it if
    // several leaders may have started loads within the window. Takes effect once configured.
    void assume_started(bool by_several, Time now);
    bool allows(Time now);
    void record_start(Time now) { starts_.push_back(now); }

  private:
    // A call of assume_started() before the limit is configured.
    struct Assumption {
        bool by_several = false;
        Time at{};
    };

    std::size_t max_loads_ = 0; // zero until configured
    std::optional<Assumption> assumed_;
    Duration window_ = std::chrono::seconds(5);
    std::deque<Time> starts_;
};

} // namespace liftweir

#endif // LOADBUDGET_H_INCLUDED
