// Ranks of urgencies within a service, mapped to engine priorities.

#include "request/urgencyranks.h"

#include "request/modeldemand.h"

#include <algorithm>
#include <iterator>

namespace liftweir {

namespace {

// Priorities 0 to 5 are for requests in time; 6 is left free between them and the late ones, which
// begin at the priority that late requests have without any difference in urgency.
constexpr std::uint32_t FirstLatePriority = 7;

// Spreads ranks over the steps that there are. Ranks in excess share steps with their neighbours.
std::uint32_t step_of(const UrgencyRank& urgency, std::uint32_t last_step) {
    if (urgency.count <= last_step + 1)
        return urgency.rank;
    return urgency.rank * last_step / (urgency.count - 1);
}

} // namespace

// Among requests in time the least urgent has the default, as all have where urgency is the same.
std::uint32_t engine_priority(const UrgencyRank& urgency, bool late) {
    if (late)
        return FirstLatePriority + step_of(urgency, LastEnginePriority - FirstLatePriority);
    const UrgencyRank least{urgency.count - 1, urgency.count};
    return DefaultEnginePriority - step_of(least, DefaultEnginePriority) +
           step_of(urgency, DefaultEnginePriority);
}

UrgencyRanks::UrgencyRanks(const Deployment& deployment) {
    for (const Route& route : deployment.routes) {
        std::set<std::uint32_t> customers{0};
        if (route.needs_key && !deployment.customers.empty()) {
            customers.clear();
            for (const CustomerKeys& customer : deployment.customers)
                customers.insert(customer.priority);
        }
        for (const WeightedService& part : route.split) {
            const Service* service = deployment.service(part.service);
            if (service == nullptr || !service->engine || part.weight == 0)
                continue;
            for (const std::uint32_t customer : customers)
                urgencies_[part.service].insert(urgency_of(customer, route.priority));
        }
    }
}

UrgencyRank UrgencyRanks::rank(const std::string& service, std::uint32_t urgency) const {
    const auto found = urgencies_.find(service);
    if (found == urgencies_.end() || found->second.empty())
        return {};
    const std::set<std::uint32_t>& known = found->second;
    const auto count = static_cast<std::uint32_t>(known.size());
    const auto below = std::distance(known.begin(), known.lower_bound(urgency));
    return {std::min(static_cast<std::uint32_t>(below), count - 1), count};
}

} // namespace liftweir
