// One placement planning run, step by step: observed silence, drains, repairs, version changes and
// missing groups.

#include "process/placement.h"

#include "process/placementpass.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

// A group that was open and closes without a silent member suffers from a network partition that
// only its lead detects. Short partitions end without a repair.
constexpr Duration StuckTimeout = std::chrono::seconds(10);
// A group is dissolved if its load takes this many times the estimate, plus the grace period.
constexpr double LoadTimeoutFactor = 4;
constexpr Duration LoadGrace = std::chrono::seconds(30);
// The group of a leaving host is drained once its replacement serves, or after this timeout.
constexpr Duration ReplacementTimeout = std::chrono::seconds(10);
// Share of the silence timeout after which a host is suspected. Decisions on its domain wait until
// it reports or is silent, so that the outage of a whole domain is handled once and not host by
// host.
constexpr double SuspicionShare = 0.6;

} // namespace

PlacementSettings placement_settings(const SiteSettings& settings) {
    using std::chrono::milliseconds;
    PlacementSettings out;
    const std::string policy = settings.text("placement/policy");
    out.policy = policy == "rebuild" ? PlacementPolicy::Rebuild
                 : policy == "wait"  ? PlacementPolicy::Wait
                                     : PlacementPolicy::Priced;
    out.downtime_weight = settings.number("placement/group_downtime_weight");
    out.stranded_weight = settings.number("placement/stranded_weight");
    out.silent_after = milliseconds(settings.integer("placement/silent_after_ms"));
    out.outage.mean_return = milliseconds(settings.integer("placement/expected_return_ms"));
    out.outage.loss_share = settings.number("placement/loss_share");
    out.outage.loss_horizon = milliseconds(settings.integer("placement/loss_horizon_ms"));
    out.store_mb_per_second = settings.number("weight_store/mb_per_second");
    out.loads_at_once = static_cast<std::size_t>(settings.integer("placement/loads_at_once"));
    out.drain_timeout = milliseconds(settings.integer("placement/drain_timeout_ms"));
    for (const std::string& name : settings.names_under("models")) {
        const std::string prefix = "models/" + name + "/";
        WantedModel model;
        model.spec = {name, settings.text(prefix + "version"), settings.texts(prefix + "adapters")};
        model.replicas = static_cast<std::size_t>(settings.integer(prefix + "replicas"));
        model.hosts_per_group =
            static_cast<std::size_t>(settings.integer(prefix + "hosts_per_group"));
        model.weight_mb = settings.number(prefix + "weight_mb");
        out.models.push_back(std::move(model));
    }
    return out;
}

std::string_view name_of(Repair repair) {
    switch (repair) {
    case Repair::Wait:
        return "wait";
    case Repair::Replace:
        return "replace";
    case Repair::Move:
        return "move";
    case Repair::Merge:
        return "merge";
    case Repair::Leave:
        return "leave";
    }
    return "unknown";
}

void PlacementPlanner::reset(Time now) {
    hosts_.clear();
    groups_.clear();
    decisions_.clear();
    reserved_.clear();
    started_ = accounted_ = now;
}

void PlacementPlanner::add_event(EventKind kind, const std::string& host, Epoch group,
                                 std::string detail) {
    Event event;
    event.kind = kind;
    event.host = host;
    event.group = group;
    event.detail = std::move(detail);
    events_.push_back(std::move(event));
}

std::vector<Event> PlacementPlanner::take_events() {
    return std::exchange(events_, {});
}

void PlacementPlanner::observe(const AgentStatus& status, Time now) {
    HostView& view = hosts_[status.host];
    if (view.status.incarnation != status.incarnation)
        view.resident.reset();
    if (status.endpoint_gone && !view.status.endpoint_gone) {
        view.gone_since = now;
        view.resident.reset();
        outages_.failed(status.host, now);
    }
    view.status = status;
    view.last_status = now;
}

bool PlacementPlanner::silent(const Host& host, const PlacementSettings& settings, Time now) const {
    const auto view = hosts_.find(host.spec.name);
    const Time last_status =
        view == hosts_.end() ? started_ : std::max(started_, view->second.last_status);
    return now - last_status > settings.silent_after;
}

