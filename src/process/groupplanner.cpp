// The state that GroupPlanner keeps of endpoints and groups, and the planning round.

#include "process/groupplanner.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

// A suspicion that is not renewed for this long is dropped.
constexpr Duration SuspicionTimeout = std::chrono::milliseconds(900);
constexpr Duration DissolvedRetention = std::chrono::seconds(60);
// Longer than a registry keeps an endpoint that sends no reports.
constexpr Duration AbsenceTimeout = std::chrono::seconds(150);

} // namespace

GroupPlanner::GroupPlanner(std::string service, GroupPlannerConfig config, bool first_start)
    : service_(std::move(service)), config_(config), traffic_started_(!first_start) {}

void GroupPlanner::configure(const EngineCost& engine) {
    engine_ = engine;
    configured_ = true;
    loads_.configure(engine.loads_per_second, config_.load_window);
}

const ModelShape* GroupPlanner::shape(const std::string& model) const {
    return engine_.model(model);
}

// ---- reports of endpoints

void GroupPlanner::observe(const EndpointReport& report, Time now) {
    Host& host = hosts_[report.id];
    const Membership& membership = report.membership;
    if (host.staging == (report.staged.empty() ? "" : report.staged.back()))
        host.staging_until = {};
    host.highest_epoch = std::max(host.highest_epoch, membership.epoch);
    record_departures(report);
    if (membership.epoch == NoEpoch)
        return;
    Group& group = group_of(membership, now);
    group.reported.insert(report.id);
    if (group.members.size() <= membership.rank)
        group.members.resize(membership.rank + 1);
    EndpointId& member = group.members[membership.rank];
    if (member.started_before(report.id))
        dissolve(group, "a newer incarnation replaced member " + text_of(member), now);
    if (!report.id.started_before(member))
        member = report.id;
    record_membership(report.id, group.epoch);
    if (membership.state != MemberState::Joining)
        host.warm = group.model;
    if (membership.state == MemberState::Open) {
        models_opened_.insert(group.model);
        group.may_have_opened = true;
        if (group.phase == Phase::Forming) {
            group.phase = Phase::Open;
            group.since = now;
        }
    }
    if (membership.state == MemberState::Closing && group.phase == Phase::Forming) {
        group.phase = Phase::Closing;
        group.since = now;
    }
}

// The member reported that it was in the group, and now reports that it is not. The order that
// removed it had a higher fence than its join, so a delayed copy of the join can not bring it back.
// The report of an endpoint that has deregistered does not name its group, which it may still
// serve.
void GroupPlanner::record_departures(const EndpointReport& report) {
    const auto epochs = groups_by_member_.find(report.id);
    if (epochs == groups_by_member_.end() || report.phase == EndpointPhase::Gone)
        return;
    for (const Epoch epoch : epochs->second) {
        const auto group = groups_.find(epoch);
        if (group != groups_.end() && epoch != report.membership.epoch &&
            group->second.reported.contains(report.id))
            group->second.departed.insert(report.id);
    }
}

// A group of another leader may be known only from the reports of its members. Such a group may
// have been opened.
GroupPlanner::Group& GroupPlanner::group_of(const Membership& membership, Time now) {
    Group& group = groups_[membership.epoch];
    if (group.epoch != NoEpoch)
        return group;
    group.epoch = membership.epoch;
    group.name = membership.group;
    group.model = model_of_group(membership.group);
    group.warm_up = kind_of_group(membership.group) == GroupKind::WarmUp;
    group.may_have_opened = !group.warm_up;
    group.since = now;
    return group;
}

void GroupPlanner::record_membership(const EndpointId& id, Epoch epoch) {
    std::vector<Epoch>& epochs = groups_by_member_[id];
    if (std::find(epochs.begin(), epochs.end(), epoch) == epochs.end())
        epochs.push_back(epoch);
}

// No orders were sent for a group that this host proposed and that is not in the log, so it is
// dropped.
void GroupPlanner::take_over(std::uint64_t term, Time now, const PlannedGroups& recorded,
                             bool several_recent_leaders) {
    term_ = term;
    counter_ = 0;
    took_over_ = now;
    // Loads before the first request do not count, whichever leader started them.
    if (traffic_started_)
        loads_.assume_started(several_recent_leaders, now);
    changes_ = {};
    moved_.clear();
    moving_group_ = NoEpoch;
    for (auto& [id, host] : hosts_)
        host.order_in_flight = false;
    std::erase_if(groups_, [&](const auto& pair) {
        return pair.second.phase == Phase::Proposed && !recorded.contains(pair.first);
    });
    for (auto& [epoch, group] : groups_) {
        group.formed_here = false;
        group.may_have_opened = !group.warm_up;
        group.in_log = false;
        group.removal_proposed = false;
        group.since = now;
        group.pending_probes.clear();
    }
    for (const auto& [epoch, group] : recorded)
        adopt(epoch, group, now);
}

