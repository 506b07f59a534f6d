#include "process/groupplanner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace liftweir {

namespace {

// A host that has missed two reports is taken for no new group.
constexpr int BeatsMissed = 2;
constexpr Duration BeatSlack = std::chrono::milliseconds(400);
// The deposed leader stops giving orders within an election timeout; what it sent just before
// has arrived by then, or meets a higher fence.
constexpr Duration TakeoverWait = std::chrono::milliseconds(400);
// Hosts register within one beat of each other; the layout waits until no new one has come for so
// long.
constexpr Duration SettleTime = std::chrono::milliseconds(1000);
constexpr Duration SilentFor = std::chrono::milliseconds(3000);
constexpr Duration ProbeEvery = std::chrono::milliseconds(400);
// Suspicion that is not renewed for so long is over.
constexpr Duration SuspicionKept = std::chrono::milliseconds(900);
// All members answer control, and yet nothing moves: they may be cut off from each other.
constexpr int SoundRoundsBelieved = 6;
constexpr Duration FormingSlack = std::chrono::milliseconds(1500);
// Endpoints let a leaving member's group finish for 10 s at most.
constexpr Duration MostClosing = std::chrono::seconds(10);
constexpr Duration DeadKept = std::chrono::seconds(60);
constexpr char NameSeparator = '.';
constexpr char WarmUpMark = 'w';

// A group's name carries its model, so that a new leader can read it back from any member.
std::string group_name(const std::string& model, Epoch epoch, bool warm_up) {
    std::string name = model + NameSeparator;
    if (warm_up)
        name += WarmUpMark;
    return name + std::to_string(epoch);
}

bool names_warm_up(const std::string& group) {
    const auto at = group.rfind(NameSeparator);
    return at != std::string::npos && at + 1 < group.size() && group[at + 1] == WarmUpMark;
}

std::string model_of(const std::string& group) {
    return group.substr(0, group.rfind(NameSeparator));
}

} // namespace

std::string_view name_of(OrderKind kind) {
    switch (kind) {
    case OrderKind::Join:
        return "join";
    case OrderKind::Open:
        return "open";
    case OrderKind::Close:
        return "close";
    case OrderKind::Leave:
        return "leave";
    case OrderKind::Stage:
        return "stage";
    }
    return "unknown";
}

std::string_view name_of(OrderAnswer answer) {
    switch (answer) {
    case OrderAnswer::Taken:
        return "taken";
    case OrderAnswer::Unfit:
        return "unfit";
    case OrderAnswer::Stale:
        return "stale";
    case OrderAnswer::Elsewhere:
        return "elsewhere";
    case OrderAnswer::Silent:
        return "silent";
    }
    return "unknown";
}

GroupPlanner::GroupPlanner(std::string service, PlannerBounds bounds, bool first_start)
    : service_(std::move(service)), bounds_(bounds), first_start_(first_start) {}

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
    if (membership.epoch == NoEpoch)
        return;
    Group& group = groups_[membership.epoch];
    if (group.epoch == NoEpoch) {
        group.epoch = membership.epoch;
        group.name = membership.group;
        group.model = model_of(membership.group);
        group.warm_up = names_warm_up(membership.group);
        group.may_have_opened = !group.warm_up;
        group.since = now;
    }
    if (group.members.size() <= membership.rank)
        group.members.resize(membership.rank + 1);
    group.members[membership.rank] = report.id;
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
}

void GroupPlanner::take_over(std::uint64_t term, Time now) {
    term_ = term;
    counter_ = 0;
    took_over_ = now;
    loads_.assume_full(now);
    for (auto& [id, host] : hosts_)
        host.ordered = false;
    for (auto& [epoch, group] : groups_) {
        group.ours = false;
        group.may_have_opened = !group.warm_up;
        group.since = now;
        group.awaited.clear();
    }
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
    if (order.kind == OrderKind::Join && answer != OrderAnswer::Taken &&
        group.phase == Phase::Forming)
        bury(group, "join of " + order.endpoint + " was " + std::string(name_of(answer)), now);
    if (order.kind == OrderKind::Close && answer != OrderAnswer::Taken)
        bury(group, "close was " + std::string(name_of(answer)), now);
    if (order.kind == OrderKind::Leave && answer == OrderAnswer::Taken)
        group.left.insert(order.endpoint);
}

