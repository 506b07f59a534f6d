// Statistics of host outages. Used by liftweir-control.

#ifndef OUTAGE_H_INCLUDED
#define OUTAGE_H_INCLUDED

#include "process/clock.h"

#include <map>
#include <string>

namespace liftweir {

// Prior distribution of the outage statistics, from the settings.
struct OutagePrior {
    Duration mean_return = std::chrono::seconds(30);
    double loss_share = 0.05; // share of the outages that need manual repair
    Duration loss_horizon = std::chrono::seconds(600); // assumed remaining length
};

// Estimates how long unresponsive hosts stay away, and which hosts have failed recently.
class OutageStats {
  public:
    void returned(Duration outage);
    void failed(const std::string& host, Time now);

    // Expected time until a host returns that has not reported for `elapsed`. Grows with `elapsed`:
    // the longer the outage, the less likely is a return.
    Duration expected_remaining(Duration elapsed, const OutagePrior& prior) const;
    // Decaying count of the host's recent failures; 0 for a host without any.
    double hazard(const std::string& host, Time now) const;

  private:
    struct Hazard {
        double value = 0;
        Time at{};
    };

    double returns_ = 0;
    double return_seconds_ = 0;
    std::map<std::string, Hazard> hazards_;
};

} // namespace liftweir

#endif // OUTAGE_H_INCLUDED
