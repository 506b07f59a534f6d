// How GroupPlanner puts groups together: the first layout, new groups, staged and warm spares.

#include "process/groupname.h"
#include "process/groupplanner.h"

#include <algorithm>
#include <limits>

namespace liftweir {

namespace {

// A host that was in a group of the model since its start joins another one this fast.
constexpr Duration WarmJoin = std::chrono::milliseconds(200);
// A load pays where at least half of a group waits for it: other hosts may come or go meanwhile.
constexpr std::size_t LeastPartWaiting = 2;
// Groups that a model without any counts as when it is weighed against the others.
constexpr double LeastLiveGroups = 0.5;

} // namespace

// ---- formation

void GroupPlanner::form_groups(Time now) {
    if (ever_open_.empty() && now - hosts_changed_ < SettleTime)
        return;
    if (ever_open_.empty() && !traffic_ && assignment_.empty())
        assignment_ = assign_models(cold_hosts(now), engine_.models);
    std::set<std::string> hopeless;
    while (const ModelShape* model = neediest(hopeless))
        if (!form_one(*shape(model->name), now))
            hopeless.insert(model->name);
}

// The model that has the smallest part of the groups that it should have; a larger model first
// where two have equal parts.
const ModelShape* GroupPlanner::neediest(const std::set<std::string>& hopeless) const {
    const ModelShape* found = nullptr;
    double lowest = std::numeric_limits<double>::max();
    for (const ModelShape& model : engine_.models) {
        if (hopeless.contains(model.name))
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

// Every group that can be formed within a domain is formed: a host that waits as a spare serves
// nobody, and the first loss in a domain leaves spares enough for the next ones.
bool GroupPlanner::form_one(const ModelShape& model, Time now) {
    const std::string& name = model.name;
    const bool from_nothing = !ever_open_.contains(name);
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
    form(model, hosts, from_nothing ? "first group" : "below its share", now);
    return true;
}

const std::map<std::string, GroupPlanner::Hosts>&
GroupPlanner::fit_by_domain(const ModelShape& model, Time now) const {
    const auto known = fit_.find(model.name);
    if (known != fit_.end())
        return known->second;
    std::map<std::string, Hosts>& fit = fit_[model.name];
    const bool from_nothing = !ever_open_.contains(model.name);
    for (const auto& [domain, hosts] : free_by_domain(now))
        for (const EndpointReport* report : hosts)
            if (staged(*report, model.name) ||
                (from_nothing && !traffic_ && assigned(*report, model.name)))
                fit[domain].push_back(report);
    return fit;
}

// Free hosts for a group of the model in the domain with the fewest groups of it, and of those in
// the one with the most such hosts. Empty where no domain has enough.
GroupPlanner::Hosts GroupPlanner::best_domain(const ModelShape& model, Time now) const {
    const Hosts* best = nullptr;
    std::size_t best_groups = 0;
    for (const auto& [domain, fit] : fit_by_domain(model, now)) {
        if (fit.size() < model.size)
            continue;
        const std::size_t groups = live_groups(model.name, domain);
        const bool better = best == nullptr || groups < best_groups ||
                            (groups == best_groups && fit.size() > best->size());
        if (!better)
            continue;
        best_groups = groups;
        best = &fit;
    }
    return best == nullptr ? Hosts{} : *best;
}

// Across domains a group is several times slower, which is still better than none. Beside groups
// that stand it does harm: it takes the spares that would mend them. It takes hosts first that are
// of no use as spares, in domains without a group of the model. While one closes so that a domain
// can hold it, its hosts are waited for: of the others one more would be put together across
// domains, which closes in turn for the first one's hosts. No group of the model served for six
// seconds of a played day. What closes for another reason is not waited for: that takes up to ten
// seconds.
GroupPlanner::Hosts GroupPlanner::across_domains(const ModelShape& model, Time now) const {
    Hosts hosts;
    if (live_groups(model.name) > 0 || is_gathering(model.name))
        return hosts;
    for (const auto& [domain, free] : free_by_domain(now))
        for (const EndpointReport* report : free)
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

Duration GroupPlanner::join_time(const EndpointReport& report, const ModelShape& model) const {
    const auto host = hosts_.find(report.id);
    if (host != hosts_.end() && host->second.warm == model.name)
        return WarmJoin;
    return staged(report, model.name) ? model.warm_join : model.load;
}

void GroupPlanner::form(const ModelShape& model, const Hosts& hosts, const std::string& why,
                        Time now) {
    const Epoch epoch = next_number();
    Group& group = groups_[epoch];
    group.epoch = epoch;
    group.warm_up = hosts.size() == 1 && model.size != 1;
    group.name = group_name(model.name, epoch, group.warm_up);
    group.model = model.name;
    group.since = now;
    group.ours = true;
    group.may_have_opened = false;
    if (live_ && !group.warm_up) {
        LiveGroups& counts = (*live_)[model.name];
        ++counts.all;
        ++counts.by_domain[hosts.front()->domain];
    }
    Duration longest{};
    for (const EndpointReport* report : hosts) {
        group.members.push_back(report->id);
        note_member(report->id, epoch);
        longest = std::max(longest, join_time(*report, model));
    }
    const auto slower = static_cast<int>(hosts_known_ / std::max(1u, engine_.loads_at_once) + 1);
    group.expected = now + (longest == model.load ? longest * slower : longest) + bounds_.beat;
    for (const EndpointReport* report : hosts) {
        if (!staged(*report, model.name))
            loads_.begun(now);
        no_longer_free(*report);
    }
    note(group.warm_up ? "warming" : "formed", group.name, group.members.front(), why);
    if (group.warm_up) {
        join_members(group, now);
        return;
    }
    group.phase = Phase::Proposed;
    changes_.formed[epoch] = {group.name, group.members};
}

// A host alone is never told to open, so it needs no place in the log.
void GroupPlanner::join_members(Group& group, Time now) {
    for (const EndpointId& id : group.members) {
        const EndpointReport* report = report_of(id);
        if (report != nullptr && report->phase == EndpointPhase::Serving && alive(id, now))
            continue;
        bury(group, "member " + text_of(id) + " was lost before it was ordered", now);
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

// Hosts of the same domain that are spares of the model, or will be once they have its weights.
std::size_t GroupPlanner::spares_beside(const EndpointReport& report, const std::string& model,
                                        Time now) const {
    std::size_t spares = 0;
    for (const EndpointReport* other : hosts_in(report.domain))
        spares += other->id != report.id && is_staging(other->id, model, now) ? 1 : 0;
    const auto free = free_by_domain(now).find(report.domain);
    if (free != free_by_domain(now).end())
        for (const EndpointReport* other : free->second)
            spares += other->id != report.id && staged(*other, model) ? 1 : 0;
    return spares;
}

double GroupPlanner::staging_score(const EndpointReport& report, const ModelShape& model,
                                   Time now) const {
    const std::size_t spares = spares_beside(report, model.name, now);
    const std::size_t here = live_groups(model.name, report.domain) * model.size;
    const bool wanted = live_groups(model.name) < target(model);
    double score = static_cast<double>(here) / static_cast<double>(1 + 2 * spares);
    if (wanted && (spares + 1) % model.size == 0)
        score += 2.0 * model.size;
    else if (wanted)
        score += static_cast<double>(spares + 1) / model.size;
    // A model that lacks groups everywhere goes before a local spare of one that has enough.
    const double live = std::max(LeastLiveGroups, static_cast<double>(live_groups(model.name)));
    return score * (static_cast<double>(target(model)) / live);
}

void GroupPlanner::stage_spares(Time now) {
    if (ever_open_.empty() && now - hosts_changed_ < SettleTime)
        return;
    for (const EndpointReport* report : free_hosts(now)) {
        if (!report->staged.empty())
            continue;
        if (traffic_ && !loads_.allows(now))
            return;
        const auto given = assignment_.find(report->id);
        const std::string model =
            given != assignment_.end() ? given->second : model_to_stage(*report, now);
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
    loads_.begun(now);
    order(OrderKind::Stage, report, nullptr).model = model.name;
    note("staging", "", report.id, why);
}

bool GroupPlanner::is_staging(const EndpointId& id, const std::string& model, Time now) const {
    const auto host = hosts_.find(id);
    return host != hosts_.end() && now < host->second.staging_until &&
           host->second.staging == model && alive(id, now);
}

// Free hosts that are too few for a group of their model are of no use until one more is there. If
// that takes no more than a few hosts of their domain that are too few for a group of another
// model, those load it: a load takes seconds, and the next newcomer may be long in coming.
void GroupPlanner::restage_stranded(Time now) {
    if (!traffic_)
        return;
    std::vector<const ModelShape*> scarce;
    for (const ModelShape& model : engine_.models)
        if (supply(model) < 1)
            scarce.push_back(&model);
    std::stable_sort(scarce.begin(), scarce.end(), [&](const ModelShape* a, const ModelShape* b) {
        return supply(*a) < supply(*b);
    });
    const std::map<std::string, Hosts> free_at_first = free_by_domain(now);
    for (const auto& [domain, free] : free_at_first) {
        // What the last loads bring is seen first: models would take hosts from each other.
        if (is_restaging(domain, now))
            continue;
        for (const ModelShape* model : scarce)
            if (restage(*model, free, now))
                break;
    }
}

// Groups of the model that there are, as a part of those that there should be.
double GroupPlanner::supply(const ModelShape& model) const {
    return static_cast<double>(live_groups(model.name)) / static_cast<double>(target(model));
}

bool GroupPlanner::is_restaging(const std::string& domain, Time now) const {
    const Hosts& hosts = hosts_in(domain);
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
        if (staged(*report, model.name))
            ++ready;
        else if (!report->staged.empty())
            others[report->staged.back()].push_back(report);
    }
    // Whoever loads the model is not free meanwhile.
    for (const EndpointReport* report : hosts_in(free.front()->domain))
        ready += is_staging(report->id, model.name, now) ? 1 : 0;
    if (ready == 0 || ready >= model.size)
        return false;
    std::size_t missing = model.size - ready;
    if (missing > model.size / LeastPartWaiting)
        return false;
    Hosts useless;
    for (const auto& [other, hosts] : others) {
        const ModelShape* shape_of_other = shape(other);
        if (shape_of_other == nullptr || hosts.size() < shape_of_other->size)
            useless.insert(useless.end(), hosts.begin(), hosts.end());
    }
    if (useless.size() < missing)
        return false;
    for (const EndpointReport* report : useless) {
        if (missing == 0 || !loads_.allows(now))
            break;
        stage(*report, model, model.name + ", for those that wait for one more", now);
        --missing;
    }
    return true;
}

// Joining takes a fifth of a second for a host that was in a group of the model since its start,
// and over a second for one that has the weights on its disk only.
void GroupPlanner::warm_spares(Time now) {
    for (const EndpointReport* report : free_hosts(now)) {
        if (report->staged.empty())
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
    const auto epochs = groups_of_.find(id);
    if (epochs == groups_of_.end())
        return false;
    return std::any_of(epochs->second.begin(), epochs->second.end(), [&](Epoch epoch) {
        const auto group = groups_.find(epoch);
        return group != groups_.end() && group->second.warm_up &&
               group->second.phase == Phase::Forming && group->second.members.front() == id;
    });
}

} // namespace liftweir
