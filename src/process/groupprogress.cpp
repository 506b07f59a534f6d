// How GroupPlanner follows its groups: from forming to service, and to their end.

#include "process/groupplanner.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr Duration ProbeEvery = std::chrono::milliseconds(400);
// SuspectRequest that is not renewed for so long is over.
constexpr Duration SuspicionKept = std::chrono::milliseconds(900);
// Endpoints let a leaving member's group finish for 10 s at most.
constexpr Duration MostClosing = std::chrono::seconds(10);

// An order of the leader before to open, and the word that it was taken: a round trip between zones
// and a busy host's turn.
constexpr Duration OrderWay = std::chrono::milliseconds(100);

} // namespace

// ---- progress of groups

void GroupPlanner::advance(Group& group, Time now) {
    bury_if_replaced(group, now);
    switch (group.phase) {
    case Phase::Proposed:
        break;
    case Phase::Forming:
        if (group.ours || group.warm_up)
            advance_forming(group, now);
        else
            advance_foreign(group, now);
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

// A member whose name or address another incarnation has is no more: no order reaches it, and its
// part of the group is lost.
void GroupPlanner::bury_if_replaced(Group& group, Time now) {
    for (const EndpointId& id : group.members) {
        const EndpointReport* report = report_of(id);
        if (report == nullptr || !registry_->replaced(*report))
            continue;
        bury(group, "a newer incarnation replaced member " + text_of(id), now);
        return;
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
            bury(group, "member " + text_of(id) + " was lost while the group formed", now);
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
    if (all_ready && lead != nullptr && !hosts_[lead->id].ordered && now >= group.open_due)
        open(group, *lead, now);
    if (now > forming_due(group, *model))
        bury(group, "not ready in time", now);
}

// Another leader formed it, may have told it to open, and may not know yet that it leads no more:
// it would go on deciding about the members of a group that this one puts into service. So unless
// it opens, it is formed anew, and its lead is told to leave first. A lead that nobody has heard of
// since the takeover may serve.
void GroupPlanner::advance_foreign(Group& group, Time now) {
    const EndpointReport* lead = group.members.empty() ? nullptr : report_of(group.members.front());
    const bool in_it = lead != nullptr && lead->membership.epoch == group.epoch;
    const Duration patience = in_it ? engine_.open_delay + OrderWay : 2 * bounds_.beat;
    if ((lead != nullptr && is_out(group, lead->id)) || now - took_over_ > patience)
        bury(group, "formed by another leader", now);
}

void GroupPlanner::open(Group& group, const EndpointReport& lead, Time now) {
    group.may_have_opened = true;
    group.open_due = now + engine_.open_delay + bounds_.beat;
    order(OrderKind::Open, lead, &group);
    note("opening", group.name, lead.id, "all members are ready");
}

// Another leader's group may have begun with hosts that had nothing on their disks.
Time GroupPlanner::forming_due(const Group& group, const ModelShape& model) const {
    if (group.expected != Time{})
        return group.expected + FormingSlack;
    return group.since + engine_.open_delay + FormingSlack + (model.load + model.warm_join);
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
        if (!is_out(group, id))
            continue;
        bury(group, "member " + text_of(id) + " left", now);
        return;
    }
    close_if_leaving(group, lead, now);
    gather(group, now);
    probe_if_suspected(group, now);
}

void GroupPlanner::close(Group& group, const EndpointReport& lead, const std::string& why,
                         Time now) {
    group.phase = Phase::Closing;
    group.since = now;
    live_.reset();
    order(OrderKind::Close, lead, &group);
    note("closing", group.name, lead.id, why);
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
        for (const EndpointReport* report : free)
            hosts[domain] += staged(*report, group.model) ? 1 : 0;
    const bool one_is_enough = std::any_of(
        hosts.begin(), hosts.end(), [&](const auto& item) { return item.second >= model->size; });
    const EndpointReport* lead = report_of(group.members.front());
    if (!one_is_enough || lead == nullptr || hosts_[lead->id].ordered)
        return;
    group.gathering = true;
    close(group, *lead, "one domain can hold it now", now);
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
    close(group, *lead, "a member is leaving", now);
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
        std::count_if(domain->second.begin(), domain->second.end(),
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
    note("suspected", group.name, group.members.front(), "its streams stalled");
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

} // namespace liftweir
