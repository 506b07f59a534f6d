// How GroupPlanner moves its groups from forming to service and finally dissolves them.

#include "process/groupplanner.h"

#include <algorithm>

namespace liftweir {

namespace {

// A lost packet or a short pause of a member's host leaves one probe unanswered.
constexpr int UnansweredProbesOfALostMember = 2;
constexpr Duration ProbeInterval = std::chrono::milliseconds(400);
// Endpoints let a group with a leaving member finish its requests for at most 10 s.
constexpr Duration MaxClosing = std::chrono::seconds(10);

// Time for an order of the previous leader to open a group and for its answer: a round trip between
// zones and the scheduling delay of a busy host.
constexpr Duration OrderRoundTrip = std::chrono::milliseconds(100);

} // namespace

// ---- progress of groups

void GroupPlanner::advance(Group& group, Time now) {
    dissolve_if_replaced(group, now);
    switch (group.phase) {
    case Phase::Proposed:
        break;
    case Phase::Forming:
        if (group.formed_here || group.warm_up)
            advance_forming(group, now);
        else
            advance_inherited(group, now);
        break;
    case Phase::Open:
    case Phase::Closing:
        advance_open(group, now);
        break;
    case Phase::Dissolved:
        advance_dissolved(group, now);
        break;
    }
}

// A member has exited if another incarnation has its name or its address: no order reaches it, and
// its part of the group is lost.
void GroupPlanner::dissolve_if_replaced(Group& group, Time now) {
    for (const EndpointId& id : group.members) {
        const EndpointReport* report = report_of(id);
        if (report == nullptr || !registry_->replaced(*report))
            continue;
        dissolve(group, "a newer incarnation replaced member " + text_of(id), now);
        return;
    }
}

void GroupPlanner::advance_forming(Group& group, Time now) {
    const ModelShape* model = shape(group.model);
    const std::size_t size = group.warm_up ? 1 : (model == nullptr ? 0 : model->size);
    if (model == nullptr || (!group.warm_up && group.formed_here && group.members.size() != size)) {
        dissolve(group, "its model was removed or resized", now);
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
            dissolve(group, "member " + text_of(id) + " was lost while the group formed", now);
            return;
        }
        all_ready = all_ready && report->membership.epoch == group.epoch &&
                    report->membership.state == MemberState::Ready;
    }
    if (all_ready && group.warm_up) {
        dissolve(group, "warm", now);
        return;
    }
    const EndpointReport* lead = group.members.empty() ? nullptr : report_of(group.members.front());
    if (all_ready && lead != nullptr && !hosts_[lead->id].order_in_flight &&
        now >= group.open_retry_due)
        open(group, *lead, now);
    if (now > forming_due(group, *model))
        dissolve(group, "not ready in time", now);
}

// Another leader formed the group and may have ordered it to open. That leader may not know yet
// that it has been deposed, so it could still order the members of a group that this leader opens.
// A group that does not open in time is therefore dissolved and formed again, and its lead is
// ordered to leave first. A lead that has not reported since the takeover may be serving.
void GroupPlanner::advance_inherited(Group& group, Time now) {
    const EndpointReport* lead = group.members.empty() ? nullptr : report_of(group.members.front());
    const bool is_member = lead != nullptr && lead->membership.epoch == group.epoch;
    const Duration timeout =
        is_member ? engine_.open_delay + OrderRoundTrip : 2 * config_.heartbeat_interval;
    if ((lead != nullptr && has_left(group, lead->id)) || now - took_over_ > timeout)
        dissolve(group, "formed by another leader", now);
}

void GroupPlanner::open(Group& group, const EndpointReport& lead, Time now) {
    group.may_have_opened = true;
    group.open_retry_due = now + engine_.open_delay + config_.heartbeat_interval;
    order(OrderKind::Open, lead, &group);
    add_event("opening", group.name, lead.id, "all members are ready");
}

// A group of another leader may have started with hosts that had no weights on their disks.
Time GroupPlanner::forming_due(const Group& group, const ModelShape& model) const {
    if (group.expected_ready != Time{})
        return group.expected_ready + FormingSlack;
    return group.since + engine_.open_delay + FormingSlack + (model.load + model.warm_join);
}

// Three things show that a member is lost: its own report, another incarnation at its address, or
// stalled streams at the entry hosts together with an unanswered probe. Missing reports alone prove
// nothing, since the group may still serve.
void GroupPlanner::advance_open(Group& group, Time now) {
    const EndpointReport* lead = group.members.empty() ? nullptr : report_of(group.members.front());
    if (lead != nullptr && lead->membership.epoch == group.epoch) {
        if (lead->membership.state == MemberState::Broken) {
            dissolve(group, "the lead reports it broken", now);
            return;
        }
        if (group.phase == Phase::Closing && lead->membership.state == MemberState::Ready) {
            group.closed = true;
            dissolve(group, "closed", now);
            return;
        }
    }
    retry_close(group, lead, now);
    if (group.phase == Phase::Closing && now - group.since > MaxClosing) {
        dissolve(group, "did not close in time", now);
        return;
    }
    for (const EndpointId& id : group.members) {
        if (!has_left(group, id))
            continue;
        dissolve(group, "member " + text_of(id) + " left", now);
        return;
    }
    close_if_leaving(group, lead, now);
    consolidate(group, now);
    probe_if_suspected(group, now);
}

