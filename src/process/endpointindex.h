// Lookup tables over registered endpoints. Used by liftweir-site-control and liftweir-site-entry.

#ifndef ENDPOINTINDEX_H_INCLUDED
#define ENDPOINTINDEX_H_INCLUDED

#include "version/endpointid.h"
#include "version/state.h"

#include <cstdint>
#include <map>
#include <string>

namespace liftweir {

struct EndpointReport;

// Indexes the endpoints of a registry by model, by service and by group, so that no request has to
// scan all endpoints. The index keeps pointers: a report must stay at its address until it is
// removed.
class EndpointIndex {
  public:
    using Reports = std::map<EndpointId, const EndpointReport*>;

    // Adds the endpoint, or updates it to this report.
    void put(const EndpointReport& report);
    void remove(const EndpointId& id);

    // Leads of the model's open groups, of any service.
    const Reports& open_leads(const std::string& model) const;
    // Endpoints of the service, including those that have exited.
    const Reports& of_service(const std::string& service) const;
    // Whether the group has members in more than one domain. An endpoint that has exited counts
    // with its last membership.
    bool spans_domains(Epoch epoch) const;

  private:
    // The keys under which an endpoint is indexed.
    struct Keys {
        std::string model; // of the open group that it leads, if any
        std::string service;
        Epoch epoch = NoEpoch;
        std::string domain;
    };

    std::map<EndpointId, Keys> keys_;
    std::map<std::string, Reports> leads_;                                 // by model
    std::map<std::string, Reports> services_;                              // by name
    std::map<Epoch, std::map<std::string, std::uint32_t>> member_domains_; // members per domain
};

} // namespace liftweir

#endif // ENDPOINTINDEX_H_INCLUDED
