#include "version/routetable.h"

#include <algorithm>
#include <cctype>

namespace liftweir {

namespace {

std::string lower_case(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return out;
}

} // namespace

RouteTable::RouteTable(Deployment deployment) : deployment_(std::move(deployment)) {
    for (std::size_t i = 0; i < deployment_.routes.size(); ++i) {
        const Route& route = deployment_.routes[i];
        routes_.emplace(lower_case(route.host) + route.prefix, i);
    }
    for (std::size_t i = 0; i < deployment_.customers.size(); ++i)
        for (const std::string& key : deployment_.customers[i].keys)
            keys_.emplace(key, i);
}

// A prefix ends with a slash, so only the path's slashes need to be tried, the last one first.
// The cost does not grow with the number of routes.
const Route* RouteTable::find(std::string_view host, std::string_view path) const {
    std::string key = lower_case(host.substr(0, host.find(':')));
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
