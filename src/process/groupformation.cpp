// How GroupPlanner forms groups and prepares spare hosts: the first layout, new groups, staging of
// weights and warm-up.

#include "process/groupplanner.h"

#include <algorithm>
#include <limits>

namespace liftweir {

namespace {

// Time to join a group for a host that was in another group of the model since its start.
constexpr Duration WarmJoinTime = std::chrono::milliseconds(200);
// Loads complete a group if at most size / MaxMissingDivisor of its hosts are missing: with fewer
// hosts waiting a load is not worthwhile, since other hosts may come or go meanwhile.
constexpr std::size_t MaxMissingDivisor = 2;
// A model without live groups counts as having this many when models are compared.
constexpr double MinLiveGroups = 0.5;

} // namespace

// ---- formation

void GroupPlanner::form_groups(Time now) {
    if (models_opened_.empty() && now - hosts_changed_ < SettleTime)
        return;
    if (models_opened_.empty() && !traffic_started_ && assignment_.empty())
        assignment_ = config_.spread_models ? assign_models_spread(cold_hosts(now), engine_.models)
                                            : assign_models(cold_hosts(now), engine_.models);
    std::set<std::string> unformable;
    while (const ModelShape* model = least_supplied(unformable))
        if (!form_one(*shape(model->name), now))
            unformable.insert(model->name);
}

// The model with the lowest ratio of live groups to its target. Of two models with equal ratios the
// one with larger groups goes first.
const ModelShape* GroupPlanner::least_supplied(const std::set<std::string>& unformable) const {
    const ModelShape* found = nullptr;
    double lowest = std::numeric_limits<double>::max();
    for (const ModelShape& model : engine_.models) {
        if (unformable.contains(model.name))
            continue;
        const double have =
            static_cast<double>(live_groups(model.name)) / static_cast<double>(target(model));
        if (have < lowest || (found != nullptr && have == lowest && model.size > found->size)) {
            lowest = have;
            found = &model;
        }
    }
    return found;
}

std::vector<ColdHost> GroupPlanner::cold_hosts(Time now) const {
    std::vector<ColdHost> hosts;
    for (const auto& [domain, free] : free_by_domain(now))
        for (const EndpointReport* report : free)
            if (report->staged.empty())
                hosts.push_back({report->id, domain});
    return hosts;
}

bool GroupPlanner::assigned(const EndpointReport& report, const std::string& model) const {
    const auto found = assignment_.find(report.id);
    return report.staged.empty() && found != assignment_.end() && found->second == model;
}

// Forms every group that fits into a domain: a spare host serves no requests, and the survivors of
// the first lost member in a domain are enough spares for the next losses.
bool GroupPlanner::form_one(const ModelShape& model, Time now) {
    const std::string& name = model.name;
    const bool first_of_model = !models_opened_.contains(name);
    Hosts hosts = best_domain(model, now);
    if (hosts.empty())
        hosts = across_domains(model, now);
    if (hosts.empty())
        return false;
    std::stable_sort(hosts.begin(), hosts.end(), [&](const auto* a, const auto* b) {
        const auto rank = [&](const EndpointReport* r) {
            return staged(*r, name) ? (hosts_.at(r->id).warm == name ? 0 : 1) : 2;
        };
        return rank(a) < rank(b);
    });
    hosts.resize(std::min<std::size_t>(hosts.size(), model.size));
    form(model, hosts, first_of_model ? "first group of the model" : "fewer groups than its share",
         now);
    return true;
}

const std::map<std::string, GroupPlanner::Hosts>&
GroupPlanner::eligible_by_domain(const ModelShape& model, Time now) const {
    const auto known = eligible_.find(model.name);
    if (known != eligible_.end())
        return known->second;
    std::map<std::string, Hosts>& eligible = eligible_[model.name];
    const bool first_of_model = !models_opened_.contains(model.name);
    for (const auto& [domain, hosts] : free_by_domain(now))
        for (const EndpointReport* report : hosts)
            if (!is_moved_to_other(*report, model.name) &&
                (staged(*report, model.name) ||
                 (first_of_model && !traffic_started_ && assigned(*report, model.name))))
                eligible[domain].push_back(report);
    return eligible;
}

// The eligible hosts of the domain with the fewest groups of the model. Of several such domains the
// one with the most eligible hosts is taken. Empty if no domain has enough hosts.
GroupPlanner::Hosts GroupPlanner::best_domain(const ModelShape& model, Time now) const {
    const Hosts* best = nullptr;
    std::size_t best_groups = 0;
    for (const auto& [domain, eligible] : eligible_by_domain(model, now)) {
        if (eligible.size() < model.size)
            continue;
        const std::size_t groups = live_groups(model.name, domain);
        const bool better = best == nullptr || groups < best_groups ||
                            (groups == best_groups && eligible.size() > best->size());
        if (!better)
            continue;
        best_groups = groups;
        best = &eligible;
    }
    return best == nullptr ? Hosts{} : *best;
}

// A group across domains is several times slower than one within a domain, so it is formed only if
// no group of the model is live: beside live groups it would take the spares that repair them.
// Hosts in domains without a group of the model go first, since they are of no use as spares there.
//
// While a group across domains closes to be replaced by one within a domain, no other group across
// domains is formed. Otherwise the remaining hosts would form one that closes in turn once the
// hosts of the first one are free; in a simulation no group of the model served for six seconds. A
// group that closes for another reason is not waited for, since that takes up to ten seconds.
GroupPlanner::Hosts GroupPlanner::across_domains(const ModelShape& model, Time now) const {
    Hosts hosts;
    if (live_groups(model.name) > 0 || is_consolidating(model.name))
        return hosts;
    for (const auto& [domain, free] : free_by_domain(now))
        for (const EndpointReport* report : free)
            if (staged(*report, model.name) && !is_moved_to_other(*report, model.name))
                hosts.push_back(report);
    if (hosts.size() < model.size)
        return {};
    std::stable_sort(hosts.begin(), hosts.end(), [&](const auto* a, const auto* b) {
        return live_groups(model.name, a->domain) < live_groups(model.name, b->domain);
    });
    hosts.resize(model.size);
    return hosts;
}

Duration GroupPlanner::join_time(const EndpointReport& report, const ModelShape& model) const {
    const auto host = hosts_.find(report.id);
    if (host != hosts_.end() && host->second.warm == model.name)
        return WarmJoinTime;
    return staged(report, model.name) ? model.warm_join : model.load;
}

GroupKind GroupPlanner::kind_of(const Hosts& hosts, const ModelShape& model) {
    if (hosts.size() == 1 && model.size != 1)
        return GroupKind::WarmUp;
    const bool one_domain = std::all_of(hosts.begin(), hosts.end(), [&](const auto* host) {
        return host->domain == hosts.front()->domain;
    });
    return one_domain ? GroupKind::Regular : GroupKind::AcrossDomains;
}

void GroupPlanner::form(const ModelShape& model, const Hosts& hosts, const std::string& why,
                        Time now) {
    const Epoch epoch = next_number();
    Group& group = groups_[epoch];
    group.epoch = epoch;
    const GroupKind kind = kind_of(hosts, model);
    group.warm_up = kind == GroupKind::WarmUp;
    group.name = group_name(model.name, epoch, kind);
    group.model = model.name;
    group.since = now;
    group.formed_here = true;
    group.may_have_opened = false;
    if (live_ && !group.warm_up) {
        LiveGroups& counts = (*live_)[model.name];
        ++counts.all;
        ++counts.by_domain[hosts.front()->domain];
    }
    Duration longest{};
    for (const EndpointReport* report : hosts) {
        group.members.push_back(report->id);
        record_membership(report->id, epoch);
        longest = std::max(longest, join_time(*report, model));
    }
    const auto slowdown = static_cast<int>(known_hosts_ / std::max(1u, engine_.loads_at_once) + 1);
    group.expected_ready =
        now + (longest == model.load ? longest * slowdown : longest) + config_.heartbeat_interval;
    for (const EndpointReport* report : hosts) {
        if (!staged(*report, model.name))
            loads_.record_start(now);
        remove_from_free(*report);
    }
    add_event(group.warm_up ? "warming" : "formed", group.name, group.members.front(), why);
    if (group.warm_up) {
        join_members(group, now);
        return;
    }
    group.phase = Phase::Proposed;
    changes_.formed[epoch] = {group.name, group.members};
}

// A single warm-up host is never ordered to open, so its group needs no record in the log.
void GroupPlanner::join_members(Group& group, Time now) {
    for (const EndpointId& id : group.members) {
        const EndpointReport* report = report_of(id);
        if (report != nullptr && report->phase == EndpointPhase::Serving && alive(id, now))
            continue;
        dissolve(group, "member " + text_of(id) + " was lost before its join was ordered", now);
        return;
    }
    group.phase = Phase::Forming;
    for (const EndpointId& id : group.members)
        order(OrderKind::Join, *report_of(id), &group);
}

// ---- spares

std::string GroupPlanner::model_to_stage(const EndpointReport& report, Time now) const {
    std::string best;
    double best_score = 0;
    for (const ModelShape& model : engine_.models) {
        const double score = staging_score(report, model, now);
        if (best.empty() || score > best_score) {
            best = model.name;
            best_score = score;
        }
    }
    return best;
}

// Other hosts of the same domain that are spares of the model, or will be once they have staged it.
std::size_t GroupPlanner::other_spares(const EndpointReport& report, const std::string& model,
                                       Time now) const {
    std::size_t spares = 0;
    for (const EndpointReport* other : hosts_in_domain(report.domain))
        spares += other->id != report.id && is_staging(other->id, model, now) ? 1 : 0;
    const auto free = free_by_domain(now).find(report.domain);
    if (free != free_by_domain(now).end())
        for (const EndpointReport* other : free->second)
            spares += other->id != report.id && staged(*other, model) ? 1 : 0;
    return spares;
}

double GroupPlanner::staging_score(const EndpointReport& report, const ModelShape& model,
                                   Time now) const {
    const std::size_t spares = other_spares(report, model.name, now);
    const std::size_t here = live_groups(model.name, report.domain) * model.size;
    const bool wanted = live_groups(model.name) < target(model);
    double score = static_cast<double>(here) / static_cast<double>(1 + 2 * spares);
    if (wanted && (spares + 1) % model.size == 0)
        score += 2.0 * model.size;
    else if (wanted)
        score += static_cast<double>(spares + 1) / model.size;
    // A model that lacks groups takes precedence over a local spare for a model that has enough.
    const double live = std::max(MinLiveGroups, static_cast<double>(live_groups(model.name)));
    return score * (static_cast<double>(target(model)) / live);
}

void GroupPlanner::stage_spares(Time now) {
    if (models_opened_.empty() && now - hosts_changed_ < SettleTime)
        return;
    for (const EndpointReport* report : free_hosts(now)) {
        if (!report->staged.empty())
            continue;
        if (traffic_started_ && !loads_.allows(now))
            return;
        const auto assignment = assignment_.find(report->id);
        const std::string model =
            assignment != assignment_.end() ? assignment->second : model_to_stage(*report, now);
        if (model.empty())
            return;
        stage(*report, *shape(model), model, now);
    }
}

void GroupPlanner::stage(const EndpointReport& report, const ModelShape& model,
                         const std::string& why, Time now) {
    Host& host = hosts_[report.id];
    host.staging = model.name;
    host.staging_until = now + 2 * model.load + FormingSlack;
    loads_.record_start(now);
    order(OrderKind::Stage, report, nullptr).model = model.name;
    add_event("staging", "", report.id, why);
}

bool GroupPlanner::is_staging(const EndpointId& id, const std::string& model, Time now) const {
    const auto host = hosts_.find(id);
    return host != hosts_.end() && now < host->second.staging_until &&
           host->second.staging == model && alive(id, now);
}

// Free hosts that are too few for a group of their model are stranded until another host joins
// them. If a few hosts are missing, and enough hosts of the domain are stranded with another model,
// those load the weights: a load takes seconds, while a new host may take much longer to register.
void GroupPlanner::restage_stranded(Time now) {
    if (!traffic_started_)
        return;
    std::vector<const ModelShape*> scarce;
    for (const ModelShape& model : engine_.models)
        if (supply_ratio(model) < 1)
            scarce.push_back(&model);
    std::stable_sort(scarce.begin(), scarce.end(), [&](const ModelShape* a, const ModelShape* b) {
        return supply_ratio(*a) < supply_ratio(*b);
    });
    const std::map<std::string, Hosts> free_at_first = free_by_domain(now);
    for (const auto& [domain, free] : free_at_first) {
        // Loads in progress finish first. Otherwise models would take hosts from each other.
        if (is_restaging(domain, now))
            continue;
        for (const ModelShape* model : scarce)
            if (restage(*model, free, now))
                break;
    }
}

// Ratio of the model's live groups to its target.
double GroupPlanner::supply_ratio(const ModelShape& model) const {
    return static_cast<double>(live_groups(model.name)) / static_cast<double>(target(model));
}

bool GroupPlanner::is_restaging(const std::string& domain, Time now) const {
    const Hosts& hosts = hosts_in_domain(domain);
    return std::any_of(hosts.begin(), hosts.end(), [&](const EndpointReport* report) {
        const auto host = hosts_.find(report->id);
        return !report->staged.empty() && host != hosts_.end() &&
               now < host->second.staging_until && alive(report->id, now);
    });
}

bool GroupPlanner::restage(const ModelShape& model, const Hosts& free, Time now) {
    std::size_t ready = 0;
    std::map<std::string, Hosts> others;
    for (const EndpointReport* report : free) {
        if (moved_.contains(report->id))
            continue;
        if (staged(*report, model.name))
            ++ready;
        else if (!report->staged.empty())
            others[report->staged.back()].push_back(report);
    }
    // Hosts that load the model are not free meanwhile.
    for (const EndpointReport* report : hosts_in_domain(free.front()->domain))
        ready += is_staging(report->id, model.name, now) ? 1 : 0;
    if (ready == 0 || ready >= model.size)
        return false;
    std::size_t missing = model.size - ready;
    if (missing > model.size / MaxMissingDivisor)
        return false;
    Hosts stranded;
    for (const auto& [other, hosts] : others) {
        const ModelShape* shape_of_other = shape(other);
        if (shape_of_other == nullptr || hosts.size() < shape_of_other->size)
            stranded.insert(stranded.end(), hosts.begin(), hosts.end());
    }
    if (stranded.size() < missing)
        return false;
    for (const EndpointReport* report : stranded) {
        if (missing == 0 || !loads_.allows(now))
            break;
        stage(*report, model, model.name + ", to complete a group of waiting hosts", now);
        --missing;
    }
    return true;
}

// Loads the weights of spare hosts into memory: joining then takes 0.2 s, and over a second for a
// host that has them only on its disk.
void GroupPlanner::warm_spares(Time now) {
    for (const EndpointReport* report : free_hosts(now)) {
        if (report->staged.empty() || is_moved_to_other(*report, report->staged.back()))
            continue;
        const ModelShape* model = shape(report->staged.back());
        const bool forming = is_warming(report->id);
        if (model == nullptr || model->size == 1 || forming ||
            hosts_[report->id].warm == model->name)
            continue;
        form(*model, {report}, "spare", now);
    }
}

bool GroupPlanner::is_warming(const EndpointId& id) const {
    const auto epochs = groups_by_member_.find(id);
    if (epochs == groups_by_member_.end())
        return false;
    return std::any_of(epochs->second.begin(), epochs->second.end(), [&](Epoch epoch) {
        const auto group = groups_.find(epoch);
        return group != groups_.end() && group->second.warm_up &&
               group->second.phase == Phase::Forming && group->second.members.front() == id;
    });
}

} // namespace liftweir
