// Longest-prefix matching of paths by hash look-ups.

#include "version/routetable.h"

namespace liftweir {

RouteTable::RouteTable(Deployment deployment) : deployment_(std::move(deployment)) {
    for (std::size_t i = 0; i < deployment_.routes.size(); ++i)
        routes_.emplace(route_key(deployment_.routes[i]), i);
    for (std::size_t i = 0; i < deployment_.customers.size(); ++i)
        for (const std::string& key : deployment_.customers[i].keys)
            keys_.emplace(key, i);
}

// A prefix ends with a slash, so it suffices to look up the path up to each of its slashes, from
// the last one to the first. The cost does not depend on the number of routes.
const Route* RouteTable::find(std::string_view host, std::string_view path) const {
    std::string key = canonical_host(host);
    const std::size_t host_size = key.size();
    key.append(path);
    while (key.size() > host_size) {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < host_size)
            return nullptr;
        key.resize(slash + 1);
        const auto found = routes_.find(key);
        if (found != routes_.end())
            return &deployment_.routes[found->second];
        key.resize(slash);
    }
    return nullptr;
}

const CustomerKeys* RouteTable::customer(std::string_view key) const {
    const auto found = keys_.find(std::string(key));
    return found == keys_.end() ? nullptr : &deployment_.customers[found->second];
}

} // namespace liftweir
