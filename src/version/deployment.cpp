// Consistency checks of the operators' document.

#include "version/deployment.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace liftweir {

namespace {

// Far above any real value, and low enough that sums and products of a few of them keep their
// meaning as whole numbers and times.
constexpr double MaxEngineNumber = 1e6;
// The planner keeps a record of each load within a window of some seconds.
constexpr double MaxLoadsPerSecond = 1e4;

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

// False for NaN as well.
bool within(double value, double most) {
    return value >= 0 && value <= most;
}

Expected<void> check_model(const std::string& where, const ModelShape& model) {
    if (model.size == 0)
        return fail(FailureKind::BadSettings, where + "a group of " + model.name + " has no host");
    if (model.size > MaxGroupMembers)
        return fail(FailureKind::BadSettings,
                    where + "a group of " + model.name + " has too many hosts");
    if (!within(model.share, MaxEngineNumber) || !within(model.time_factor, MaxEngineNumber))
        return fail(FailureKind::BadSettings,
                    where + "a factor of " + model.name + " is out of range");
    return {};
}

Expected<void> check_service(const Service& service) {
    const std::string where = "service " + service.name + ": ";
    if (!within(service.cold_calls_per_second, MaxEngineNumber))
        return fail(FailureKind::BadSettings, where + "its rate of cold calls is out of range");
    if (!service.engine)
        return {};
    const EngineCost& engine = *service.engine;
    for (const double value :
         {engine.step_ms, engine.step_ms_per_sequence, engine.prefill_tokens_per_ms,
          engine.cross_domain_factor, engine.usual_answer_tokens})
        if (!within(value, MaxEngineNumber))
            return fail(FailureKind::BadSettings, where + "a number of its engine is out of range");
    if (!within(engine.loads_per_second, MaxLoadsPerSecond))
        return fail(FailureKind::BadSettings, where + "its rate of loads is out of range");
    for (const ModelShape& model : engine.models)
        if (auto checked = check_model(where, model); !checked)
            return checked;
    return {};
}

} // namespace

std::string canonical_host(std::string_view host) {
    std::string out(host.substr(0, host.find(':')));
    std::transform(out.begin(), out.end(), out.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return out;
}

std::string route_key(const Route& route) {
    std::string canonical = canonical_host(route.host) + route.prefix;
    if (!canonical.ends_with('/'))
        canonical += '/';
    return canonical;
}

const ModelShape* EngineCost::model(std::string_view name) const {
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&](const ModelShape& m) { return m.name == name; });
    return found == models.end() ? nullptr : &*found;
}

const Service* Deployment::service(std::string_view name) const {
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const Service& s) { return s.name == name; });
    return found == services.end() ? nullptr : &*found;
}

Expected<void> check(const Deployment& deployment) {
    std::set<std::string> route_keys;
    for (const Route& route : deployment.routes) {
        if (auto checked = check_route(deployment, route); !checked)
            return checked;
        if (!route_keys.insert(route_key(route)).second)
            return fail(FailureKind::BadSettings, "two routes at " + route_key(route));
    }
    for (const Service& service : deployment.services)
        if (auto checked = check_service(service); !checked)
            return checked;
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
