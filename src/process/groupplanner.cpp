#include "process/groupplanner.h"

#include "process/groupname.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

// A host that has missed two reports is taken for no new group.
constexpr int BeatsMissed = 2;
constexpr Duration BeatSlack = std::chrono::milliseconds(400);
constexpr Duration SilentFor = std::chrono::milliseconds(3000);
// All members answer control, and yet nothing moves: they may be cut off from each other.
constexpr int SoundRoundsBelieved = 6;
constexpr Duration DeadKept = std::chrono::seconds(60);
// Longer than a registry keeps an endpoint that is silent.
constexpr Duration UnheardOf = std::chrono::seconds(150);

} // namespace

GroupPlanner::GroupPlanner(std::string service, GroupPlannerConfig bounds, bool first_start)
    : service_(std::move(service)), bounds_(bounds), traffic_(!first_start) {}

void GroupPlanner::configure(const EngineCost& engine) {
    engine_ = engine;
    configured_ = true;
    loads_.configure(engine.loads_per_second, bounds_.load_window);
}

const ModelShape* GroupPlanner::shape(const std::string& model) const {
    const auto found = std::find_if(engine_.models.begin(), engine_.models.end(),
                                    [&](const ModelShape& m) { return m.name == model; });
    return found == engine_.models.end() ? nullptr : &*found;
}

// ---- what the endpoints say

