// How GroupPlanner follows the callers' demand: the numbers of groups that it aims at, and moves of
// hosts from a model with more groups than it needs to one with fewer.

#include "process/groupplanner.h"

#include <algorithm>

namespace liftweir {

namespace {

// The numbers of groups change no faster than this, since each change may start loads that take
// many times as long.
constexpr Duration TargetInterval = std::chrono::seconds(2);
// A move must pay for this long before it begins, so that a moment's demand moves no hosts.
constexpr Duration MoveConfirmation = std::chrono::milliseconds(900);
// Endpoints let a closing group finish its requests for at most this long.
constexpr Duration MaxClosing = std::chrono::seconds(10);
// Time from the end of a load until the endpoint's report of it.
constexpr Duration LoadReportSlack = std::chrono::milliseconds(1500);

} // namespace

void GroupPlanner::update_demand(Time now) {
    for (const ModelShape& model : engine_.models)
        smoothed_demand_.update(need_of(model), now);
}

// The current demand of the model, over all customers and classes.
ModelNeed GroupPlanner::need_of(const ModelShape& model) const {
    ModelNeed need;
    need.model = model.name;
    need.size = std::max(1u, model.size);
    need.load = model.load;
    for (const ModelDemand& line : demand_) {
        if (line.model != model.name || !line.customer.empty())
            continue;
        need.callers += line.requests;
        need.work += work_of(line, engine_, model);
        need.urgency += line.requests * line.urgency;
    }
    if (need.callers > 0)
        need.urgency /= need.callers;
    return need;
}

std::vector<ModelNeed> GroupPlanner::smoothed_needs() const {
    std::vector<ModelNeed> needs;
    needs.reserve(engine_.models.size());
    for (const ModelShape& model : engine_.models)
        needs.push_back(smoothed_demand_.smoothed(need_of(model)));
    return needs;
}

GroupCounts GroupPlanner::live_counts() const {
    GroupCounts counts;
    for (const ModelShape& model : engine_.models)
        counts[model.name] = live_groups(model.name);
    return counts;
}

// Before there are callers, the shares of the document are all that is known.
void GroupPlanner::update_targets(Time now) {
    if (!config_.plan_by_demand || !smoothed_demand_.known(now)) {
        targets_.reset();
        return;
    }
    if (targets_ && now < targets_due_)
        return;
    targets_due_ = now + TargetInterval;
    const auto serves = [&](const EndpointReport* report) {
        return report->phase == EndpointPhase::Serving && !is_out_of_use(*report) &&
               alive(report->id, now);
    };
    std::vector<std::size_t> rooms;
    for (const auto& [domain, hosts] : hosts_by_domain_)
        rooms.push_back(
            static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), serves)));
    targets_ = plan_groups(smoothed_needs(), rooms);
}

// Closes a group of a model that can spare it. Requests in progress finish, and the hosts then load
// the other model. A host that is lost meanwhile is missing in the new group: a spare or a newcomer
// takes its place. A new leader does not know of the move, and forms the group again from the hosts
// that have not loaded yet.
void GroupPlanner::move_hosts(Time now) {
    if (!traffic_started_ || !targets_ || move_in_progress(now))
        return;
    const GroupMove move = best_move(smoothed_needs(), live_counts());
    if (move.from != proposed_move_.from || move.to != proposed_move_.to)
        move_proposed_ = now;
    proposed_move_ = move;
    if (move.from.empty() || now - move_proposed_ < MoveConfirmation || !loads_.allows(now))
        return;
    Group* group = group_to_move(move.from);
    if (group == nullptr)
        return;
    close(*group, *report_of(group->members.front()), "its hosts are to load " + move.to, now);
    moving_group_ = group->epoch;
    moved_until_ = now + MaxClosing + 2 * shape(move.to)->load + LoadReportSlack;
    for (const EndpointId& id : group->members)
        moved_[id] = move.to;
}

// Hosts that have loaded the model, or are lost, are no longer part of the move.
bool GroupPlanner::move_in_progress(Time now) {
    if (now > moved_until_)
        moved_.clear();
    std::erase_if(moved_, [&](const auto& item) {
        const EndpointReport* report = report_of(item.first);
        return report == nullptr || report->phase != EndpointPhase::Serving ||
               !alive(item.first, now) || staged(*report, item.second);
    });
    const auto group = groups_.find(moving_group_);
    const bool closing = group != groups_.end() && group->second.phase == Phase::Closing;
    return closing || !moved_.empty();
}

// An open group of the model in one domain, preferably where the model has most groups.
GroupPlanner::Group* GroupPlanner::group_to_move(const std::string& model) {
    Group* best = nullptr;
    std::size_t best_groups = 0;
    for (auto& [epoch, group] : groups_) {
        if (group.phase != Phase::Open || group.model != model || spans_domains(group))
            continue;
        const EndpointReport* lead = report_of(group.members.front());
        if (lead == nullptr || lead->membership.epoch != epoch || is_out_of_use(*lead) ||
            hosts_[lead->id].order_in_flight)
            continue;
        const std::size_t groups = live_groups(model, lead->domain);
        if (best != nullptr && groups <= best_groups)
            continue;
        best = &group;
        best_groups = groups;
    }
    return best;
}

void GroupPlanner::stage_moved(Time now) {
    for (const EndpointReport* report : free_hosts(now)) {
        const auto move = moved_.find(report->id);
        if (move == moved_.end() || staged(*report, move->second))
            continue;
        if (!loads_.allows(now))
            return;
        stage(*report, *shape(move->second), move->second + ", which lacks groups", now);
    }
}

bool GroupPlanner::is_moved_to_other(const EndpointReport& report, const std::string& model) const {
    const auto move = moved_.find(report.id);
    return move != moved_.end() && move->second != model;
}

} // namespace liftweir
