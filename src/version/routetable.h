#ifndef ROUTETABLE_H_INCLUDED
#define ROUTETABLE_H_INCLUDED

#include "version/deployment.h"

#include <string_view>
#include <unordered_map>

namespace liftweir {

// Look-ups in one version of the deployment. Immutable once built.
class RouteTable {
  public:
    explicit RouteTable(Deployment deployment);

    const Deployment& deployment() const { return deployment_; }
    // The route whose prefix is the longest that begins the path; null where there is none.
    // `host` may carry a port.
    const Route* find(std::string_view host, std::string_view path) const;
    // The customer that holds a key; null where nobody does.
    const CustomerKeys* customer(std::string_view key) const;

  private:
    Deployment deployment_;
    std::unordered_map<std::string, std::size_t> routes_; // by host and prefix
    std::unordered_map<std::string, std::size_t> keys_;
};

} // namespace liftweir

#endif // ROUTETABLE_H_INCLUDED
