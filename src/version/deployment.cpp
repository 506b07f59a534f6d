#include "version/deployment.h"

#include <algorithm>
#include <set>
#include <utility>

namespace liftweir {

namespace {

Expected<void> check_route(const Deployment& deployment, const Route& route) {
    const std::string where = "route " + route.name + ": ";
    std::uint64_t sum = 0;
    for (const WeightedService& part : route.split) {
        if (deployment.service(part.service) == nullptr)
            return fail(FailureKind::BadSettings, where + "no service " + part.service);
        sum += part.weight;
    }
    if (sum == 0)
        return fail(FailureKind::BadSettings, where + "its weights have no sum");
    if (route.timeout <= Duration::zero())
        return fail(FailureKind::BadSettings, where + "its time limit is zero");
    if (route.prefix.empty() || route.prefix.front() != '/')
        return fail(FailureKind::BadSettings, where + "its path does not begin with a slash");
    return {};
}

Expected<void> check_engine(const Service& service) {
    if (!service.engine)
        return {};
    for (const ModelShape& model : service.engine->models)
        if (model.size == 0)
            return fail(FailureKind::BadSettings,
                        "service " + service.name + ": a group of " + model.name + " has no host");
    return {};
}

} // namespace

const Service* Deployment::service(std::string_view name) const {
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const Service& s) { return s.name == name; });
    return found == services.end() ? nullptr : &*found;
}

Expected<void> check(const Deployment& deployment) {
    std::set<std::pair<std::string, std::string>> places;
    for (const Route& route : deployment.routes) {
        if (auto good = check_route(deployment, route); !good)
            return good;
        if (!places.emplace(route.host, route.prefix).second)
            return fail(FailureKind::BadSettings, "two routes at " + route.host + route.prefix);
    }
    for (const Service& service : deployment.services)
        if (auto good = check_engine(service); !good)
            return good;
    std::set<std::string> keys;
    for (const CustomerKeys& customer : deployment.customers)
        for (const std::string& key :
             std::set<std::string>(customer.keys.begin(), customer.keys.end()))
            if (!keys.insert(key).second)
                return fail(FailureKind::BadSettings,
                            "customer " + customer.name + " shares a key with another");
    return {};
}

} // namespace liftweir
