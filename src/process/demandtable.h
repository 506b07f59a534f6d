// The demand that entry hosts report to the leading control host (liftweir-site-control).

#ifndef DEMANDTABLE_H_INCLUDED
#define DEMANDTABLE_H_INCLUDED

#include "process/clock.h"
#include "request/modeldemand.h"

#include <map>
#include <string>
#include <vector>

namespace liftweir {

// Entry hosts report smoothed rates, so a control host that begins to lead has all of them after
// one interval. Pure: no I/O and no clock of its own.
class DemandTable {
  public:
    // Stores the entry host's report, which replaces its previous one. Lines with an invalid number
    // and lines beyond MaxDemandLines are ignored and counted.
    void store(const std::string& entry, std::vector<ModelDemand> lines, Time now);
    // Sums over all entry hosts by service, model, urgency and customer, in this order. Reports
    // older than 2 s are left out. Lines by customer come only from hosts that reject requests for
    // the model.
    std::vector<ModelDemand> totals(Time now) const;
    // Removes the reports that totals() leaves out.
    void expire(Time now);
    bool empty() const { return reports_.empty(); }

  private:
    struct Report {
        std::vector<ModelDemand> lines;
        Time received_at{};
    };

    std::map<std::string, Report> reports_; // by entry host
};

} // namespace liftweir

#endif // DEMANDTABLE_H_INCLUDED
