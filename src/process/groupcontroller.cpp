// Passes reports, leadership and committed changes to the group planners, and queues their orders.

#include "process/groupcontroller.h"

#include "process/metrics.h"

namespace liftweir {

GroupPlanner* GroupController::planner_of(const std::string& service) {
    const auto found = planners_.find(service);
    return found == planners_.end() ? nullptr : &found->second;
}

void GroupController::configure(const std::string& service, const EngineCost& engine,
                                const State& state, const Registry& registry, Time now) {
    const auto [planner, is_new] = planners_.try_emplace(service, service, config_, first_start_);
    planner->second.configure(engine);
    if (!is_new)
        return;
    planner->second.set_zones_out_of_use(zones_out_of_use_);
    for (const auto& [id, item] : registry.items())
        if (item.report.service == service)
            planner->second.observe(item.report, now);
    if (leadership_)
        planner->second.take_over(leadership_->term, leadership_->since,
                                  state.planned_groups(service),
                                  leadership_->several_recent_leaders);
}

void GroupController::observe(const EndpointReport& report, Time now) {
    if (GroupPlanner* planner = planner_of(report.service))
        planner->observe(report, now);
}

void GroupController::traffic_began() {
    for (auto& [service, planner] : planners_)
        planner.traffic_began();
}

void GroupController::set_zones_out_of_use(const std::set<std::string>& zones) {
    zones_out_of_use_ = zones;
    for (auto& [service, planner] : planners_)
        planner.set_zones_out_of_use(zones);
}

void GroupController::suspect(Epoch epoch, Duration silence, Time now) {
    for (auto& [service, planner] : planners_)
        planner.suspect(epoch, silence, now);
}

void GroupController::set_demand(const std::vector<ModelDemand>& lines) {
    std::map<std::string, std::vector<ModelDemand>> by_service;
    for (const ModelDemand& line : lines)
        by_service[line.service].push_back(line);
    for (auto& [service, planner] : planners_)
        planner.set_demand(std::move(by_service[service]));
}

std::map<std::string, double> GroupController::demand_work() const {
    std::map<std::string, double> sums;
    for (const auto& [service, planner] : planners_)
        for (const auto& [model, work] : planner.demand_work())
            sums[model] += work;
    return sums;
}

// ---- leadership

void GroupController::take_over(const Leadership& leadership, const State& state) {
    step_down();
    leadership_ = leadership;
    for (auto& [service, planner] : planners_)
        planner.take_over(leadership.term, leadership.since, state.planned_groups(service),
                          leadership.several_recent_leaders);
}

void GroupController::step_down() {
    leadership_.reset();
    committed_.clear();
    queued_.clear();
}

// ---- one round

bool GroupController::plan(Replica& replica, const Registry& registry, Time now) {
    bool proposed = false;
    for (auto& [service, planner] : planners_) {
        enqueue(service, planner.plan(registry, now));
        proposed = propose_changes(replica, service, planner) || proposed;
    }
    return proposed;
}

// Groups are in the log before any order goes to their members. If this host never sees the commit,
// it sends no orders; the next leader finds the groups in the log if they were committed.
bool GroupController::propose_changes(Replica& replica, const std::string& service,
                                      GroupPlanner& planner) {
    const GroupChanges changes = planner.take_changes();
    if (changes.empty())
        return false;
    Metrics::instance().counter("liftweir_groups_recorded").add(changes.formed.size());
    replica.propose(RecordGroups{service, changes.formed, changes.ended},
                    [this, service, changes,
                     term = replica.raft().term()](const Expected<ApplyResult>& committed) {
                        if (committed)
                            committed_.push_back({service, term, changes});
                    });
    return true;
}

// Changes of an earlier term are skipped, since take_over() has read them from the log.
void GroupController::settle(const Registry& registry, Time now) {
    for (const Committed& item : std::exchange(committed_, {})) {
        GroupPlanner* planner = planner_of(item.service);
        if (planner != nullptr && leadership_ && leadership_->term == item.term)
            enqueue(item.service, planner->recorded(item.changes, registry, now));
    }
}

void GroupController::enqueue(const std::string& service,
                              const std::vector<EndpointOrder>& orders) {
    for (const EndpointOrder& order : orders)
        queued_.add({service, order});
}

void GroupController::answered(const OrderQueue::Item& item, OrderAnswer answer, Time now) {
    queued_.ended();
    if (GroupPlanner* planner = planner_of(item.service))
        planner->answered(item.order, answer, now);
}

std::vector<GroupController::Probe> GroupController::take_probes() {
    std::vector<Probe> probes;
    for (auto& [service, planner] : planners_)
        for (const EndpointId& id : planner.take_probes())
            probes.push_back({service, id});
    return probes;
}

void GroupController::probed(const Probe& probe, ProbeResult result, Time now) {
    if (GroupPlanner* planner = planner_of(probe.service))
        planner->probed(probe.endpoint, result, now);
}

std::vector<PlanEvent> GroupController::take_events() {
    std::vector<PlanEvent> events;
    for (auto& [service, planner] : planners_)
        for (PlanEvent& event : planner.take_events())
            events.push_back(std::move(event));
    return events;
}

// ---- status

std::set<Epoch> GroupController::dissolved(const Registry& registry) const {
    std::set<Epoch> all;
    for (const auto& [service, planner] : planners_)
        for (const Epoch epoch : planner.dissolved(registry))
            all.insert(epoch);
    return all;
}

std::vector<ModelSupply> GroupController::supplies(const Registry& registry, Time now) {
    std::vector<ModelSupply> all;
    for (auto& [service, planner] : planners_)
        for (ModelSupply& supply : planner.supply(registry, now))
            all.push_back(std::move(supply));
    return all;
}

std::map<std::string, std::string> GroupController::layouts(const Registry& registry, Time now) {
    std::map<std::string, std::string> lines;
    for (auto& [service, planner] : planners_)
        lines[service] = planner.layout(registry, now);
    return lines;
}

} // namespace liftweir
