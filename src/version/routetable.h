// Finds the route of a request and the customer of an API key.

#ifndef ROUTETABLE_H_INCLUDED
#define ROUTETABLE_H_INCLUDED

#include "version/deployment.h"

#include <string_view>
#include <unordered_map>

namespace liftweir {

// Index of one version of the operators' document. Immutable once built.
class RouteTable {
  public:
    explicit RouteTable(Deployment deployment);

    const Deployment& deployment() const { return deployment_; }
    // The route with the longest prefix that matches the path; null if there is none. `host` may
    // include a port.
    const Route* find(std::string_view host, std::string_view path) const;
    // The customer that an API key belongs to; null if the key is unknown.
    const CustomerKeys* customer(std::string_view key) const;

  private:
    Deployment deployment_;
    std::unordered_map<std::string, std::size_t> routes_; // by route_key()
    std::unordered_map<std::string, std::size_t> keys_;   // customers by API key
};

} // namespace liftweir

#endif // ROUTETABLE_H_INCLUDED
