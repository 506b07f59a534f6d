// Run by liftweir-site-control: while it leads, sends admission plans to entry hosts.

#include "process/coordinator.h"

namespace liftweir {

namespace {

// Entry hosts report their demand as often. A plan is valid for four intervals, so that a lost
// message does not end it.
constexpr Duration AdmissionInterval = std::chrono::milliseconds(500);

std::map<std::pair<std::string, std::string>, double>
groups_by_model(const std::vector<ModelSupply>& supplies) {
    std::map<std::pair<std::string, std::string>, double> groups;
    for (const ModelSupply& supply : supplies)
        groups[{supply.service, supply.model}] = supply.groups;
    return groups;
}

} // namespace

// An empty plan is sent once, at the end of an overload. A leader that does not know all endpoints
// yet would take groups that it has not heard of for lost.
void Coordinator::send_admission(Time now) {
    admission_due_ = now + AdmissionInterval;
    if (!config_.plan_admission || !leads() || !knows_all_endpoints(now)) {
        admission_.reset();
        admission_log_.reset();
        sent_levels_ = false;
        return;
    }
    const std::vector<ModelSupply> supplies = groups_.supplies(registry_, now);
    planned_groups_ = groups_by_model(supplies);
    const AdmissionPlan plan{admission_.plan(demand_.totals(now), supplies, engines_)};
    admission_log_.note(plan.levels);
    if (!plan.levels.empty() || sent_levels_)
        send_to_entries(plan);
    sent_levels_ = !plan.levels.empty();
}

// A group that opens or is lost counts at once; the interval would refuse or admit too much
// meanwhile.
void Coordinator::send_admission_if_supply_changed(Time now) {
    if (leads() && groups_by_model(groups_.supplies(registry_, now)) != planned_groups_)
        send_admission(now);
}

} // namespace liftweir