void GroupPlanner::probed(const EndpointId& id, bool alive, Time now) {
    if (!alive)
        hosts_[id].silent_until = now + SilentFor;
    for (auto& [epoch, group] : groups_) {
        if (group.awaited.erase(id) == 0 || group.phase != Phase::Open)
            continue;
        if (!alive)
            bury(group, "member " + id + " does not answer", now);
        else if (group.awaited.empty() && ++group.sound_rounds >= SoundRoundsBelieved)
            bury(group, "stands still though all members answer", now);
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
        item->heard < host->second.silent_until - SilentFor)
        return false;
    return now - item->heard < BeatsMissed * bounds_.beat + BeatSlack;
}

// By its own word the lead can work on no request of this group any more. Silence is no such word,
// since a lead may be cut off from control alone and serve the entry hosts; nor is having
// deregistered, since an endpoint finishes what it has after that.
bool GroupPlanner::lead_is_out(const Group& group) const {
    if (group.members.empty() || group.members.front().empty())
        return false;
    if (group.left.contains(group.members.front()))
        return true;
    const EndpointReport* lead = report_of(group.members.front());
    if (lead == nullptr)
        return false;
    return lead->membership.epoch != group.epoch ||
           lead->membership.state == MemberState::Broken;
}

// Whether a member may be in no other group yet. It is set free by its own word that it left, or
// by the lead's that the group can not serve; a group that was never opened binds nobody.
bool GroupPlanner::binds(const Group& group, const EndpointReport& member) const {
    return group.may_have_opened && !group.closed && member.membership.epoch == group.epoch &&
           !group.left.contains(member.id) && !lead_is_out(group);
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
    for (const auto& [epoch, group] : groups_) {
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

std::map<std::string, GroupPlanner::Domain> GroupPlanner::free_by_domain(Time now) const {
    std::map<std::string, Domain> domains;
    for (const auto& [id, item] : registry_->items())
        if (is_free(item.report, now))
            domains[item.report.domain].free.push_back(&item.report);
    return domains;
}

std::size_t GroupPlanner::live_groups(const std::string& model) const {
    return static_cast<std::size_t>(
        std::count_if(groups_.begin(), groups_.end(), [&](const auto& pair) {
            const Group& group = pair.second;
            return group.model == model && !group.warm_up &&
                   (group.phase == Phase::Forming || group.phase == Phase::Open);
        }));
}

std::size_t GroupPlanner::live_groups(const std::string& model, const std::string& domain) const {
    std::size_t count = 0;
    for (const auto& [epoch, group] : groups_) {
        if (group.model != model || group.warm_up || group.members.empty() ||
            (group.phase != Phase::Forming && group.phase != Phase::Open))
            continue;
        const EndpointReport* lead = report_of(group.members.front());
        count += lead != nullptr && lead->domain == domain ? 1 : 0;
    }
    return count;
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
    registry_ = &registry;
    std::string text;
    for (const ModelShape& model : engine_.models) {
        std::size_t open = 0;
        for (const auto& [epoch, group] : groups_)
            open += group.phase == Phase::Open && group.model == model.name ? 1 : 0;
        text += model.name + " open " + std::to_string(open) + " of " +
                std::to_string(target(model, now)) + "; ";
    }
    for (const auto& [domain, hosts] : free_by_domain(now)) {
        std::map<std::string, int> by_model;
        for (const EndpointReport* report : hosts.free)
            ++by_model[report->staged.empty() ? "nothing" : report->staged.back()];
        text += domain + " free";
        for (const auto& [model, count] : by_model)
            text += " " + model + ":" + std::to_string(count);
        text += "; ";
    }
    return text;
}

std::size_t GroupPlanner::target(const ModelShape& model, Time now) const {
    std::size_t hosts = 0;
    for (const auto& [id, item] : registry_->items())
        hosts += item.report.service == service_ &&
                         item.report.phase == EndpointPhase::Serving && alive(id, now)
                     ? 1
                     : 0;
    const double groups = model.share * static_cast<double>(hosts) / model.size;
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
}

// ---- progress of groups

std::vector<EndpointOrder> GroupPlanner::plan(const Registry& registry, Time now) {
    registry_ = &registry;
    orders_.clear();
    if (!configured_ || now - took_over_ < TakeoverWait) {
        if (!first_start_ || !configured_ || now - took_over_ < SettleTime)
            return {};
    }
    for (auto& [epoch, group] : groups_)
        advance(group, now);
    std::erase_if(groups_, [&](const auto& pair) {
        const Group& group = pair.second;
        return group.phase == Phase::Dead && now - group.since > DeadKept;
    });
    form_groups(now);
    stage_spares(now);
    warm_spares(now);
    return std::exchange(orders_, {});
}

void GroupPlanner::advance(Group& group, Time now) {
    switch (group.phase) {
    case Phase::Forming:
        advance_forming(group, now);
        break;
    case Phase::Open:
    case Phase::Closing:
        advance_open(group, now);
        break;
    case Phase::Dead:
        advance_dead(group, now);
        break;
    }
}

void GroupPlanner::advance_forming(Group& group, Time now) {
    const ModelShape* model = shape(group.model);
    const std::size_t size = group.warm_up ? 1 : (model == nullptr ? 0 : model->size);
    if (model == nullptr || (!group.warm_up && group.ours && group.members.size() != size)) {
        bury(group, "no such model", now);
        return;
    }
    bool all_ready = group.members.size() == size;
    for (const EndpointId& id : group.members) {
        const EndpointReport* report = report_of(id);
        if (report == nullptr) {
            all_ready = false;
            continue;
        }
        if (report->phase != EndpointPhase::Serving || !alive(id, now)) {
            bury(group, "member " + id + " was lost while the group formed", now);
            return;
        }
        all_ready = all_ready && report->membership.epoch == group.epoch &&
                    report->membership.state == MemberState::Ready;
    }
    if (all_ready && group.warm_up) {
        bury(group, "warm", now);
        return;
    }
    const EndpointReport* lead = group.members.empty() ? nullptr : report_of(group.members.front());
    if (all_ready && lead != nullptr && !hosts_[lead->id].ordered && now >= group.open_due) {
        group.may_have_opened = true;
        group.open_due = now + engine_.open_delay + bounds_.beat;
        order(OrderKind::Open, *lead, &group);
        note("opening", group.name, lead->id, "all members are ready");
    }
    const Time overdue = group.expected == Time{} ? group.since + engine_.open_delay + FormingSlack +
                                                        (model->load + model->warm_join)
                                                  : group.expected + FormingSlack;
    if (now > overdue)
        bury(group, "not ready in time", now);
}

// A member that was lost shows in three ways: its own report, another incarnation at its address,
// or streams that stand still at the entry hosts and a probe that is not answered. Silence towards
// control alone proves nothing: the group may serve on.
void GroupPlanner::advance_open(Group& group, Time now) {
    const EndpointReport* lead = group.members.empty() ? nullptr : report_of(group.members.front());
    if (lead != nullptr && lead->membership.epoch == group.epoch) {
        if (lead->membership.state == MemberState::Broken) {
            bury(group, "the lead reports it broken", now);
            return;
        }
        if (group.phase == Phase::Closing && lead->membership.state == MemberState::Ready) {
            group.closed = true;
            bury(group, "closed", now);
            return;
        }
    }
    if (group.phase == Phase::Closing && now - group.since > MostClosing) {
        bury(group, "did not close in time", now);
        return;
    }
    for (const EndpointId& id : group.members) {
        const EndpointReport* report = report_of(id);
        if (report == nullptr)
            continue;
        if (report->membership.epoch != group.epoch) {
            bury(group, "member " + id + " left", now);
            return;
        }
    }
    close_if_leaving(group, lead, now);
    gather(group, now);
    probe_if_suspected(group, now);
}

bool GroupPlanner::spans_domains(const Group& group) const {
    std::set<std::string> domains;
    for (const EndpointId& id : group.members)
        if (const EndpointReport* report = report_of(id))
            domains.insert(report->domain);
    return domains.size() > 1;
}

// A group across domains is a makeshift: it ends once one domain alone can hold a group.
void GroupPlanner::gather(Group& group, Time now) {
    const ModelShape* model = shape(group.model);
    if (group.phase != Phase::Open || model == nullptr || !spans_domains(group))
        return;
    std::map<std::string, std::size_t> hosts;
    for (const EndpointId& id : group.members)
        if (const EndpointReport* report = report_of(id))
            ++hosts[report->domain];
    for (const auto& [domain, free] : free_by_domain(now))
        for (const EndpointReport* report : free.free)
            hosts[domain] += staged(*report, group.model) ? 1 : 0;
    const bool one_is_enough = std::any_of(
        hosts.begin(), hosts.end(), [&](const auto& item) { return item.second >= model->size; });
    const EndpointReport* lead = report_of(group.members.front());
    if (!one_is_enough || lead == nullptr || hosts_[lead->id].ordered)
        return;
    group.phase = Phase::Closing;
    group.since = now;
    order(OrderKind::Close, *lead, &group);
    note("closing", group.name, lead->id, "one domain can hold it now");
}

// A leaving member goes on with what its group has, for a while. Without its lead a group gets
// nothing new anyway; without another member it pays to close early only where a spare is at hand.
void GroupPlanner::close_if_leaving(Group& group, const EndpointReport* lead, Time now) {
    if (group.phase != Phase::Open || lead == nullptr || hosts_[lead->id].ordered)
        return;
    const bool leaving =
        std::any_of(group.members.begin(), group.members.end(), [&](const EndpointId& id) {
            const EndpointReport* report = report_of(id);
            return report != nullptr && report->phase != EndpointPhase::Serving;
        });
    if (!leaving || (lead->phase == EndpointPhase::Serving && !replaceable(group, now)))
        return;
    group.phase = Phase::Closing;
    group.since = now;
    order(OrderKind::Close, *lead, &group);
    note("closing", group.name, lead->id, "a member is leaving");
}

// Closing early pays only where the group can be put together again without the leaving member.
bool GroupPlanner::replaceable(const Group& group, Time now) const {
    const EndpointReport* lead = report_of(group.members.front());
    if (lead == nullptr)
        return false;
    const auto domains = free_by_domain(now);
    const auto domain = domains.find(lead->domain);
    if (domain == domains.end())
        return false;
    std::size_t leaving = 0;
    for (const EndpointId& id : group.members) {
        const EndpointReport* report = report_of(id);
        leaving += report == nullptr || report->phase != EndpointPhase::Serving ? 1 : 0;
    }
    const auto spares = static_cast<std::size_t>(
        std::count_if(domain->second.free.begin(), domain->second.free.end(),
                      [&](const EndpointReport* r) { return staged(*r, group.model); }));
    return spares >= leaving;
}

void GroupPlanner::probe_if_suspected(Group& group, Time now) {
    if (group.suspected == Time{} || now - group.suspected > SuspicionKept) {
        group.sound_rounds = 0;
        return;
    }
    if (!group.awaited.empty() || now - group.probed < ProbeEvery)
        return;
    group.probed = now;
    for (const EndpointId& id : group.members)
        if (!id.empty() && group.awaited.insert(id).second)
            probes_.push_back(id);
    note("suspected", group.name, group.members.front(), "its streams stand still");
}

// The lead's own word frees all members with one order. Where it is silent, each of them has to
// leave for itself.
void GroupPlanner::advance_dead(Group& group, Time now) {
    if (group.members.empty() || !group.may_have_opened || lead_is_out(group))
        return;
    const EndpointId& lead = group.members.front();
    const bool ask_lead = !lead.empty() && alive(lead, now);
    for (const EndpointId& id : group.members) {
        const EndpointReport* member = id.empty() ? nullptr : report_of(id);
        if ((ask_lead && id != lead) || member == nullptr || !alive(id, now) ||
            !binds(group, *member) || hosts_[id].ordered)
            continue;
        order(OrderKind::Leave, *member, &group);
    }
}

// ---- formation

void GroupPlanner::form_groups(Time now) {
    std::size_t known = 0;
    for (const auto& [id, item] : registry_->items())
        known += item.report.service == service_ ? 1 : 0;
    if (known != hosts_known_) {
        hosts_known_ = known;
        hosts_changed_ = now;
    }
    if (ever_open_.empty() && now - hosts_changed_ < SettleTime)
        return;
    if (ever_open_.empty() && !traffic_ && assignment_.empty())
        assignment_ = assign_models(cold_hosts(now), engine_.models);
    std::set<std::string> hopeless;
    while (hopeless.size() < engine_.models.size()) {
        const ModelShape* neediest = nullptr;
        double lowest = std::numeric_limits<double>::max();
        for (const ModelShape& model : engine_.models) {
            if (hopeless.contains(model.name))
                continue;
            const double have = static_cast<double>(live_groups(model.name)) /
                                static_cast<double>(target(model, now));
            if (have < lowest || (neediest != nullptr && have == lowest &&
                                  model.size > neediest->size)) {
                lowest = have;
                neediest = &model;
            }
        }
        if (neediest == nullptr)
            return;
        if (!form_one(neediest->name, now))
            hopeless.insert(neediest->name);
    }
}

std::vector<ColdHost> GroupPlanner::cold_hosts(Time now) const {
    std::vector<ColdHost> hosts;
    for (const auto& [domain, item] : free_by_domain(now))
        for (const EndpointReport* report : item.free)
            if (report->staged.empty())
                hosts.push_back({report->id, domain});
    return hosts;
}

bool GroupPlanner::assigned(const EndpointReport& report, const std::string& model) const {
    const auto found = assignment_.find(report.id);
    return report.staged.empty() && found != assignment_.end() && found->second == model;
}

// Every group that can be formed within a domain is formed: a host that waits as a spare serves
// nobody, and the first loss in a domain leaves spares enough for the next ones.
bool GroupPlanner::form_one(const std::string& name, Time now) {
    const ModelShape& model = *shape(name);
    const bool from_nothing = !ever_open_.contains(name);
    const auto domains = free_by_domain(now);
    std::vector<const EndpointReport*> best;
    std::size_t best_free = 0;
    std::size_t best_groups = 0;
    for (const auto& [domain, hosts] : domains) {
        std::vector<const EndpointReport*> fit;
        for (const EndpointReport* report : hosts.free)
            if (staged(*report, name) || (from_nothing && !traffic_ && assigned(*report, name)))
                fit.push_back(report);
        if (fit.size() < model.size)
            continue;
        const std::size_t groups = live_groups(name, domain);
        const bool better = best.empty() || groups < best_groups ||
                            (groups == best_groups && fit.size() > best_free);
        if (!better)
            continue;
        best_free = fit.size();
        best_groups = groups;
        best = std::move(fit);
    }
    if (best.empty())
        best = across_domains(model, now);
    if (best.empty())
        return false;
    std::stable_sort(best.begin(), best.end(), [&](const auto* a, const auto* b) {
        const auto rank = [&](const EndpointReport* r) {
            return staged(*r, name) ? (hosts_.at(r->id).warm == name ? 0 : 1) : 2;
        };
        return rank(a) < rank(b);
    });
    best.resize(std::min<std::size_t>(best.size(), model.size));
    form(model, best, from_nothing ? "first group" : "below its share", now);
    return true;
}

// Across domains a group is several times slower, which is still better than none. Beside groups
// that stand it does harm: it takes the spares that would mend them. It takes hosts first that are
// of no use as spares, in domains without a group of the model.
std::vector<const EndpointReport*> GroupPlanner::across_domains(const ModelShape& model,
                                                                Time now) const {
    std::vector<const EndpointReport*> hosts;
    if (live_groups(model.name) > 0)
        return hosts;
    for (const auto& [domain, item] : free_by_domain(now))
        for (const EndpointReport* report : item.free)
            if (staged(*report, model.name))
                hosts.push_back(report);
    if (hosts.size() < model.size)
        return {};
    std::stable_sort(hosts.begin(), hosts.end(), [&](const auto* a, const auto* b) {
        return live_groups(model.name, a->domain) < live_groups(model.name, b->domain);
    });
    hosts.resize(model.size);
    return hosts;
}

void GroupPlanner::form(const ModelShape& model, const std::vector<const EndpointReport*>& hosts,
                        const std::string& why, Time now) {
    const Epoch epoch = next_number();
    Group& group = groups_[epoch];
    group.epoch = epoch;
    group.warm_up = hosts.size() == 1 && model.size != 1;
    group.name = group_name(model.name, epoch, group.warm_up);
    group.model = model.name;
    group.since = now;
    group.ours = true;
    group.may_have_opened = false;
    Duration longest{};
    for (const EndpointReport* report : hosts) {
        group.members.push_back(report->id);
        const Host& host = hosts_[report->id];
        const Duration joins = host.warm == model.name ? std::chrono::milliseconds(200)
                               : staged(*report, model.name) ? model.warm_join
                                                             : model.load;
        longest = std::max(longest, joins);
    }
    const auto slower = static_cast<int>(hosts_known_ / std::max(1u, engine_.loads_at_once) + 1);
    group.expected = now + (longest == model.load ? longest * slower : longest) + bounds_.beat;
    for (const EndpointReport* report : hosts) {
        if (!staged(*report, model.name))
            loads_.begun(now);
        order(OrderKind::Join, *report, &group);
    }
    note(group.warm_up ? "warming" : "formed", group.name, group.members.front(), why);
}

// ---- spares

std::string GroupPlanner::model_to_stage(const EndpointReport& report, Time now) const {
    std::string best;
    double best_score = 0;
    for (const ModelShape& model : engine_.models) {
        std::size_t spares = 0;
        for (const auto& [id, item] : registry_->items()) {
            if (item.report.domain != report.domain || id == report.id)
                continue;
            const auto host = hosts_.find(id);
            const bool staging = host != hosts_.end() && now < host->second.staging_until &&
                                 host->second.staging == model.name;
            spares += staging || (is_free(item.report, now) && staged(item.report, model.name)) ? 1
                                                                                                : 0;
        }
        const std::size_t here = live_groups(model.name, report.domain) * model.size;
        const bool wanted = live_groups(model.name) < target(model, now);
        double score = static_cast<double>(here) / static_cast<double>(1 + 2 * spares);
        if (wanted && (spares + 1) % model.size == 0)
            score += 2.0 * model.size;
        else if (wanted)
            score += static_cast<double>(spares + 1) / model.size;
        // A model that lacks groups everywhere goes before a local spare of one that has enough.
        const double live = std::max(0.5, static_cast<double>(live_groups(model.name)));
        score *= static_cast<double>(target(model, now)) / live;
        if (best.empty() || score > best_score) {
            best = model.name;
            best_score = score;
        }
    }
    return best;
}

void GroupPlanner::stage_spares(Time now) {
    if (ever_open_.empty() && now - hosts_changed_ < SettleTime)
        return;
    for (const auto& [id, item] : registry_->items()) {
        const EndpointReport& report = item.report;
        if (!is_free(report, now) || !report.staged.empty())
            continue;
        if (traffic_ && !loads_.allows(now))
            return;
        const auto given = assignment_.find(id);
        const std::string model =
            given != assignment_.end() ? given->second : model_to_stage(report, now);
        if (model.empty())
            return;
        Host& host = hosts_[id];
        host.staging = model;
        host.staging_until = now + 2 * shape(model)->load + FormingSlack;
        loads_.begun(now);
        order(OrderKind::Stage, report, nullptr).model = model;
        note("staging", "", id, model);
    }
}

// Joining takes a fifth of a second for a host that was in a group of the model since its start,
// and over a second for one that has the weights on its disk only.
void GroupPlanner::warm_spares(Time now) {
    for (const auto& [id, item] : registry_->items()) {
        const EndpointReport& report = item.report;
        if (report.staged.empty() || !is_free(report, now))
            continue;
        const ModelShape* model = shape(report.staged.back());
        const bool forming = std::any_of(groups_.begin(), groups_.end(), [&](const auto& pair) {
            const Group& group = pair.second;
            return group.warm_up && group.phase == Phase::Forming &&
                   group.members.front() == id;
        });
        if (model == nullptr || model->size == 1 || forming || hosts_[id].warm == model->name)
            continue;
        form(*model, {&report}, "spare", now);
    }
}

} // namespace liftweir
