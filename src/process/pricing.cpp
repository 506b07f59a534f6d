// Prices the ways to repair a broken group. Price = downtime weight x expected seconds without the
// group + stranded weight x expected accelerator seconds without a serving group.

#include "process/placementpass.h"

#include <algorithm>

namespace liftweir {

namespace {

// Factor on the price of waiting, so that a repair has to be clearly cheaper: estimates are rough,
// and the load is wasted if the host returns a second later.
constexpr double WaitPriceFactor = 0.85;
// Time for the members to acknowledge the release and for the gate of the new group to open.
constexpr double RegroupSeconds = 2;
// Expected additional downtime for each recent failure of a chosen host.
constexpr double SecondsPerHazard = 5;

double seconds(Duration d) {
    return std::chrono::duration<double>(d).count();
}

Duration from_seconds(double s) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

} // namespace

bool PlacementPlanner::is_reserved(const HostName& host) const {
    return std::any_of(reserved_.begin(), reserved_.end(), [&](const auto& item) {
        return std::count(item.second.begin(), item.second.end(), host) > 0;
    });
}

// Hosts that may form a group now, ordered by their recent failures. Resident weights offset half a
// failure; ties are ordered by name.
std::vector<HostName> PlacementPlanner::free_hosts(const Pass& pass, const std::string& domain,
                                                   const ModelSpec& spec) const {
    std::vector<HostName> out;
    for (const auto& [name, host] : pass.state.hosts())
        if (host.spec.domain == domain && host.bound == NoEpoch && usable(pass, host) &&
            hosts_.at(name).status.held == NoEpoch && !pass.used_hosts.contains(name) &&
            !is_reserved(name))
            out.push_back(name);
    std::stable_sort(out.begin(), out.end(), [&](const HostName& a, const HostName& b) {
        const auto rank = [&](const HostName& name) {
            const auto& view = hosts_.at(name);
            return outages_.hazard(name, pass.now) - (view.holds(spec) ? 0.5 : 0);
        };
        return rank(a) < rank(b);
    });
    return out;
}

// Chooses the domain with the most hosts that already hold the weights, and of those the one with
// the most free hosts: a group with spares in its domain can be repaired within the domain.
std::optional<std::vector<HostName>>
PlacementPlanner::pick_domain(const Pass& pass, const WantedModel& wanted,
                              const std::string& not_domain) const {
    std::set<std::string> domains;
    for (const auto& [name, host] : pass.state.hosts())
        if (host.spec.role == HostRole::Engine && pass.wanted(host.spec.site, wanted.spec.model))
            domains.insert(host.spec.domain);
    std::optional<std::vector<HostName>> best;
    std::pair<std::ptrdiff_t, std::size_t> best_rank{-1, 0};
    for (const std::string& domain : domains) {
        if (domain == not_domain || pass.domain_suspected(*this, domain))
            continue;
        auto hosts = free_hosts(pass, domain, wanted.spec);
        if (hosts.size() < wanted.hosts_per_group)
            continue;
        const std::size_t free = hosts.size();
        hosts.resize(wanted.hosts_per_group);
        const auto loaded = std::count_if(hosts.begin(), hosts.end(), [&](const HostName& name) {
            return hosts_.at(name).holds(wanted.spec);
        });
        if (std::pair(loaded, free) <= best_rank)
            continue;
        best_rank = {loaded, free};
        best = std::move(hosts);
    }
    return best;
}

// Expected time to load the weights. The weight store is shared, and loads in progress are assumed
// to finish first.
Duration PlacementPlanner::load_time(const Pass& pass, const std::vector<HostName>& hosts,
                                     const WantedModel& wanted) const {
    double mb = 0;
    for (const HostName& name : hosts)
        mb += hosts_.at(name).holds(wanted.spec) ? 0 : wanted.weight_mb;
    for (const auto& [epoch, group] : pass.state.groups()) {
        const auto view = groups_.find(epoch);
        const WantedModel* other = pass.wanted(group.site, group.model.model);
        if (group.phase == GroupPhase::Active && other != nullptr && view != groups_.end() &&
            !view->second.ever_open)
            mb += other->weight_mb * static_cast<double>(group.members.size());
    }
    const double rate =
        pass.settings(pass.state.hosts().at(hosts.front()).spec.site).store_mb_per_second;
    return from_seconds(mb / rate + RegroupSeconds);
}

RepairDecision PlacementPlanner::price(Pass& pass, const Group& group,
                                       const std::vector<HostName>& missing) {
    const PlacementSettings& settings = pass.settings(group.site);
    RepairDecision out;
    out.group = group.epoch;

    Duration remaining{};
    bool never_returns = false;
    for (const HostName& name : missing) {
        const HostView& view = hosts_[name];
        const Host& host = pass.state.hosts().at(name);
        const bool left = has_left(group, host);
        never_returns |= host.bound != group.epoch || left;
        const Time since = left ? view.gone_since : view.silent_since;
        remaining =
            std::max(remaining, outages_.expected_remaining(pass.now - since, settings.outage));
    }
    std::vector<HostName> survivors;
    double idle = 0; // accelerators of the surviving members
    for (const Member& member : group.members)
        if (std::count(missing.begin(), missing.end(), member.host) == 0) {
            survivors.push_back(member.host);
            idle += pass.state.hosts().at(member.host).spec.accelerators;
        }

    const auto price_of = [&](RepairChoice& choice) {
        choice.price = settings.downtime_weight * seconds(choice.downtime) +
                       settings.stranded_weight * choice.stranded_accelerator_seconds;
    };
    const bool wanted = pass.wanted(group.site, group.model.model) != nullptr;
    if (!never_returns)
        out.choices.push_back({Repair::Wait, {}, NoEpoch, remaining, idle * seconds(remaining)});
    if (wanted && settings.policy != PlacementPolicy::Wait) {
        price_replace(pass, group, survivors, remaining, out);
        price_move(pass, group, idle, remaining, out);
        price_merge(pass, group, survivors, remaining, out);
    }
    if (never_returns || settings.policy == PlacementPolicy::Rebuild || !wanted)
        out.choices.push_back({Repair::Leave, {}, NoEpoch, remaining, idle * seconds(remaining)});
    for (RepairChoice& choice : out.choices) {
        price_of(choice);
        if (choice.repair == Repair::Wait)
            choice.price *= WaitPriceFactor;
        if (choice.repair == Repair::Leave)
            choice.price *= 2; // dissolving the group gains nothing by itself
    }
    if (settings.policy == PlacementPolicy::Rebuild)
        std::erase_if(out.choices, [](const RepairChoice& c) { return c.repair == Repair::Wait; });
    std::stable_sort(
        out.choices.begin(), out.choices.end(),
        [](const RepairChoice& a, const RepairChoice& b) { return a.price < b.price; });
    return out;
}

// Prices a group of the survivors and spares of the same domain.
void PlacementPlanner::price_replace(Pass& pass, const Group& group,
                                     const std::vector<HostName>& survivors, Duration remaining,
                                     RepairDecision& out) {
    const WantedModel& wanted = *pass.wanted(group.site, group.model.model);
    const auto spares = free_hosts(pass, group.domain, wanted.spec);
    const std::size_t needed =
        wanted.hosts_per_group - std::min(survivors.size(), wanted.hosts_per_group);
    if (survivors.empty() || spares.size() < needed)
        return;
    RepairChoice choice;
    choice.repair = Repair::Replace;
    choice.members = survivors;
    choice.members.insert(choice.members.end(), spares.begin(),
                          spares.begin() + static_cast<std::ptrdiff_t>(needed));
    double extra = 0;
    double accelerators = 0;
    for (const HostName& name : choice.members) {
        accelerators += pass.state.hosts().at(name).spec.accelerators;
        if (std::count(survivors.begin(), survivors.end(), name) == 0)
            extra += SecondsPerHazard * outages_.hazard(name, pass.now);
    }
    choice.downtime = load_time(pass, choice.members, wanted) + from_seconds(extra);
    // The spares are idle until then whatever is chosen, and waiting keeps them idle for longer.
    const double idle_spares = accelerators - [&] {
        double sum = 0;
        for (const HostName& name : survivors)
            sum += pass.state.hosts().at(name).spec.accelerators;
        return sum;
    }();
    choice.stranded_accelerator_seconds =
        accelerators * seconds(choice.downtime) - idle_spares * seconds(remaining);
    out.choices.push_back(std::move(choice));
}

// Prices a new group in another domain. The survivors stay idle until the missing members return.
void PlacementPlanner::price_move(Pass& pass, const Group& group, double idle, Duration remaining,
                                  RepairDecision& out) {
    const WantedModel& wanted = *pass.wanted(group.site, group.model.model);
    auto hosts = pick_domain(pass, wanted, group.domain);
    if (!hosts)
        return;
    RepairChoice choice;
    choice.repair = Repair::Move;
    double accelerators = 0;
    double extra = 0;
    for (const HostName& name : *hosts) {
        accelerators += pass.state.hosts().at(name).spec.accelerators;
        extra += SecondsPerHazard * outages_.hazard(name, pass.now);
    }
    choice.downtime = load_time(pass, *hosts, wanted) + from_seconds(extra);
    choice.stranded_accelerator_seconds =
        idle * seconds(remaining) + accelerators * (seconds(choice.downtime) - seconds(remaining));
    choice.members = std::move(*hosts);
    out.choices.push_back(std::move(choice));
}

// Prices one group of the survivors of two broken groups of the same domain. The other group then
// waits for more hosts than before.
void PlacementPlanner::price_merge(Pass& pass, const Group& group,
                                   const std::vector<HostName>& survivors, Duration remaining,
                                   RepairDecision& out) {
    const WantedModel& wanted = *pass.wanted(group.site, group.model.model);
    for (const auto& [epoch, other] : pass.state.groups()) {
        if (epoch <= group.epoch || other.domain != group.domain ||
            other.phase != GroupPhase::Active || pass.used_groups.contains(epoch))
            continue;
        const auto other_missing = missing_members(pass, other);
        if (other_missing.empty())
            continue;
        std::vector<HostName> members = survivors;
        for (const Member& member : other.members)
            if (members.size() < wanted.hosts_per_group &&
                std::count(other_missing.begin(), other_missing.end(), member.host) == 0)
                members.push_back(member.host);
        if (survivors.empty() || members.size() < wanted.hosts_per_group)
            continue;
        RepairChoice choice;
        choice.repair = Repair::Merge;
        choice.other = epoch;
        choice.downtime = load_time(pass, members, wanted);
        double accelerators = 0;
        for (const HostName& name : members)
            accelerators += pass.state.hosts().at(name).spec.accelerators;
        // Instead of both groups waiting, one of them serves and the other reloads afterwards.
        const Duration reload = load_time(pass, members, wanted);
        choice.downtime += reload;
        choice.stranded_accelerator_seconds =
            accelerators * seconds(choice.downtime) -
            (accelerators - static_cast<double>(survivors.size()) * accelerators /
                                static_cast<double>(members.size())) *
                seconds(remaining);
        choice.members = std::move(members);
        out.choices.push_back(std::move(choice));
        return;
    }
}

} // namespace liftweir