void GroupPlanner::close(Group& group, const EndpointReport& lead, const std::string& why,
                         Time now) {
    group.phase = Phase::Closing;
    group.since = now;
    live_.reset();
    order(OrderKind::Close, lead, &group);
    add_event("closing", group.name, lead.id, why);
}

// An order that was not answered may have been carried out, and then the group finishes its
// requests. A repeated one may not fit the state of the lead for that reason.
void GroupPlanner::on_close_answered(Group& group, OrderAnswer answer, Time now) {
    const bool retried = group.close_retry_due != Time{};
    if (answer == OrderAnswer::Taken)
        group.close_retry_due = {};
    else if (answer == OrderAnswer::Silent || (retried && answer == OrderAnswer::Unfit))
        group.close_retry_due = now + config_.heartbeat_interval;
    else
        dissolve(group, "close failed: " + std::string(name_of(answer)), now);
}

void GroupPlanner::retry_close(Group& group, const EndpointReport* lead, Time now) {
    if (group.phase != Phase::Closing || group.close_retry_due == Time{} ||
        now < group.close_retry_due || lead == nullptr || hosts_[lead->id].order_in_flight)
        return;
    if (alive(lead->id, now))
        order(OrderKind::Close, *lead, &group);
    else
        dissolve(group, "close failed: the lead is silent", now);
}

bool GroupPlanner::spans_domains(const Group& group) const {
    std::set<std::string> domains;
    for (const EndpointId& id : group.members)
        if (const EndpointReport* report = report_of(id))
            domains.insert(report->domain);
    return domains.size() > 1;
}

// A group across domains is a temporary fallback: it closes once a single domain can hold a group.
void GroupPlanner::consolidate(Group& group, Time now) {
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
    const bool one_domain_suffices = std::any_of(
        hosts.begin(), hosts.end(), [&](const auto& item) { return item.second >= model->size; });
    const EndpointReport* lead = report_of(group.members.front());
    if (!one_domain_suffices || lead == nullptr || hosts_[lead->id].order_in_flight)
        return;
    group.consolidating = true;
    close(group, *lead, "one domain can hold it now", now);
}

// A leaving member works on the requests of its group for a while. A group whose lead leaves gets
// no new requests anyway. If another member leaves, closing early is worthwhile only if a spare can
// replace it. A member whose zone was taken out of use is replaced like a leaving one.
void GroupPlanner::close_if_leaving(Group& group, const EndpointReport* lead, Time now) {
    if (group.phase != Phase::Open || lead == nullptr || hosts_[lead->id].order_in_flight ||
        wholly_out_of_use(group))
        return;
    const bool leaving =
        std::any_of(group.members.begin(), group.members.end(), [&](const EndpointId& id) {
            const EndpointReport* report = report_of(id);
            return report != nullptr && is_leaving(*report);
        });
    if (!leaving || (!is_leaving(*lead) && !replaceable(group, now)))
        return;
    close(group, *lead, "a member is leaving", now);
}

bool GroupPlanner::is_leaving(const EndpointReport& report) const {
    return report.phase != EndpointPhase::Serving || is_out_of_use(report);
}

// Whether the free hosts of the lead's domain can replace the leaving members.
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
        leaving += report == nullptr || is_leaving(*report) ? 1 : 0;
    }
    const auto spares = static_cast<std::size_t>(
        std::count_if(domain->second.begin(), domain->second.end(),
                      [&](const EndpointReport* r) { return staged(*r, group.model); }));
    return spares >= leaving;
}

void GroupPlanner::probe_if_suspected(Group& group, Time now) {
    if (!is_suspected(group, now)) {
        group.unanswered_probes.clear();
        return;
    }
    if (!group.pending_probes.empty() || now - group.probed < ProbeInterval)
        return;
    group.probed = now;
    for (const EndpointId& id : group.members)
        if (!id.empty() && group.pending_probes.insert(id).second)
            probes_.push_back(id);
    add_event("suspected", group.name, group.members.front(), "its streams stalled");
}

// The group's streams end with it, so its members are asked again before one is taken for lost.
void GroupPlanner::on_unanswered_probe(Group& group, const EndpointId& id, Time now) {
    if (++group.unanswered_probes[id] < UnansweredProbesOfALostMember) {
        group.pending_probes.insert(id);
        probes_.push_back(id);
        return;
    }
    hosts_[id].unresponsive_until = now + UnresponsivePeriod;
    dissolve(group, "member " + text_of(id) + " does not answer", now);
}

// One confirmation of the lead that it has left releases all members. If the lead is unresponsive,
// each member is ordered to leave.
void GroupPlanner::advance_dissolved(Group& group, Time now) {
    if (group.members.empty() || !group.may_have_opened || lead_stopped(group))
        return;
    const EndpointId& lead = group.members.front();
    const bool ask_lead = !lead.empty() && alive(lead, now);
    for (const EndpointId& id : group.members) {
        const EndpointReport* member = id.empty() ? nullptr : report_of(id);
        if ((ask_lead && id != lead) || member == nullptr || !alive(id, now) ||
            !binds(group, *member) || hosts_[id].order_in_flight)
            continue;
        order(OrderKind::Leave, *member, &group);
    }
}

} // namespace liftweir
