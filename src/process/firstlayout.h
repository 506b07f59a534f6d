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

// Which model each host begins with. Hosts of one domain get the same model as far as shares
// allow, since the survivors of a lost member are spares only for groups of their own model and
// domain. A model may so stand in one domain alone, which may go dark as a whole; to give it a
// group elsewhere too costs the other models more on most days (docs/MEASUREMENTS.md).
std::map<EndpointId, std::string> assign_models(const std::vector<ColdHost>& hosts,
                                                const std::vector<ModelShape>& models);

} // namespace liftweir

#endif // FIRSTLAYOUT_H_INCLUDED