void GroupPlanner::observe(const EndpointReport& report, Time now) {
    Host& host = hosts_[report.id];
    const Membership& membership = report.membership;
    if (host.staging == (report.staged.empty() ? "" : report.staged.back()))
        host.staging_until = {};
    host.seen = std::max(host.seen, membership.epoch);
    note_departures(report);
    if (membership.epoch == NoEpoch)
        return;
    Group& group = group_of(membership, now);
    group.told.insert(report.id);
    if (group.members.size() <= membership.rank)
        group.members.resize(membership.rank + 1);
    EndpointId& member = group.members[membership.rank];
    if (member.started_before(report.id))
        bury(group, "a newer incarnation replaced member " + text_of(member), now);
    if (!report.id.started_before(member))
        member = report.id;
    note_member(report.id, group.epoch);
    if (membership.state != MemberState::Joining)
        host.warm = group.model;
    if (membership.state == MemberState::Open) {
        ever_open_.insert(group.model);
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

// By its own words the member was in the group and is no more: the order that took it out had a
// higher fence than the one that let it in, so that can not come again. Who has deregistered says
// nothing of its group, and may serve it on.
void GroupPlanner::note_departures(const EndpointReport& report) {
    const auto epochs = groups_of_.find(report.id);
    if (epochs == groups_of_.end() || report.phase == EndpointPhase::Gone)
        return;
    for (const Epoch epoch : epochs->second) {
        const auto group = groups_.find(epoch);
        if (group != groups_.end() && epoch != report.membership.epoch &&
            group->second.told.contains(report.id))
            group->second.out.insert(report.id);
    }
}

// A group that another leader formed is known from its members' reports alone, so it may have been
// put into service.
GroupPlanner::Group& GroupPlanner::group_of(const Membership& membership, Time now) {
    Group& group = groups_[membership.epoch];
    if (group.epoch != NoEpoch)
        return group;
    group.epoch = membership.epoch;
    group.name = membership.group;
    group.model = model_of_group(membership.group);
    group.warm_up = names_warm_up(membership.group);
    group.may_have_opened = !group.warm_up;
    group.since = now;
    return group;
}

void GroupPlanner::note_member(const EndpointId& id, Epoch epoch) {
    std::vector<Epoch>& epochs = groups_of_[id];
    if (std::find(epochs.begin(), epochs.end(), epoch) == epochs.end())
        epochs.push_back(epoch);
}

// What this host formed and the log does not have was never ordered.
void GroupPlanner::take_over(std::uint64_t term, Time now, const PlannedGroups& recorded,
                             bool several_recent_leaders) {
    term_ = term;
    counter_ = 0;
    took_over_ = now;
    // Loads before the first request are not counted, whoever began them.
    if (traffic_)
        loads_.assume_begun(several_recent_leaders, now);
    changes_ = {};
    for (auto& [id, host] : hosts_)
        host.ordered = false;
    std::erase_if(groups_, [&](const auto& pair) {
        return pair.second.phase == Phase::Proposed && !recorded.contains(pair.first);
    });
    for (auto& [epoch, group] : groups_) {
        group.ours = false;
        group.may_have_opened = !group.warm_up;
        group.logged = false;
        group.ending = false;
        group.since = now;
        group.awaited.clear();
    }
    for (const auto& [epoch, group] : recorded)
        adopt(epoch, group, now);
}

// A group that some leader may have ordered, whether its members have told of it or not.
GroupPlanner::Group& GroupPlanner::adopt(Epoch epoch, const PlannedGroup& recorded, Time now) {
    Group& group = group_of({recorded.name, epoch, 0, MemberState::Joining}, now);
    group.logged = true;
    group.members = recorded.members;
    if (group.phase == Phase::Proposed)
        group.phase = Phase::Forming;
    for (const EndpointId& member : recorded.members)
        note_member(member, epoch);
    return group;
}

void GroupPlanner::suspect(Epoch epoch, Time now) {
    const auto found = groups_.find(epoch);
    if (found != groups_.end() && found->second.phase == Phase::Open)
        found->second.suspected = now;
}

void GroupPlanner::answered(const EndpointOrder& order, OrderAnswer answer, Time now) {
    Host& host = hosts_[order.endpoint];
    host.ordered = false;
    if (answer == OrderAnswer::Silent || answer == OrderAnswer::Elsewhere)
        host.silent_until = now + SilentFor;
    if (answer != OrderAnswer::Taken && order.kind == OrderKind::Stage)
        host.staging_until = {};
    const auto found = groups_.find(order.epoch);
    if (found == groups_.end())
        return;
    Group& group = found->second;
    if (order.kind == OrderKind::Join && answer == OrderAnswer::Taken)
        host.seen = std::max(host.seen, order.epoch);
    if (order.kind == OrderKind::Join && answer != OrderAnswer::Taken &&
        group.phase == Phase::Forming)
        bury(group, "join of " + text_of(order.endpoint) + " was " + std::string(name_of(answer)),
             now);
    if (order.kind == OrderKind::Close && answer != OrderAnswer::Taken)
        bury(group, "close was " + std::string(name_of(answer)), now);
    // Whoever answers that it is not in the group has seen this order's fence as well, and refuses
    // what was ordered before.
    const EndpointReport* report = registry_ == nullptr ? nullptr : report_of(order.endpoint);
    const bool in_it = report != nullptr && report->membership.epoch == order.epoch;
    if (order.kind == OrderKind::Leave &&
        (answer == OrderAnswer::Taken || (answer == OrderAnswer::Unfit && !in_it)))
        group.out.insert(order.endpoint);
}

void GroupPlanner::probed(const EndpointId& id, bool alive, Time now) {
    if (!alive)
        hosts_[id].silent_until = now + SilentFor;
    for (auto& [epoch, group] : groups_) {
        if (group.awaited.erase(id) == 0 || group.phase != Phase::Open)
            continue;
        if (!alive)
            bury(group, "member " + text_of(id) + " does not answer", now);
        else if (group.awaited.empty() && ++group.sound_rounds >= SoundRoundsBelieved)
            bury(group, "stalled though all members answer", now);
    }
}

std::vector<EndpointId> GroupPlanner::take_probes() {
    return std::exchange(probes_, {});
}

// ---- facts

const EndpointReport* GroupPlanner::report_of(const EndpointId& id) const {
    const Registry::Item* item = registry_->find(id);
    return item == nullptr ? nullptr : &item->report;
}

bool GroupPlanner::alive(const EndpointId& id, Time now) const {
    const Registry::Item* item = registry_->find(id);
    if (item == nullptr || item->report.phase == EndpointPhase::Gone)
        return false;
    const auto host = hosts_.find(id);
    if (host != hosts_.end() && now < host->second.silent_until &&
        item->last_contact < host->second.silent_until - SilentFor)
        return false;
    return now - item->last_contact < BeatsMissed * bounds_.beat + BeatSlack;
}

// The member is not in the group, and nothing that is under way can bring it back: it has confirmed
// that it left, or joined a later group and so refuses this one for good.
bool GroupPlanner::is_out(const Group& group, const EndpointId& member) const {
    if (group.out.contains(member))
        return true;
    const auto host = hosts_.find(member);
    return host != hosts_.end() && host->second.seen > group.epoch;
}

// Its process is no more: another start has its name or its address, or nothing was heard of it for
// as long as this host leads, and that is long.
bool GroupPlanner::has_ended(const EndpointId& id, Time now) const {
    const EndpointReport* report = report_of(id);
    return report == nullptr ? now - took_over_ > UnheardOf : registry_->replaced(*report);
}

// The lead can work on no request of this group any more, and never will. Silence is no such proof,
// since a lead may be cut off from control alone and serve the entry hosts; nor is having
// deregistered, since an endpoint finishes what it has after that.
bool GroupPlanner::lead_is_out(const Group& group) const {
    if (group.members.empty() || group.members.front().empty())
        return false;
    if (group.closed || is_out(group, group.members.front()))
        return true;
    const EndpointReport* lead = report_of(group.members.front());
    return lead != nullptr && lead->membership.epoch == group.epoch &&
           lead->membership.state == MemberState::Broken;
}

// Whether a member may be in no other group yet. It is set free by facts that can not be undone: it
// has left for good, or the lead can not serve the group any more, or this leader formed the group
// and never told it to open. The age of a word is no such fact. Groups of other leaders are known
// from the log, which has each from before its first order.
bool GroupPlanner::binds(const Group& group, const EndpointReport& member) const {
    return group.may_have_opened && !is_out(group, member.id) && !lead_is_out(group);
}

bool GroupPlanner::binds_nobody(const Group& group, Time now) const {
    if (group.phase != Phase::Dead)
        return false;
    if (!group.may_have_opened || lead_is_out(group))
        return true;
    return std::all_of(group.members.begin(), group.members.end(), [&](const EndpointId& id) {
        return is_out(group, id) || has_ended(id, now);
    });
}

bool GroupPlanner::is_free(const EndpointReport& report, Time now) const {
    if (report.phase != EndpointPhase::Serving || report.service != service_ ||
        !alive(report.id, now))
        return false;
    const auto found = hosts_.find(report.id);
    if (found == hosts_.end())
        return false;
    const Host& host = found->second;
    if (host.ordered || now < host.staging_until || now < host.silent_until)
        return false;
    const auto epochs = groups_of_.find(report.id);
    if (epochs == groups_of_.end())
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
        if ((group.phase != Phase::Dead && !group.warm_up) || binds(group, report))
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
    for (const auto& [domain, hosts] : in_domain_)
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

void GroupPlanner::no_longer_free(const EndpointReport& report) {
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
    for (auto& [model, domains] : fit_)
        drop(domains);
}

void GroupPlanner::recount() {
    free_.reset();
    fit_.clear();
    live_.reset();
}

const GroupPlanner::Hosts& GroupPlanner::hosts_in(const std::string& domain) const {
    static const Hosts none;
    const auto found = in_domain_.find(domain);
    return found == in_domain_.end() ? none : found->second;
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
            LiveGroups& counts = (*live_)[group.model];
            ++counts.all;
            const EndpointReport* lead =
                group.members.empty() ? nullptr : report_of(group.members.front());
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

bool GroupPlanner::is_gathering(const std::string& model) const {
    return std::any_of(groups_.begin(), groups_.end(), [&](const auto& pair) {
        const Group& group = pair.second;
        return group.model == model && group.phase == Phase::Closing && group.gathering;
    });
}

std::vector<Epoch> GroupPlanner::dissolved(const Registry& registry) const {
    std::vector<Epoch> epochs;
    for (const auto& [epoch, group] : groups_) {
        if (group.phase != Phase::Dead || group.members.empty())
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

// What all decisions of a round ask for is counted once: a leader that plans for longer than its
// heartbeats may be late loses its office.
void GroupPlanner::begin_round(const Registry& registry, Time now) {
    registry_ = &registry;
    recount();
    in_domain_.clear();
    serving_ = 0;
    std::size_t known = 0;
    for (const auto& [id, item] : registry.items()) {
        if (item.report.service != service_)
            continue;
        ++known;
        in_domain_[item.report.domain].push_back(&item.report);
        serving_ += item.report.phase == EndpointPhase::Serving && alive(id, now) ? 1 : 0;
    }
    if (known == hosts_known_)
        return;
    hosts_known_ = known;
    hosts_changed_ = now;
}

std::size_t GroupPlanner::target(const ModelShape& model) const {
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
    hosts_[report.id].ordered = true;
    no_longer_free(report);
    orders_.push_back(std::move(order));
    return orders_.back();
}

void GroupPlanner::note(std::string what, const std::string& group, const EndpointId& endpoint,
                        std::string why) {
    events_.push_back({std::move(what), group, endpoint, std::move(why)});
}

void GroupPlanner::bury(Group& group, const std::string& why, Time now) {
    if (group.phase == Phase::Dead)
        return;
    note("dissolved", group.name, group.members.empty() ? "" : group.members.front(), why);
    group.phase = Phase::Dead;
    group.since = now;
    group.awaited.clear();
    recount();
}

// What is kept of endpoints goes with their groups, or it would grow for as long as they come and
// go.
void GroupPlanner::forget_old_groups(Time now) {
    const std::size_t forgotten = std::erase_if(groups_, [&](const auto& pair) {
        const Group& group = pair.second;
        return group.phase == Phase::Dead && !group.logged && now - group.since > DeadKept;
    });
    if (forgotten == 0)
        return;
    for (auto& [id, epochs] : groups_of_)
        std::erase_if(epochs, [&](Epoch epoch) { return !groups_.contains(epoch); });
    std::erase_if(groups_of_, [](const auto& pair) { return pair.second.empty(); });
    std::erase_if(hosts_, [&](const auto& pair) {
        return registry_->find(pair.first) == nullptr && !pair.second.ordered &&
               !groups_of_.contains(pair.first);
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
    form_groups(now);
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
            group->second.logged = false;
    for (const auto& [epoch, formed] : changes.formed) {
        const auto group = groups_.find(epoch);
        if (group == groups_.end())
            continue;
        group->second.logged = true;
        if (group->second.phase == Phase::Proposed)
            join_members(group->second, now);
    }
    return std::exchange(orders_, {});
}

// The log would grow with each group that ever was.
void GroupPlanner::end_settled_groups(Time now) {
    if (now < ended_due_)
        return;
    ended_due_ = now + EndEvery;
    for (auto& [epoch, group] : groups_) {
        if (!group.logged || group.ending || !binds_nobody(group, now))
            continue;
        group.ending = true;
        changes_.ended.push_back(epoch);
    }
}

} // namespace liftweir