bool PlacementPlanner::serving(Epoch epoch) const {
    const auto view = groups_.find(epoch);
    return view != groups_.end() && view->second.open;
}

bool PlacementPlanner::usable(const Pass& pass, const Host& host) const {
    const auto view = hosts_.find(host.spec.name);
    if (view == hosts_.end() || view->second.status.incarnation != host.incarnation)
        return false;
    return host.spec.role == HostRole::Engine && host.mode == HostMode::Active &&
           !view->second.status.leaving && !view->second.status.endpoint_gone &&
           !silent(host, pass.settings(host.spec.site), pass.now);
}

// The host's agent reports, but will never be a member of the group again: the process of its
// endpoint has ended, or the agent has raised its fence and so refuses the group's epoch.
bool PlacementPlanner::has_left(const Group& group, const Host& host) const {
    const auto view = hosts_.find(host.spec.name);
    if (view == hosts_.end() || view->second.status.incarnation != host.incarnation)
        return false;
    const AgentStatus& status = view->second.status;
    return status.endpoint_gone || (status.held == NoEpoch && status.fence >= group.epoch);
}

std::vector<HostName> PlacementPlanner::missing_members(const Pass& pass,
                                                        const Group& group) const {
    std::vector<HostName> missing;
    for (const Member& member : group.members) {
        const Host& host = pass.state.hosts().at(member.host);
        if (host.bound != group.epoch || has_left(group, host) ||
            silent(host, pass.settings(group.site), pass.now))
            missing.push_back(member.host);
    }
    return missing;
}

std::vector<Command> PlacementPlanner::plan(const State& state,
                                            const std::map<std::string, PlacementSettings>& by_site,
                                            Time now) {
    Pass pass{state, by_site, now};
    update_views(pass);
    account_losses(pass);
    acknowledge_releases(pass);
    finish_drains(pass);
    repair_broken(pass);
    dissolve_stuck(pass);
    drain_leaving(pass);
    roll_out_versions(pass);
    meet_targets(pass);
    return std::move(pass.out);
}

// Updates the views to the state, and records hosts that became silent or returned.
void PlacementPlanner::update_views(Pass& pass) {
    std::erase_if(groups_, [&](const auto& g) { return !pass.state.groups().contains(g.first); });
    std::erase_if(decisions_,
                  [&](const auto& d) { return !pass.state.groups().contains(d.first); });
    for (const auto& [epoch, group] : pass.state.groups()) {
        GroupView& view = groups_[epoch];
        if (view.not_open_since == Time{})
            view.not_open_since = pass.now;
        const auto lead = hosts_.find(group.lead().host);
        const bool fresh = lead != hosts_.end() &&
                           !silent(pass.state.hosts().at(group.lead().host),
                                   pass.settings(group.site), pass.now) &&
                           lead->second.status.held == epoch;
        view.open = fresh && lead->second.status.gate_open;
        if (view.open && !view.ever_open)
            for (const Member& member : group.members)
                hosts_[member.host].resident = group.model;
        view.ever_open |= view.open;
        if (group.phase != GroupPhase::Active && view.draining_since == Time{})
            view.draining_since = pass.now;
    }
    std::map<std::string, std::size_t> newly_silent;
    for (const auto& [name, host] : pass.state.hosts()) {
        if (host.spec.role != HostRole::Engine || host.mode == HostMode::Forgotten)
            continue;
        HostView& view = hosts_[name];
        const bool is_silent = silent(host, pass.settings(host.spec.site), pass.now);
        if (is_silent && !view.was_silent) {
            view.silent_since = std::max(view.last_status, started_);
            outages_.failed(name, pass.now);
            ++newly_silent[host.spec.domain];
            add_event(EventKind::HostSilent, name, host.bound, {});
        } else if (!is_silent && view.was_silent) {
            outages_.returned(pass.now - view.silent_since);
            add_event(EventKind::HostReturned, name, host.bound, {});
        }
        view.was_silent = is_silent;
    }
    for (const auto& [domain, count] : newly_silent)
        if (count > 1)
            add_event(EventKind::DomainDark, domain, NoEpoch,
                      std::to_string(count) + " hosts silent");
}

