// Run by liftweir-site-entry: links to control hosts, the settings lease, the operators' document,
// and the registrations of endpoints.

#include "process/gateway.h"
#include "process/logging.h"
#include "process/node.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

constexpr Duration RenewalInterval = std::chrono::milliseconds(1000);
constexpr Duration DemandReportInterval = std::chrono::milliseconds(500);
// Renewal interval while a control host has newer settings than this host.
constexpr Duration RenewalIntervalWhenBehind = std::chrono::milliseconds(150);

} // namespace

// ---- links and leases

void Gateway::connect_to(const std::string& address) {
    if (control_.contains(address))
        return;
    auto dialer = std::make_unique<Dialer>(io_, address, identity_, keys_);
    dialer->start(
        [this, address](const Link::Ptr&) {
            renew_soon(address);
            repair_.forget(address);
            forget_announced(address);
            send_suspects(address);
        },
        [this, address](const Link::Ptr&, WireMessage&& m) { on_message(address, std::move(m)); },
        [](const Link::Ptr&) {});
    control_.emplace(address, std::move(dialer));
}

void Gateway::send_to_control(const WireMessage& message) {
    for (auto& [address, dialer] : control_)
        dialer->send(message);
}

// While this host lacks settings, it asks more often, but only the source: hundreds of entry hosts
// that start together and ask every control host as often leave these no time to keep a leader.
void Gateway::renew(Time now) {
    renew_due_ = now + (lease_.behind() ? RenewalIntervalWhenBehind : RenewalInterval);
    choose_source();
    choose_restored_from(now);
    if (!restored_from_.empty())
        renew_due_ = std::min(renew_due_, restored_due_);
    for (const auto& [address, dialer] : control_) {
        Time& due = link_renew_due_[address];
        if (dialer->up() && (now >= due || address == source_)) {
            due = now + RenewalInterval;
            dialer->send(make_renew(address, now));
            dialer->expect_reply(now);
        }
        if (dialer->up())
            renew_due_ = std::min(renew_due_, due);
    }
}

void Gateway::renew_soon(const std::string& address) {
    link_renew_due_[address] = {};
    renew_due_ = {};
}

void Gateway::renew_all_soon() {
    link_renew_due_.clear();
    renew_due_ = {};
}

void Gateway::close_unresponsive_links(Time now) {
    for (const auto& [address, dialer] : control_)
        dialer->close_if_unresponsive(now);
}

// Chooses any control host whose link is up, and keeps it while that stays so and it has the newest
// document. A source that has announced the newest document is sending it already. So may be one
// that has not answered over this link yet: asking another host as well would bring a second copy
// over a link that is slow already.
void Gateway::choose_source() {
    Version newest = 0;
    for (const auto& [address, dialer] : control_)
        if (dialer->up())
            newest = std::max(newest, announced_version(address));
    const auto source = control_.find(source_);
    const bool up = source != control_.end() && source->second->up();
    const bool answered = announced_versions_.contains(source_);
    if (up && (!answered || announced_version(source_) >= newest || document_.index >= newest))
        return;
    std::vector<std::string> candidates;
    for (const auto& [address, dialer] : control_)
        if (dialer->up() && announced_version(address) >= newest)
            candidates.push_back(address);
    source_ = candidates.empty() ? "" : candidates[random_() % candidates.size()];
}

// After a start, asks one control host after the other for the endpoints that it knew before its
// own start, until one has sent them: a host whose disk was lost has none. Changes that arrive
// meanwhile name few endpoints.
void Gateway::choose_restored_from(Time now) {
    const bool wanted = !restored_received_ && (!ever_in_service_ || discovering_endpoints(now));
    if (!wanted) {
        restored_from_.clear();
        return;
    }
    if (now < restored_due_)
        return;
    const auto is_up = [](const auto& item) { return item.second->up(); };
    auto next = restored_from_.empty()
                    ? control_.find(source_)
                    : std::find_if(control_.upper_bound(restored_from_), control_.end(), is_up);
    if (next == control_.end())
        next = std::find_if(control_.begin(), control_.end(), is_up);
    if (next == control_.end())
        return;
    const bool all_asked = ++restored_tries_ > control_.size();
    restored_due_ = now + (all_asked ? RenewalInterval : RenewalIntervalWhenBehind);
    restored_from_ = next->first;
    link_renew_due_[restored_from_] = {};
}