// Adds a group that an earlier leader may have ordered, whether its members have reported it or
// not.
GroupPlanner::Group& GroupPlanner::adopt(Epoch epoch, const PlannedGroup& recorded, Time now) {
    Group& group = group_of({recorded.name, epoch, 0, MemberState::Joining}, now);
    group.in_log = true;
    group.members = recorded.members;
    if (group.phase == Phase::Proposed)
        group.phase = Phase::Forming;
    for (const EndpointId& member : recorded.members)
        record_membership(member, epoch);
    return group;
}

void GroupPlanner::suspect(Epoch epoch, Duration silence, Time now) {
    const auto found = groups_.find(epoch);
    if (found == groups_.end() || found->second.phase != Phase::Open)
        return;
    Group& group = found->second;
    group.silence = is_suspected(group, now) ? std::max(group.silence, silence) : silence;
    group.suspected = now;
}

bool GroupPlanner::is_suspected(const Group& group, Time now) {
    return group.suspected != Time{} && now - group.suspected <= SuspicionTimeout;
}

void GroupPlanner::answered(const EndpointOrder& order, OrderAnswer answer, Time now) {
    Host& host = hosts_[order.endpoint];
    host.order_in_flight = false;
    if (answer == OrderAnswer::Silent || answer == OrderAnswer::Elsewhere)
        host.unresponsive_until = now + UnresponsivePeriod;
    if (answer != OrderAnswer::Taken && order.kind == OrderKind::Stage)
        host.staging_until = {};
    const auto found = groups_.find(order.epoch);
    if (found == groups_.end())
        return;
    Group& group = found->second;
    if (order.kind == OrderKind::Join && answer == OrderAnswer::Taken)
        host.highest_epoch = std::max(host.highest_epoch, order.epoch);
    if (order.kind == OrderKind::Join && answer != OrderAnswer::Taken &&
        group.phase == Phase::Forming)
        dissolve(group,
                 "join of " + text_of(order.endpoint) + " failed: " + std::string(name_of(answer)),
                 now);
    if (order.kind == OrderKind::Close)
        on_close_answered(group, answer, now);
    // An endpoint that answers that it is not in the group has also taken over the fence of this
    // order, so it refuses all earlier orders.
    const EndpointReport* report = registry_ == nullptr ? nullptr : report_of(order.endpoint);
    const bool is_member = report != nullptr && report->membership.epoch == order.epoch;
    if (order.kind == OrderKind::Leave &&
        (answer == OrderAnswer::Taken || (answer == OrderAnswer::Unfit && !is_member)))
        group.departed.insert(order.endpoint);
}

// An endpoint that this host does not know yet may be alive: after a start of all control hosts
// that is so for every endpoint until its next heartbeat. A group whose members all answer may go
// on with its streams at any moment, and a lead that is ordered to leave cuts them. The members
// know for themselves whether one of them is lost, and end the group then; it is dissolved only if
// they have not done so in time.
void GroupPlanner::probed(const EndpointId& id, ProbeResult result, Time now) {
    for (auto& [epoch, group] : groups_) {
        if (group.pending_probes.erase(id) == 0 || group.phase != Phase::Open)
            continue;
        if (result == ProbeResult::Silent) {
            on_unanswered_probe(group, id, now);
            continue;
        }
        group.unanswered_probes.erase(id);
        if (result == ProbeResult::Unknown)
            group.silence = Duration::zero();
        else if (group.pending_probes.empty() && group.silence > config_.stall_timeout)
            dissolve(group, "stalled though all members answer", now);
    }
}

std::vector<EndpointId> GroupPlanner::take_probes() {
    return std::exchange(probes_, {});
}

// ---- queries

const EndpointReport* GroupPlanner::report_of(const EndpointId& id) const {
    const Registry::Item* item = registry_->find(id);
    return item == nullptr ? nullptr : &item->report;
}

