// Fills the domains, largest first, with whole groups of the model that lacks the most hosts.

#include "process/firstlayout.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

using Quota = std::map<std::string, std::size_t>; // hosts by model

struct DomainPlan {
    std::string name;
    std::vector<EndpointId> hosts;
    Quota quota;
};

std::vector<DomainPlan> group_by_domain(const std::vector<ColdHost>& hosts) {
    std::map<std::string, DomainPlan> domains;
    for (const ColdHost& host : hosts) {
        DomainPlan& plan = domains[host.domain];
        plan.name = host.domain;
        plan.hosts.push_back(host.id);
    }
    std::vector<DomainPlan> out;
    out.reserve(domains.size());
    for (auto& [name, plan] : domains)
        out.push_back(std::move(plan));
    std::stable_sort(out.begin(), out.end(), [](const DomainPlan& a, const DomainPlan& b) {
        return a.hosts.size() > b.hosts.size();
    });
    return out;
}

const ModelShape& most_wanted_model(const std::vector<ModelShape>& models,
                                    const std::map<std::string, double>& wanted) {
    return *std::max_element(models.begin(), models.end(),
                             [&](const ModelShape& a, const ModelShape& b) {
                                 return wanted.at(a.name) < wanted.at(b.name);
                             });
}

// Adds whole groups of the model that lacks the most hosts until the domain is full.
void fill(DomainPlan& domain, const std::vector<ModelShape>& models,
          std::map<std::string, double>& wanted) {
    std::size_t unassigned = domain.hosts.size();
    while (unassigned > 0) {
        const ModelShape& model = most_wanted_model(models, wanted);
        const std::size_t size = std::max<std::size_t>(1, model.size);
        const auto groups = std::max<std::size_t>(
            1, static_cast<std::size_t>(std::lround(wanted.at(model.name) / size)));
        const std::size_t taken = std::min(unassigned, groups * size);
        domain.quota[model.name] += taken;
        wanted[model.name] -= static_cast<double>(taken);
        unassigned -= taken;
    }
}

} // namespace

std::map<EndpointId, std::string> assign_models(const std::vector<ColdHost>& hosts,
                                                const std::vector<ModelShape>& models) {
    std::map<EndpointId, std::string> assignment;
    if (models.empty())
        return assignment;
    std::map<std::string, double> wanted;
    for (const ModelShape& model : models)
        wanted[model.name] = model.share * static_cast<double>(hosts.size());
    std::vector<DomainPlan> domains = group_by_domain(hosts);
    for (DomainPlan& domain : domains)
        fill(domain, models, wanted);
    for (const DomainPlan& domain : domains) {
        auto host = domain.hosts.begin();
        for (const auto& [model, count] : domain.quota)
            for (std::size_t i = 0; i < count; ++i)
                assignment.emplace(*host++, model);
    }
    return assignment;
}

} // namespace liftweir