// Called for a new link: messages in flight on the old link are lost, and a host that did not
// answer on the old link is no longer waited for.
void Gateway::forget_announced(const std::string& address) {
    announced_versions_.erase(address);
    if (address == source_)
        source_.clear();
}

Version Gateway::announced_version(const std::string& address) const {
    const auto found = announced_versions_.find(address);
    return found == announced_versions_.end() ? 0 : found->second;
}

LeaseRenewal Gateway::make_renew(const std::string& address, Time now) {
    LeaseRenewal renew;
    renew.entry = config_.name;
    renew.incarnation = identity_.incarnation;
    renew.lease = document_.index;
    renew.want_delta = address == source_;
    renew.registry = directory_.registry().digest();
    renew.voters_index = lease_.voters_index();
    if (const auto listed = listed_nodes_.find(address); listed != listed_nodes_.end())
        renew.nodes = listed->second;
    renew.routable_only = true;
    renew.routable = directory_.registry().routable_digest();
    renew.wants_restored = address == restored_from_;
    renew.calls = calls_admitted_;
    renew.in_flight = static_cast<std::uint32_t>(calls_.size());
    renew.retry_share = retry_share_.at(now);
    reported_calls_.sent(address, renew.in_flight);
    const auto node = nodes_.find(address);
    renew.sequence = node == nodes_.end() ? 0 : lease_.renewal_sent(node->second, now);
    return renew;
}

void Gateway::on_message(const std::string& address, WireMessage&& message) {
    if (const auto* lease_ack = std::get_if<LeaseAck>(&message)) {
        on_lease_ack(address, *lease_ack);
    } else if (const auto* push = std::get_if<DocumentPush>(&message)) {
        on_document(*push);
    } else if (const auto* dissolved = std::get_if<GroupsDissolved>(&message)) {
        directory_.dissolve(dissolved->epochs);
    } else if (const auto* changes = std::get_if<EndpointChanges>(&message)) {
        on_changes(*changes);
    } else if (const auto* remembered = std::get_if<EndpointsRestored>(&message)) {
        on_restored(*remembered);
    } else if (const auto* digests = std::get_if<RegistryDigests>(&message)) {
        on_digests(address, *digests);
    } else if (const auto* suspicions = std::get_if<SuspectRequests>(&message)) {
        on_suspects(address, *suspicions);
    } else if (const auto* limit_reports = std::get_if<LimitReports>(&message)) {
        on_limit_reports(*limit_reports);
    } else if (const auto* leaving = std::get_if<EndpointsLeaving>(&message)) {
        on_leaving(*leaving);
    } else if (const auto* limit_shares = std::get_if<LimitShares>(&message)) {
        on_limit_shares(address, *limit_shares);
    } else if (const auto* plan = std::get_if<AdmissionPlan>(&message)) {
        on_admission_plan(*plan);
    } else if (const auto* shares = std::get_if<GroupLoadReports>(&message)) {
        load_report_interval_ = std::chrono::milliseconds(shares->interval_ms);
        directory_.set_load_of_others(shares->reports, load_report_interval_, BootClock::now());
    }
}

void Gateway::on_lease_ack(const std::string& address, const LeaseAck& lease_ack) {
    const Time now = BootClock::now();
    for (const NodeId node : lease_ack.nodes)
        connect_to(address_of(node, config_.link_port));
    if (!lease_ack.nodes.empty())
        listed_nodes_[address] = digest_of(lease_ack.nodes);
    // An unsolicited message proves only that the link delivers in this direction. An answer proves
    // both directions.
    if (lease_ack.sequence != 0 || nodes_[address] != lease_ack.node)
        control_[address]->answered();
    // The first answer names the node. Only renewals sent after it can extend the lease.
    if (nodes_[address] != lease_ack.node) {
        nodes_[address] = lease_ack.node;
        renew_soon(address);
    }
    on_zones(lease_ack.zones, lease_ack.table, now);
    take_retry_share(lease_ack, now);
    const bool was_behind = lease_.behind();
    lease_.on_lease_ack(lease_ack, directory_.zones().settings_version(document_.index), now);
    announced_versions_[address] = lease_ack.table;
    if (lease_ack.leader != NoNode)
        leader_ = lease_ack.leader;
    // By the next renewal the source has announced the new document too, or another one is chosen.
    if (lease_ack.table > document_.index || (lease_.behind() && !was_behind))
        renew_due_ = std::min(renew_due_, now + RenewalIntervalWhenBehind);
    update_load_share(address, lease_ack);
    record_lease_change(now);
}

