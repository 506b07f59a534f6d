#ifndef ENDPOINTINDEX_H_INCLUDED
#define ENDPOINTINDEX_H_INCLUDED

#include "version/endpointid.h"
#include "version/state.h"

#include <cstdint>
#include <map>
#include <string>

namespace liftweir {

struct EndpointReport;

// The endpoints of a registry by what requests ask for: who serves a model or a service, and which
// groups span fabric domains. Kept up with each change, so that no request walks all endpoints. The
// reports must stay where they are until they are removed.
class EndpointIndex {
  public:
    using Reports = std::map<EndpointId, const EndpointReport*>;

    // Adds the endpoint, or what it says now instead of what it said before.
    void put(const EndpointReport& report);
    void remove(const EndpointId& id);

    // Leads of groups of the model that are in service, whatever their service.
    const Reports& open_leads(const std::string& model) const;
    // Endpoints of the service, ended ones too.
    const Reports& of_service(const std::string& service) const;
    // Whether endpoints of two domains are, or were at their end, members of the group.
    bool spans_domains(Epoch epoch) const;

  private:
    // Where an endpoint stands.
    struct Place {
        std::string model; // of the open group that it leads
        std::string service;
        Epoch epoch = NoEpoch;
        std::string domain;
    };

    std::map<EndpointId, Place> places_;
    std::map<std::string, Reports> leads_;                                 // by model
    std::map<std::string, Reports> services_;                              // by name
    std::map<Epoch, std::map<std::string, std::uint32_t>> member_domains_; // members in each
};

} // namespace liftweir

#endif // ENDPOINTINDEX_H_INCLUDED
