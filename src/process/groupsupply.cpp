// What the groups of a service can serve: the open groups of each model, and the next one to open.

#include "process/groupplanner.h"

#include <algorithm>

namespace liftweir {

// A group whose lead is lost, or in a zone out of use, takes no requests, though its phase stays
// Open until it is dissolved or its zone is back in use. A forming group without an expected time,
// as after a change of the leader, is not announced before it is ordered to open.
std::vector<ModelSupply> GroupPlanner::supply(const Registry& registry, Time now) {
    registry_ = &registry;
    std::vector<ModelSupply> all;
    for (const ModelShape& model : engine_.models) {
        ModelSupply supply;
        supply.service = service_;
        supply.model = model.name;
        for (const auto& [epoch, group] : groups_) {
            if (!is_live(group, model.name) || group.members.empty())
                continue;
            const EndpointReport* lead = report_of(group.members.front());
            if (lead == nullptr || is_out_of_use(*lead) || !alive(lead->id, now))
                continue;
            if (group.phase == Phase::Open) {
                ++supply.groups;
            } else if (group.expected_ready != Time{} || group.open_retry_due != Time{}) {
                const Time opens = group.open_retry_due != Time{}
                                       ? group.open_retry_due - config_.heartbeat_interval
                                       : std::max(group.expected_ready, now) + engine_.open_delay;
                const Duration opens_in = std::max(Duration::zero(), opens - now);
                supply.opens_in = supply.opening ? std::min(supply.opens_in, opens_in) : opens_in;
                supply.opening = true;
            }
        }
        all.push_back(std::move(supply));
    }
    return all;
}

} // namespace liftweir