void Gateway::update_load_share(const std::string& address, const LeaseAck& lease_ack) {
    if (lease_ack.sequence != 0)
        load_share_.update(
            {reported_calls_.counted(address), lease_ack.in_flight_total, lease_ack.entries});
    directory_.set_total_load_ratio(load_share_.total_load_ratio());
}

// Called before the acknowledgement ends the record of its renewal.
void Gateway::take_retry_share(const LeaseAck& lease_ack, Time now) {
    const auto asked = lease_.renewal_sent_at(lease_ack.node, lease_ack.sequence);
    const double before = retry_share_.at(now).fraction;
    if (!asked || !retry_share_.take(lease_ack.retry_share, *asked))
        return;
    const RetryShare held = retry_share_.at(now);
    for (auto& [service, budget] : budgets_)
        budget.set_share(held.fraction, retry_share_.until());
    if (held.fraction != before)
        log(LogLevel::Info, "retry share",
            {{"fraction", std::to_string(held.fraction)}, {"term", std::to_string(held.term)}});
}

void Gateway::record_lease_change(Time now) {
    const bool holds = lease_holds(now);
    if (holds != std::exchange(had_lease_, holds))
        log(LogLevel::Info, holds ? "settings lease held" : "settings lease lost",
            {{"document", std::to_string(document_.version)}});
    admit_queued(BootClock::now());
}

// Sends this host's load report to the leading control host, which sends each entry host the load
// of the others. A host that becomes idle sends one empty report.
void Gateway::send_load(Time now) {
    load_report_due_ = now + std::max(LoadReportInterval, load_report_interval_);
    Dialer* leader = leader_link();
    if (leader == nullptr)
        return;
    GroupLoadReports message{config_.name, 0, directory_.own_load()};
    const bool has_some = !message.reports.empty();
    if (has_some || sent_load_)
        leader->send(message);
    sent_load_ = has_some;
}

// The link to the leading control host; null while none can be sent a report.
Dialer* Gateway::leader_link() {
    const auto leader = control_.find(address_of(leader_, config_.link_port));
    const bool usable =
        leader != control_.end() && leader->second->up() && !leader->second->backed_up();
    return usable ? leader->second.get() : nullptr;
}

// Sends what callers ask of this host to the leading control host. A host that becomes idle sends
// one empty report.
void Gateway::send_demand(Time now) {
    demand_report_due_ = now + DemandReportInterval;
    Dialer* leader = leader_link();
    if (leader == nullptr || table_ == nullptr)
        return;
    DemandReports message{config_.name, static_cast<std::uint32_t>(to_millis(DemandReportInterval)),
                          demand_.report(table_->deployment(), now)};
    const bool has_some = !message.lines.empty();
    if (has_some || sent_demand_)
        leader->send(message);
    sent_demand_ = has_some;
}

// Requests in flight in a zone that is taken out of use continue.
void Gateway::on_zones(const ZonesOutOfUse& zones, Version document, Time now) {
    if (!directory_.zones().take(zones, document, now))
        return;
    log(LogLevel::Info, "zones out of use",
        {{"zones", text_of(zones)}, {"index", std::to_string(zones.index)}});
}

void Gateway::on_admission_plan(const AdmissionPlan& plan) {
    admission_.store(plan.levels, BootClock::now());
    admission_log_.note(plan.levels);
}

// Ignores a document that is older than the one in force.
void Gateway::on_document(const DocumentPush& push) {
    on_zones(push.zones, push.document.index, BootClock::now());
    if (push.document.version <= document_.version || push.document.index <= document_.index)
        return;
    auto deployment = decode_(push.document.body);
    if (!deployment) {
        log(LogLevel::Error, "a document can not be decoded",
            {{"version", std::to_string(push.document.version)},
             {"detail", deployment.error().detail}});
        return;
    }
    document_ = push.document;
    document_.body.clear();
    put_in_force(std::move(*deployment));
    log(LogLevel::Info, "document in force",
        {{"version", std::to_string(document_.version)},
         {"routes", std::to_string(table_->deployment().routes.size())}});
    renew_all_soon();
}

bool Gateway::lease_holds(Time now) const {
    return !config_.bounds.fail_closed || now < lease_.valid_until();
}

// ---- endpoints