bool GroupPlanner::alive(const EndpointId& id, Time now) const {
    const Registry::Item* item = registry_->find(id);
    if (item == nullptr || item->report.phase == EndpointPhase::Gone)
        return false;
    const auto host = hosts_.find(id);
    if (host != hosts_.end() && now < host->second.unresponsive_until &&
        item->last_contact < host->second.unresponsive_until - UnresponsivePeriod)
        return false;
    return now - item->last_contact < HeartbeatTimes{config_.heartbeat_interval}.two_missed();
}

// The member is not in the group, and no order in flight can bring it back: it has confirmed that
// it left, or it has joined a later group and so refuses this epoch.
bool GroupPlanner::has_left(const Group& group, const EndpointId& member) const {
    if (group.departed.contains(member))
        return true;
    const auto host = hosts_.find(member);
    return host != hosts_.end() && host->second.highest_epoch > group.epoch;
}

// The endpoint has exited: a newer incarnation has its name or its address, or this host has led
// for longer than a registry keeps an endpoint and has received no report of it.
bool GroupPlanner::has_exited(const EndpointId& id, Time now) const {
    const EndpointReport* report = report_of(id);
    return report == nullptr ? now - took_over_ > AbsenceTimeout : registry_->replaced(*report);
}

// The lead can never again work on requests of this group. Missing reports do not prove that, since
// a lead that is partitioned from control may still serve the entry hosts. Neither does
// deregistration, since an endpoint finishes its requests after it.
bool GroupPlanner::lead_stopped(const Group& group) const {
    if (group.members.empty() || group.members.front().empty())
        return false;
    if (group.closed || has_left(group, group.members.front()))
        return true;
    const EndpointReport* lead = report_of(group.members.front());
    return lead != nullptr && lead->membership.epoch == group.epoch &&
           lead->membership.state == MemberState::Broken;
}

// Whether the group still keeps a member from joining another one. Only facts that can not be
// undone release the member: it has left for good, the lead can not serve the group any more, or
// this leader formed the group and never ordered it to open. The age of a report is no such fact.
// Groups of other leaders are known from the log, which holds each group before its first order.
bool GroupPlanner::binds(const Group& group, const EndpointReport& member) const {
    return group.may_have_opened && !has_left(group, member.id) && !lead_stopped(group);
}

bool GroupPlanner::binds_no_member(const Group& group, Time now) const {
    if (group.phase != Phase::Dissolved)
        return false;
    if (!group.may_have_opened || lead_stopped(group))
        return true;
    return std::all_of(group.members.begin(), group.members.end(), [&](const EndpointId& id) {
        return has_left(group, id) || has_exited(id, now);
    });
}

bool GroupPlanner::is_free(const EndpointReport& report, Time now) const {
    if (report.phase != EndpointPhase::Serving || report.service != service_ ||
        is_out_of_use(report) || !alive(report.id, now))
        return false;
    const auto found = hosts_.find(report.id);
    if (found == hosts_.end())
        return false;
    const Host& host = found->second;
    if (host.order_in_flight || now < host.staging_until || now < host.unresponsive_until)
        return false;
    const auto epochs = groups_by_member_.find(report.id);
    if (epochs == groups_by_member_.end())
        return true;
    for (const Epoch epoch : epochs->second) {
        const auto known = groups_.find(epoch);
        if (known == groups_.end())
            continue;
        const Group& group = known->second;
        const bool member =
            std::find(group.members.begin(), group.members.end(), report.id) != group.members.end();
        if (!member)
            continue;
        if ((group.phase != Phase::Dissolved && !group.warm_up) || binds(group, report))
            return false;
    }
    return true;
}

bool GroupPlanner::staged(const EndpointReport& report, const std::string& model) const {
    return std::find(report.staged.begin(), report.staged.end(), model) != report.staged.end();
}

const std::map<std::string, GroupPlanner::Hosts>& GroupPlanner::free_by_domain(Time now) const {
    if (free_)
        return *free_;
    free_.emplace();
    for (const auto& [domain, hosts] : hosts_by_domain_)
        for (const EndpointReport* report : hosts)
            if (is_free(*report, now))
                (*free_)[domain].push_back(report);
    return *free_;
}

GroupPlanner::Hosts GroupPlanner::free_hosts(Time now) const {
    Hosts all;
    for (const auto& [domain, hosts] : free_by_domain(now))
        all.insert(all.end(), hosts.begin(), hosts.end());
    std::sort(all.begin(), all.end(), [](const auto* a, const auto* b) { return a->id < b->id; });
    return all;
}