void PlacementPlanner::account_losses(const Pass& pass) {
    const double dt = std::chrono::duration<double>(pass.now - accounted_).count();
    accounted_ = pass.now;
    for (const auto& [site, settings] : pass.by_site)
        for (const WantedModel& model : settings.models) {
            const auto open = pass.count_groups(site, model.spec.model,
                                                [&](const Group& g) { return serving(g.epoch); });
            if (open < model.replicas)
                downtime_seconds_ += dt * static_cast<double>(model.replicas - open);
        }
    for (const auto& [name, host] : pass.state.hosts())
        if (host.spec.role == HostRole::Engine && host.mode != HostMode::Forgotten &&
            !silent(host, pass.settings(host.spec.site), pass.now) &&
            (host.bound == NoEpoch || !serving(host.bound)))
            stranded_seconds_ += dt * host.spec.accelerators;
}

// A host is free again only when its agent, in the current incarnation, reports that it holds no
// group and refuses all epochs up to the old one.
void PlacementPlanner::acknowledge_releases(Pass& pass) {
    for (const auto& [name, host] : pass.state.hosts()) {
        const auto view = hosts_.find(name);
        if (host.bound == NoEpoch || view == hosts_.end())
            continue;
        const auto group = pass.state.groups().find(host.bound);
        const bool releasing =
            group == pass.state.groups().end() || group->second.phase == GroupPhase::Releasing;
        const AgentStatus& status = view->second.status;
        if (releasing && status.incarnation == host.incarnation && status.held == NoEpoch &&
            status.phase == AgentPhase::Idle && status.fence >= host.bound)
            pass.out.push_back(ReleaseHost{name, host.incarnation, host.bound});
    }
}

void PlacementPlanner::finish_drains(Pass& pass) {
    for (const auto& [epoch, group] : pass.state.groups()) {
        if (group.phase != GroupPhase::Draining)
            continue;
        const auto lead = hosts_.find(group.lead().host);
        const bool idle = lead != hosts_.end() && lead->second.status.held == epoch &&
                          lead->second.status.phase == AgentPhase::Draining &&
                          lead->second.status.in_flight == 0;
        const bool broken = !missing_members(pass, group).empty();
        const bool timed_out =
            pass.now - groups_[epoch].draining_since > pass.settings(group.site).drain_timeout;
        if (timed_out && !idle && !broken)
            add_event(EventKind::GroupDissolved, "", epoch, "drain deadline cuts work in flight");
        if (idle || broken || timed_out)
            pass.out.push_back(DissolveGroup{epoch, "drained"});
    }
}

void PlacementPlanner::repair_broken(Pass& pass) {
    for (const auto& [epoch, group] : pass.state.groups()) {
        if (group.phase != GroupPhase::Active || pass.used_groups.contains(epoch))
            continue;
        const auto missing = missing_members(pass, group);
        if (!missing.empty() && !pass.domain_suspected(*this, group.domain))
            repair(pass, group, missing);
        else if (missing.empty())
            decisions_.erase(epoch);
    }
}

bool PlacementPlanner::Pass::domain_suspected(const PlacementPlanner& planner,
                                              const std::string& domain) const {
    for (const auto& [name, host] : state.hosts()) {
        if (host.spec.domain != domain || host.spec.role != HostRole::Engine ||
            host.mode == HostMode::Forgotten)
            continue;
        PlacementSettings suspect_settings = settings(host.spec.site);
        if (planner.silent(host, suspect_settings, now))
            continue;
        suspect_settings.silent_after = Duration(static_cast<Duration::rep>(
            SuspicionShare * static_cast<double>(suspect_settings.silent_after.count())));
        if (planner.silent(host, suspect_settings, now))
            return true;
    }
    return false;
}

