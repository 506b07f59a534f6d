// Decides which requests entry hosts admit while callers ask for more than the groups can serve.

#ifndef ADMISSIONPLAN_H_INCLUDED
#define ADMISSIONPLAN_H_INCLUDED

#include "process/modelsupply.h"
#include "request/modeldemand.h"
#include "version/deployment.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace liftweir {

// Work that customers ask for, and the part of it that max-min fairness grants: no customer gets
// more than another one that is granted less than it asks for. Works are not negative. Returns the
// largest work that is granted to one customer; the largest work where the capacity suffices.
double fair_work(std::vector<double> works, double capacity);

// Computes the levels of all models of all services. A model that is overloaded stays so until its
// load has fallen clearly. Pure: no I/O and no clock.
class AdmissionPlanner {
  public:
    // `demand` holds the sums over all entry hosts. Models without a line in `supply`, without an
    // open group or without an engine get no level.
    std::vector<AdmissionLevel> plan(const std::vector<ModelDemand>& demand,
                                     const std::vector<ModelSupply>& supply,
                                     const std::map<std::string, EngineCost>& engines);
    // Number of models that are overloaded.
    std::size_t overloaded() const { return overloaded_.size(); }
    // Forgets which models are overloaded.
    void reset() { overloaded_.clear(); }

  private:
    using ModelKey = std::pair<std::string, std::string>; // service and model

    std::set<ModelKey> overloaded_;
};

} // namespace liftweir

#endif // ADMISSIONPLAN_H_INCLUDED