void GroupPlanner::remove_from_free(const EndpointReport& report) {
    const auto drop = [&](std::map<std::string, Hosts>& domains) {
        const auto domain = domains.find(report.domain);
        if (domain == domains.end())
            return;
        std::erase(domain->second, &report);
        if (domain->second.empty())
            domains.erase(domain);
    };
    if (free_)
        drop(*free_);
    for (auto& [model, domains] : eligible_)
        drop(domains);
}

void GroupPlanner::reset_counts() {
    free_.reset();
    eligible_.clear();
    live_.reset();
}

const GroupPlanner::Hosts& GroupPlanner::hosts_in_domain(const std::string& domain) const {
    static const Hosts none;
    const auto found = hosts_by_domain_.find(domain);
    return found == hosts_by_domain_.end() ? none : found->second;
}

bool GroupPlanner::is_live(const Group& group, const std::string& model) {
    return group.model == model && !group.warm_up &&
           (group.phase == Phase::Proposed || group.phase == Phase::Forming ||
            group.phase == Phase::Open);
}

const GroupPlanner::LiveGroups& GroupPlanner::live(const std::string& model) const {
    static const LiveGroups none;
    if (!live_) {
        live_.emplace();
        for (const auto& [epoch, group] : groups_) {
            if (!is_live(group, group.model))
                continue;
            const EndpointReport* lead =
                group.members.empty() ? nullptr : report_of(group.members.front());
            if (lead != nullptr && is_out_of_use(*lead))
                continue;
            LiveGroups& counts = (*live_)[group.model];
            ++counts.all;
            if (lead != nullptr)
                ++counts.by_domain[lead->domain];
        }
    }
    const auto found = live_->find(model);
    return found == live_->end() ? none : found->second;
}

std::size_t GroupPlanner::live_groups(const std::string& model) const {
    return live(model).all;
}

std::size_t GroupPlanner::live_groups(const std::string& model, const std::string& domain) const {
    const LiveGroups& counts = live(model);
    const auto found = counts.by_domain.find(domain);
    return found == counts.by_domain.end() ? 0 : found->second;
}

// Such a group stays as it is and takes requests again once its zone is back in use.
bool GroupPlanner::wholly_out_of_use(const Group& group) const {
    return std::all_of(group.members.begin(), group.members.end(), [&](const EndpointId& id) {
        const EndpointReport* report = report_of(id);
        return report != nullptr && is_out_of_use(*report);
    });
}

bool GroupPlanner::is_consolidating(const std::string& model) const {
    return std::any_of(groups_.begin(), groups_.end(), [&](const auto& pair) {
        const Group& group = pair.second;
        return group.model == model && group.phase == Phase::Closing && group.consolidating;
    });
}

std::vector<Epoch> GroupPlanner::dissolved(const Registry& registry) const {
    std::vector<Epoch> epochs;
    for (const auto& [epoch, group] : groups_) {
        if (group.phase != Phase::Dissolved || group.members.empty())
            continue;
        const Registry::Item* lead = registry.find(group.members.front());
        if (lead != nullptr && lead->report.leads_open_group() &&
            lead->report.membership.epoch == epoch)
            epochs.push_back(epoch);
    }
    return epochs;
}

std::string GroupPlanner::layout(const Registry& registry, Time now) {
    begin_round(registry, now);
    std::string text;
    for (const ModelShape& model : engine_.models) {
        std::size_t open = 0;
        for (const auto& [epoch, group] : groups_)
            open += group.phase == Phase::Open && group.model == model.name ? 1 : 0;
        text += model.name + " open " + std::to_string(open) + " of " +
                std::to_string(target(model)) + "; ";
    }
    for (const auto& [domain, hosts] : free_by_domain(now)) {
        std::map<std::string, int> by_model;
        for (const EndpointReport* report : hosts)
            ++by_model[report->staged.empty() ? "nothing" : report->staged.back()];
        text += domain + " free";
        for (const auto& [model, count] : by_model)
            text += " " + model + ":" + std::to_string(count);
        text += "; ";
    }
    return text;
}