void PlacementPlanner::repair(Pass& pass, const Group& group,
                              const std::vector<HostName>& missing) {
    RepairDecision decision = price(pass, group, missing);
    const RepairChoice best = decision.choices.front();
    const auto known = decisions_.find(group.epoch);
    const bool changed =
        known == decisions_.end() || known->second.choices.front().repair != best.repair;
    decisions_[group.epoch] = decision;
    if (changed)
        add_event(EventKind::RepairChosen, missing.front(), group.epoch,
                  std::string(name_of(best.repair)) + " at price " + std::to_string(best.price));
    if (best.repair == Repair::Wait)
        return;
    pass.used_groups.insert(group.epoch);
    pass.out.push_back(DissolveGroup{group.epoch, std::string(name_of(best.repair)) + ": " +
                                                      missing.front() + " is missing"});
    if (best.other != NoEpoch) {
        pass.used_groups.insert(best.other);
        pass.out.push_back(DissolveGroup{best.other, "merged"});
    }
    if (!best.members.empty()) {
        reserved_[group.epoch] = best.members;
        pass.used_hosts.insert(best.members.begin(), best.members.end());
    }
}

// Dissolves groups whose load takes far too long, and groups that stay closed because of a
// partition that only the lead detects.
void PlacementPlanner::dissolve_stuck(Pass& pass) {
    for (const auto& [epoch, group] : pass.state.groups()) {
        GroupView& view = groups_[epoch];
        if (view.open)
            view.not_open_since = pass.now;
        if (group.phase != GroupPhase::Active || view.open || pass.used_groups.contains(epoch) ||
            !missing_members(pass, group).empty())
            continue;
        const PlacementSettings& settings = pass.settings(group.site);
        const WantedModel* wanted = pass.wanted(group.site, group.model.model);
        const double mb = wanted == nullptr ? 0 : wanted->weight_mb;
        const auto load = std::chrono::duration<double>(
            LoadTimeoutFactor * mb *
            static_cast<double>(group.members.size() * settings.loads_at_once) /
            settings.store_mb_per_second);
        const Duration limit =
            view.ever_open ? StuckTimeout : LoadGrace + std::chrono::duration_cast<Duration>(load);
        if (pass.now - view.not_open_since < limit || settings.policy == PlacementPolicy::Wait)
            continue;
        const auto lead = hosts_.find(group.lead().host);
        if (lead != hosts_.end())
            for (const HostName& name : lead->second.status.missing)
                outages_.failed(name, pass.now);
        pass.used_groups.insert(epoch);
        pass.out.push_back(DissolveGroup{epoch, "not open for too long"});
    }
}

// Make before break: if enough hosts are free, the replacement of a group with a leaving host is
// formed before the group is drained.
void PlacementPlanner::drain_leaving(Pass& pass) {
    for (const auto& [epoch, group] : pass.state.groups()) {
        if (group.phase != GroupPhase::Active || pass.used_groups.contains(epoch))
            continue;
        const auto leaves = [&](const Member& member) {
            const auto view = hosts_.find(member.host);
            return pass.state.hosts().at(member.host).mode == HostMode::Draining ||
                   (view != hosts_.end() && view->second.status.leaving);
        };
        if (std::none_of(group.members.begin(), group.members.end(), leaves))
            continue;
        GroupView& view = groups_[epoch];
        if (view.draining_since == Time{})
            view.draining_since = pass.now;
        const WantedModel* wanted = pass.wanted(group.site, group.model.model);
        const auto active = pass.count_groups(group.site, group.model.model);
        const Epoch own = epoch;
        const auto open = pass.count_groups(group.site, group.model.model, [&](const Group& g) {
            return g.epoch != own && serving(g.epoch);
        });
        const bool replaced = wanted == nullptr || open >= wanted->replicas;
        const bool waited = pass.now - view.draining_since > ReplacementTimeout;
        if (!replaced && !waited && serving(epoch)) {
            if (active > wanted->replicas)
                continue; // the replacement is loading
            const auto hosts = pick_domain(pass, *wanted, "");
            if (hosts && form(pass, *wanted, *hosts, "replaces a leaving group"))
                continue;
        }
        pass.used_groups.insert(epoch);
        pass.out.push_back(DrainGroup{epoch, "a member is leaving"});
    }
}