// Adds the cached endpoints of a control host that has restarted. A host that has been in service
// for some time has newer reports and ignores them.
void Gateway::on_restored(const EndpointsRestored& remembered) {
    const Time now = BootClock::now();
    if (ever_in_service_ && !discovering_endpoints(now))
        return;
    restored_received_ = true;
    std::size_t added = 0;
    for (const EndpointReport& report : remembered.reports) {
        if (!directory_.registry().add_cached(report, now))
            continue;
        unconfirmed_.insert(report.id);
        ++added;
    }
    if (added > 0)
        log(LogLevel::Info, "cached endpoints added", {{"added", std::to_string(added)}});
}

// Endpoints that a control host with all heartbeats does not know. A cached endpoint stays until
// then: how soon control hosts have heard of all endpoints depends on their own start.
void Gateway::forget_unknown(const std::vector<EndpointId>& unknown) {
    for (const EndpointId& id : unknown) {
        unconfirmed_.erase(id);
        directory_.registry().forget(id);
    }
    if (!unknown.empty())
        log(LogLevel::Info, "unknown endpoints dropped",
            {{"count", std::to_string(unknown.size())}});
}

// Merges reports, then retries the calls that wait for an endpoint.
void Gateway::on_changes(const EndpointChanges& changes) {
    const Time now = BootClock::now();
    bool changed = false;
    forget_unknown(changes.unknown);
    for (std::size_t n = 0; n < changes.reports.size(); ++n) {
        const EndpointReport& report = changes.reports[n];
        unconfirmed_.erase(report.id);
        const bool was_routable = directory_.registry().routable().contains(report.id);
        if (!directory_.registry().merge(report, now - changes.silent(n)))
            continue;
        changed = true;
        if (was_routable && !directory_.registry().routable().contains(report.id))
            log(LogLevel::Info, "endpoint withdrawn",
                {{"endpoint", text_of(report.id)},
                 {"phase", std::to_string(static_cast<int>(report.phase))},
                 {"group", report.membership.group}});
        if (report.phase == EndpointPhase::Gone)
            if (const auto* item = directory_.registry().find(report.id))
                close_connections(item->report);
    }
    // Endpoints that another report has ended: one of a later incarnation under their name, or one
    // without a process start.
    for (const EndpointId& id : directory_.registry().take_resolved()) {
        changed = true;
        if (const auto* item = directory_.registry().find(id))
            close_connections(item->report);
    }
    if (!changed)
        return;
    for (const auto& call : calls())
        call->tick(now);
}

// At first only the source is asked for ranges: a host that has just started lacks all endpoints,
// and would otherwise get them from each control host.
void Gateway::on_digests(const std::string& address, const RegistryDigests& digests) {
    const Registry& registry = directory_.registry();
    const RangeDigests& ours =
        digests.routable_only ? registry.routable_range_digests() : registry.range_digests();
    const auto wanted =
        repair_.compare(address, digests.ranges, ours, address == source_, BootClock::now());
    if (!wanted.empty())
        request_ranges(address, wanted);
}

void Gateway::request_ranges(const std::string& address, const std::vector<std::uint32_t>& ranges) {
    control_[address]->send(
        RangesRequested{ranges, true, routable_in(directory_.registry(), ranges)});
}

// Asks for the ranges that control hosts agree upon. Does not wait for the next digests, which come
// once a second while callers wait.
void Gateway::request_agreed_ranges(Time now) {
    if (!discovering_endpoints(now))
        return;
    const auto ask = repair_.agreed_ranges(directory_.registry().routable_range_digests(), now);
    if (ask)
        request_ranges(ask->host, ask->ranges);
}

// Closes the idle connections to an ended endpoint, unless another incarnation has its name or
// address: connections to that one stay usable.
void Gateway::close_connections(const EndpointReport& report) {
    if (!directory_.registry().replaced(report))
        pool_->forget(report.address);
}

// After a loss of all registries, control hosts receive a report of each endpoint within one
// heartbeat interval.
bool Gateway::discovering_endpoints(Time now) const {
    return now - in_service_since_ < config_.bounds.heartbeat_interval + HeartbeatSlack;
}

// A cached endpoint without a report since is removed at its first failed connection.
void Gateway::unreachable(const EndpointId& id) {
    report_stall(id, BootClock::now());
    if (unconfirmed_.erase(id) > 0)
        directory_.registry().forget(id);
}

} // namespace liftweir
