// Updates the lookup tables with each change of a report.

#include "process/endpointindex.h"

#include "process/groupname.h"
#include "process/registry.h"

namespace liftweir {

namespace {

const EndpointIndex::Reports&
reports_under(const std::map<std::string, EndpointIndex::Reports>& index, const std::string& name) {
    static const EndpointIndex::Reports none;
    const auto found = index.find(name);
    return found == index.end() ? none : found->second;
}

void drop(std::map<std::string, EndpointIndex::Reports>& index, const std::string& name,
          const EndpointId& id) {
    const auto found = index.find(name);
    if (found == index.end())
        return;
    found->second.erase(id);
    if (found->second.empty())
        index.erase(found);
}

} // namespace

void EndpointIndex::put(const EndpointReport& report) {
    remove(report.id);
    Keys keys;
    keys.service = report.service;
    keys.epoch = report.membership.epoch;
    keys.domain = report.domain;
    if (report.leads_open_group()) {
        keys.model = model_of_group(report.membership.group);
        leads_[keys.model].emplace(report.id, &report);
    }
    if (report.grouped())
        ++member_domains_[keys.epoch][keys.domain];
    services_[keys.service].emplace(report.id, &report);
    keys_.emplace(report.id, std::move(keys));
}

void EndpointIndex::remove(const EndpointId& id) {
    const auto found = keys_.find(id);
    if (found == keys_.end())
        return;
    const Keys keys = std::move(found->second);
    keys_.erase(found);
    drop(leads_, keys.model, id);
    drop(services_, keys.service, id);
    const auto members = member_domains_.find(keys.epoch);
    if (members == member_domains_.end())
        return;
    const auto domain = members->second.find(keys.domain);
    if (domain != members->second.end() && --domain->second == 0)
        members->second.erase(domain);
    if (members->second.empty())
        member_domains_.erase(members);
}

const EndpointIndex::Reports& EndpointIndex::open_leads(const std::string& model) const {
    return reports_under(leads_, model);
}

const EndpointIndex::Reports& EndpointIndex::of_service(const std::string& service) const {
    return reports_under(services_, service);
}

bool EndpointIndex::spans_domains(Epoch epoch) const {
    const auto members = member_domains_.find(epoch);
    return members != member_domains_.end() && members->second.size() > 1;
}

} // namespace liftweir
