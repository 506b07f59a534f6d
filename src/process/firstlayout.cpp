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

std::map<std::string, double> wanted_hosts(std::size_t hosts,
                                           const std::vector<ModelShape>& models) {
    std::map<std::string, double> wanted;
    for (const ModelShape& model : models)
        wanted[model.name] = model.share * static_cast<double>(hosts);
    return wanted;
}

std::map<EndpointId, std::string> assignment_of(const std::vector<DomainPlan>& domains) {
    std::map<EndpointId, std::string> assignment;
    for (const DomainPlan& domain : domains) {
        auto host = domain.hosts.begin();
        for (const auto& [model, count] : domain.quota)
            for (std::size_t i = 0; i < count; ++i)
                assignment.emplace(*host++, model);
    }
    return assignment;
}

std::size_t unassigned(const DomainPlan& domain) {
    std::size_t left = domain.hosts.size();
    for (const auto& [model, count] : domain.quota)
        left -= count;
    return left;
}

// The domain with the fewest hosts of the model among those that can hold another group of it, and
// of several such domains the emptiest; null if none can.
DomainPlan* least_used(std::vector<DomainPlan>& domains, const std::string& model,
                       std::size_t size) {
    DomainPlan* best = nullptr;
    for (DomainPlan& domain : domains) {
        if (unassigned(domain) < size)
            continue;
        const std::size_t have = domain.quota[model];
        if (best == nullptr || have < best->quota[model] ||
            (have == best->quota[model] && unassigned(domain) > unassigned(*best)))
            best = &domain;
    }
    return best;
}

// Hosts that complete no group are spares, shared out in proportion to the hosts of each model that
// serve in the domain.
void add_spares(DomainPlan& domain, const std::vector<ModelShape>& models) {
    const Quota serving = domain.quota;
    for (std::size_t left = unassigned(domain); left > 0; --left) {
        const auto need = [&](const ModelShape& model) {
            const auto found = serving.find(model.name);
            const std::size_t hosts = found == serving.end() ? 0 : found->second;
            const std::size_t spares = domain.quota[model.name] - hosts;
            return static_cast<double>(hosts) / static_cast<double>(1 + spares);
        };
        const auto model = std::max_element(
            models.begin(), models.end(),
            [&](const ModelShape& a, const ModelShape& b) { return need(a) < need(b); });
        ++domain.quota[model->name];
    }
}

} // namespace

std::map<EndpointId, std::string> assign_models(const std::vector<ColdHost>& hosts,
                                                const std::vector<ModelShape>& models) {
    if (models.empty())
        return {};
    std::map<std::string, double> wanted = wanted_hosts(hosts.size(), models);
    std::vector<DomainPlan> domains = group_by_domain(hosts);
    for (DomainPlan& domain : domains)
        fill(domain, models, wanted);
    return assignment_of(domains);
}

std::map<EndpointId, std::string> assign_models_spread(const std::vector<ColdHost>& hosts,
                                                       const std::vector<ModelShape>& models) {
    std::map<std::string, double> wanted = wanted_hosts(hosts.size(), models);
    std::vector<DomainPlan> domains = group_by_domain(hosts);
    std::vector<ModelShape> placeable = models;
    while (!placeable.empty()) {
        const ModelShape model = most_wanted_model(placeable, wanted);
        DomainPlan* domain = least_used(domains, model.name, std::max(1u, model.size));
        if (domain == nullptr) {
            std::erase(placeable, model);
            continue;
        }
        domain->quota[model.name] += std::max(1u, model.size);
        wanted[model.name] -= model.size;
    }
    if (!models.empty())
        for (DomainPlan& domain : domains)
            add_spares(domain, models);
    return assignment_of(domains);
}

} // namespace liftweir
