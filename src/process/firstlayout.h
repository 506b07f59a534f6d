// The first assignment of models to hosts. Run by liftweir-site-control.

#ifndef FIRSTLAYOUT_H_INCLUDED
#define FIRSTLAYOUT_H_INCLUDED

#include "process/registry.h"
#include "version/deployment.h"

#include <map>
#include <string>
#include <vector>

namespace liftweir {

// A host without any weights.
struct ColdHost {
    EndpointId id;
    std::string domain;

    auto operator<=>(const ColdHost&) const = default;
};

// Returns the model that each host starts with. Hosts of one domain get the same model as far as
// the shares allow, since the survivors of a lost member are spares only for groups of their own
// model and domain. All groups of a model may thus be in one domain and fail with it. Placing one
// of them in another domain costs the other models more under most workloads
// (docs/MEASUREMENTS.md).
std::map<EndpointId, std::string> assign_models(const std::vector<ColdHost>& hosts,
                                                const std::vector<ModelShape>& models);

// The same, with the groups of each model spread over the domains, so that no model fails with one
// of them. For deployments that have to tolerate the loss of an availability zone.
std::map<EndpointId, std::string> assign_models_spread(const std::vector<ColdHost>& hosts,
                                                       const std::vector<ModelShape>& models);

} // namespace liftweir

#endif // FIRSTLAYOUT_H_INCLUDED