// Replaces one group of an old version at a time, and only while all groups of the model serve.
void PlacementPlanner::roll_out_versions(Pass& pass) {
    for (const auto& [site, settings] : pass.by_site)
        for (const WantedModel& wanted : settings.models) {
            const Group* old = nullptr;
            bool all_serve = true;
            for (const auto& [epoch, group] : pass.state.groups()) {
                if (group.site != site || group.model.model != wanted.spec.model)
                    continue;
                const bool other = group.model != wanted.spec;
                all_serve = all_serve && group.phase == GroupPhase::Active && serving(epoch) &&
                            !pass.used_groups.contains(epoch);
                if (other && group.phase == GroupPhase::Active && old == nullptr)
                    old = &group;
            }
            if (old == nullptr || !all_serve)
                continue;
            const auto active = pass.count_groups(site, wanted.spec.model);
            if (active <= wanted.replicas && wanted.replicas > 0) {
                const auto hosts = pick_domain(pass, wanted, "");
                if (hosts && form(pass, wanted, *hosts, "new version before the old one stops"))
                    continue;
            }
            pass.used_groups.insert(old->epoch);
            pass.out.push_back(DrainGroup{old->epoch, "new version"});
        }
}

void PlacementPlanner::meet_targets(Pass& pass) {
    for (auto it = reserved_.begin(); it != reserved_.end();) {
        const auto old = pass.state.groups().find(it->first);
        const auto& hosts = it->second;
        const bool lost = std::any_of(hosts.begin(), hosts.end(), [&](const HostName& name) {
            return !usable(pass, pass.state.hosts().at(name));
        });
        const bool free = std::all_of(hosts.begin(), hosts.end(), [&](const HostName& name) {
            return pass.state.hosts().at(name).bound == NoEpoch;
        });
        if (lost || free ||
            (old != pass.state.groups().end() && old->second.phase == GroupPhase::Active &&
             !pass.used_groups.contains(it->first))) {
            it = reserved_.erase(it);
            continue;
        }
        pass.used_hosts.insert(hosts.begin(), hosts.end());
        ++it;
    }
    for (const auto& [site, settings] : pass.by_site)
        for (const WantedModel& wanted : settings.models) {
            auto active = pass.count_groups(site, wanted.spec.model);
            for (; active < wanted.replicas; ++active) {
                const auto hosts = pick_domain(pass, wanted, "");
                if (!hosts || !form(pass, wanted, *hosts, "wanted by settings"))
                    break;
            }
            if (active > wanted.replicas)
                pass.drop_surplus(*this, site, wanted, active - wanted.replicas);
        }
}

// Groups are surplus only if more groups of the wanted version serve than are wanted. Otherwise the
// additional groups are replacements that are still loading.
void PlacementPlanner::Pass::drop_surplus(const PlacementPlanner& planner, const std::string& site,
                                          const WantedModel& wanted, std::size_t surplus) {
    const auto open = count_groups(site, wanted.spec.model, [&](const Group& g) {
        return planner.serving(g.epoch) && g.model == wanted.spec;
    });
    if (open <= wanted.replicas && wanted.replicas > 0)
        return;
    for (auto it = state.groups().rbegin(); it != state.groups().rend() && surplus > 0; ++it) {
        const Group& group = it->second;
        if (group.site != site || group.model.model != wanted.spec.model ||
            group.phase != GroupPhase::Active || used_groups.contains(group.epoch))
            continue;
        used_groups.insert(group.epoch);
        out.push_back(DrainGroup{group.epoch, "more groups than wanted"});
        --surplus;
    }
}

bool PlacementPlanner::form(Pass& pass, const WantedModel& wanted,
                            const std::vector<HostName>& hosts, const std::string& reason) {
    const std::string& site = pass.state.hosts().at(hosts.front()).spec.site;
    std::size_t loading = pass.formed[site];
    for (const auto& [epoch, group] : pass.state.groups())
        if (group.site == site && group.phase == GroupPhase::Active && !groups_[epoch].ever_open &&
            missing_members(pass, group).empty())
            ++loading;
    if (loading >= pass.settings(site).loads_at_once)
        return false;
    FormGroup command;
    command.model = wanted.spec;
    command.reason = reason;
    for (const HostName& name : hosts) {
        command.members.push_back({name, pass.state.hosts().at(name).incarnation});
        pass.used_hosts.insert(name);
    }
    ++pass.formed[site];
    pass.out.push_back(std::move(command));
    return true;
}

} // namespace liftweir