// Computes once what all decisions of a round use: a leader whose planning delays its heartbeats
// past the election timeout loses its leadership.
void GroupPlanner::begin_round(const Registry& registry, Time now) {
    registry_ = &registry;
    reset_counts();
    hosts_by_domain_.clear();
    serving_ = 0;
    std::size_t known = 0;
    for (const auto& [id, item] : registry.items()) {
        if (item.report.service != service_)
            continue;
        ++known;
        hosts_by_domain_[item.report.domain].push_back(&item.report);
        const bool serves = item.report.phase == EndpointPhase::Serving &&
                            !is_out_of_use(item.report) && alive(id, now);
        serving_ += serves ? 1 : 0;
    }
    if (known == known_hosts_)
        return;
    known_hosts_ = known;
    hosts_changed_ = now;
}

std::size_t GroupPlanner::target(const ModelShape& model) const {
    if (targets_)
        return std::max<std::size_t>(1, targets_->at(model.name));
    const double groups = model.share * static_cast<double>(serving_) / model.size;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(groups)));
}

// ---- orders

EndpointOrder& GroupPlanner::order(OrderKind kind, const EndpointReport& report,
                                   const Group* group) {
    EndpointOrder order;
    order.kind = kind;
    order.endpoint = report.id;
    order.address = report.address;
    order.fence = next_number();
    if (group != nullptr) {
        order.group = group->name;
        order.epoch = group->epoch;
        order.model = group->model;
        order.members = group->members;
    }
    hosts_[report.id].order_in_flight = true;
    remove_from_free(report);
    orders_.push_back(std::move(order));
    return orders_.back();
}

void GroupPlanner::add_event(std::string what, const std::string& group, const EndpointId& endpoint,
                             std::string why) {
    events_.push_back({std::move(what), group, endpoint, std::move(why)});
}

void GroupPlanner::dissolve(Group& group, const std::string& why, Time now) {
    if (group.phase == Phase::Dissolved)
        return;
    add_event("dissolved", group.name, group.members.empty() ? "" : group.members.front(), why);
    group.phase = Phase::Dissolved;
    group.since = now;
    group.pending_probes.clear();
    reset_counts();
}

// The state of endpoints is removed along with their groups. Otherwise it would grow with every
// endpoint that ever registered.
void GroupPlanner::forget_old_groups(Time now) {
    const std::size_t forgotten = std::erase_if(groups_, [&](const auto& pair) {
        const Group& group = pair.second;
        return group.phase == Phase::Dissolved && !group.in_log &&
               now - group.since > DissolvedRetention;
    });
    if (forgotten == 0)
        return;
    for (auto& [id, epochs] : groups_by_member_)
        std::erase_if(epochs, [&](Epoch epoch) { return !groups_.contains(epoch); });
    std::erase_if(groups_by_member_, [](const auto& pair) { return pair.second.empty(); });
    std::erase_if(hosts_, [&](const auto& pair) {
        return registry_->find(pair.first) == nullptr && !pair.second.order_in_flight &&
               !groups_by_member_.contains(pair.first);
    });
}

// ---- one round of planning

std::vector<EndpointOrder> GroupPlanner::plan(const Registry& registry, Time now) {
    orders_.clear();
    if (!configured_)
        return {};
    begin_round(registry, now);
    for (auto& [epoch, group] : groups_)
        advance(group, now);
    end_settled_groups(now);
    forget_old_groups(now);
    update_demand(now);
    update_targets(now);
    move_hosts(now);
    form_groups(now);
    stage_moved(now);
    stage_spares(now);
    restage_stranded(now);
    warm_spares(now);
    return std::exchange(orders_, {});
}

std::vector<EndpointOrder> GroupPlanner::recorded(const GroupChanges& changes,
                                                  const Registry& registry, Time now) {
    registry_ = &registry;
    orders_.clear();
    for (const Epoch epoch : changes.ended)
        if (const auto group = groups_.find(epoch); group != groups_.end())
            group->second.in_log = false;
    for (const auto& [epoch, formed] : changes.formed) {
        const auto group = groups_.find(epoch);
        if (group == groups_.end())
            continue;
        group->second.in_log = true;
        if (group->second.phase == Phase::Proposed)
            join_members(group->second, now);
    }
    return std::exchange(orders_, {});
}

// Removes groups that bind no member from the log, which would otherwise grow with every group ever
// formed.
void GroupPlanner::end_settled_groups(Time now) {
    if (now < removal_due_)
        return;
    removal_due_ = now + RemovalInterval;
    for (auto& [epoch, group] : groups_) {
        if (!group.in_log || group.removal_proposed || !binds_no_member(group, now))
            continue;
        group.removal_proposed = true;
        changes_.ended.push_back(epoch);
    }
}

} // namespace liftweir
