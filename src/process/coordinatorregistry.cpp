// Run by liftweir-site-control: merges the registrations of endpoints, forwards them to all hosts,
// and keeps them on disk for the next start.

#include "process/coordinator.h"
#include "process/logging.h"
#include "process/metrics.h"

#include <utility>

namespace liftweir {

namespace {

// About 200 bytes for each endpoint: with 930 of them less than 100 KB a second.
constexpr Duration CacheWriteInterval = std::chrono::milliseconds(2000);
constexpr Duration RejectedLogInterval = std::chrono::milliseconds(1000);

} // namespace

// ---- merging and forwarding

void Coordinator::on_digests(const Link::Ptr& link, const RegistryDigests& digests, Time now) {
    const auto wanted =
        repair_.compare(link->peer().name, digests.ranges, registry_.range_digests(), true, now);
    if (!wanted.empty())
        link->send(RangesRequested{wanted, false, {}});
}

// The receiver asks again for the ranges that do not fit into a full send queue.
void Coordinator::send_ranges(const Link::Ptr& link, const RangesRequested& wanted,
                              Time now) const {
    RoutableCopy copy;
    if (wanted.routable_only)
        copy = copy_routable(registry_, wanted.ranges, wanted.held, now);
    else
        copy.parts = copy_ranges(registry_, wanted.ranges, now);
    if (!copy.unknown.empty() && knows_all_endpoints(now))
        link->send(EndpointChanges{{}, {}, copy.unknown});
    for (RangeCopy& part : copy.parts) {
        if (link->backed_up())
            return;
        link->send(EndpointChanges{std::move(part.reports), std::move(part.silent_ms), {}});
    }
}

// True where an endpoint that is not in the registry has ended or has been silent for long. A host
// that has just started, or that no leader reaches, may lack endpoints that are alive.
bool Coordinator::knows_all_endpoints(Time now) const {
    return registry_complete(now) && replica_ && replica_->raft().leader() != NoNode;
}

// An endpoint that drains goes on reporting that. Its leave is recorded once, and only reports
// before this host has acknowledged it wait for that.
ReportFault Coordinator::merge_report(const EndpointReport& report, Done done) {
    const ReportFault fault = fault_here(report);
    if (fault != ReportFault::None)
        return fault;
    const Registry::Item* before = registry_.find(report.id);
    const bool drained_before =
        before != nullptr && before->report.phase == EndpointPhase::Draining;
    merge(report, true, BootClock::now());
    if (report.phase == EndpointPhase::Serving ||
        (drained_before && confirmed_drains_.contains(report.id)))
        done({});
    else if (drained_before && replica_ && replica_->state().departures().contains(report.id))
        record_leave(replica_->state().departures().all.at(report.id).report, std::move(done));
    else
        record_leave(report, std::move(done));
    return fault;
}

// A known endpoint may still report after the operators have removed its service, so that it can
// shut down in order. One incarnation never changes its service or address.
ReportFault Coordinator::fault_here(const EndpointReport& report) const {
    if (const ReportFault fault = fault_of(report); fault != ReportFault::None)
        return fault;
    const Registry::Item* known = registry_.find(report.id);
    if (known != nullptr && known->report.phase != EndpointPhase::Gone)
        return known->report.service == report.service && known->report.address == report.address
                   ? ReportFault::None
                   : ReportFault::Changed;
    return services_.empty() || services_.contains(report.service) ? ReportFault::None
                                                                   : ReportFault::Service;
}

// A faulty client may send many such reports, so at most one line a second is logged for each
// fault.
void Coordinator::note_rejected_report(const std::string& name, ReportFault fault) {
    const std::string why(name_of(fault));
    Metrics::instance().counter("liftweir_reports_refused", "why=\"" + why + "\"").add();
    RejectedReports& kind = rejected_reports_[fault];
    ++kind.since;
    const Time now = BootClock::now();
    if (now - kind.logged < RejectedLogInterval)
        return;
    kind.logged = now;
    log(LogLevel::Warning, "report refused",
        {{"endpoint", name}, {"why", why}, {"count", std::to_string(kind.since)}});
    kind.since = 0;
}

void Coordinator::deregister(EndpointId id, Done done) {
    const Registry::Item* last = registry_.latest(id.name);
    if (!id.has_start_time() && last != nullptr)
        id = last->report.id;
    if (registry_.mark_gone(id, BootClock::now())) {
        changed_for_all(registry_.find(id)->report);
        sending_changes_.run();
    }
    record_leave(registry_.find(id)->report, std::move(done));
}

// Copies of registry ranges carry the age of each report.
void Coordinator::on_changes(const EndpointChanges& changes, Time now) {
    for (std::size_t n = 0; n < changes.reports.size(); ++n)
        merge(changes.reports[n], false, now - changes.silent(n));
}

void Coordinator::on_alive(const EndpointsAlive& alive, Time now) {
    for (const EndpointId& id : alive.ids)
        registry_.seen_alive(id, now);
    forward_resolved();
}

void Coordinator::merge(const EndpointReport& report, bool first_hand, Time seen) {
    const Registry::Item* before = registry_.find(report.id);
    const bool was_routable = before != nullptr && before->report.routable();
    const bool is_change = registry_.merge(report, seen);
    if (first_hand)
        alive_.insert(report.id);
    forward_resolved();
    check_addresses(BootClock::now());
    if (first_hand && registry_.find(report.id) == nullptr)
        forward_unconfirmed(report);
    if (!is_change)
        return;
    const EndpointReport& current = registry_.find(report.id)->report;
    if (first_hand)
        changes_.add_reported(current, was_routable);
    // Logged before the planner acts on it, so that the log ends with a report that ends the
    // process.
    if (first_hand || changes_.add_forwarded(current))
        note_change(current);
    groups_.observe(current, BootClock::now());
    // The endpoint gets its answer after this. From then on no entry host may send it requests, so
    // the change is sent now.
    if (first_hand && current.phase != EndpointPhase::Serving)
        sending_changes_.run();
    plan_soon();
}

// Forwards the shutdown of an endpoint whose registration is unconfirmed at this host. Other hosts
// may have confirmed it, and have to know. Those that have not keep it unconfirmed as well.
void Coordinator::forward_unconfirmed(const EndpointReport& report) {
    if (report.phase == EndpointPhase::Serving)
        return;
    changes_.add_for_all(report);
    sending_changes_.run();
}

// Forwards endpoints whose address conflict was resolved. Those that have ended come first: a host
// that received only the newer incarnation would treat it as unconfirmed.
void Coordinator::forward_resolved() {
    for (const EndpointId& id : registry_.take_resolved()) {
        const EndpointReport& report = registry_.find(id)->report;
        log(LogLevel::Info, "address conflict resolved",
            {{"id", text_of(id)},
             {"address", report.address},
             {"stands", report.phase == EndpointPhase::Gone ? "no" : "yes"}});
        changed_for_all(report);
        plan_soon();
    }
}

// Resolves conflicts of two incarnations at one address by a probe: the answer at the address shows
// which of them runs there.
void Coordinator::check_addresses(Time now) {
    for (const Registry::AddressCheck& question : registry_.take_address_checks(now))
        orders_.probe(question.endpoint, [this, question](bool alive) {
            if (!alive)
                return;
            registry_.confirmed(question, BootClock::now());
            forward_resolved();
        });
}

void Coordinator::changed_for_all(const EndpointReport& report) {
    changes_.add_for_all(report);
    note_change(report);
    groups_.observe(report, BootClock::now());
}

void Coordinator::note_change(const EndpointReport& report) {
    const Membership& membership = report.membership;
    log(LogLevel::Info, "endpoint",
        {{"id", text_of(report.id)},
         {"address", report.address},
         {"phase", std::to_string(static_cast<int>(report.phase))},
         {"group", membership.group},
         {"state", report.grouped() ? std::string(name_of(membership.state)) : "none"},
         {"rank", std::to_string(membership.rank)},
         {"sequence", std::to_string(report.sequence)}});
    sending_changes_.schedule();
}

// Paced, since a message to each of hundreds of entry hosts in every turn of the event loop used up
// the whole CPU share of the process while thousands of endpoints registered.
void Coordinator::send_changes() {
    const LongestStep::Scope step(steps_, "send_changes");
    const EndpointChanges to_entries{changes_.take_for_entries(), {}, {}};
    const EndpointChanges to_peers{changes_.take_for_peers(), {}, {}};
    if (!to_entries.reports.empty())
        send_to_entries(to_entries);
    if (!to_peers.reports.empty())
        send_to_peers(to_peers);
}

void Coordinator::flush_alive() {
    if (alive_.empty())
        return;
    EndpointsAlive message;
    const std::set<EndpointId> seen = std::exchange(alive_, {});
    message.ids.assign(seen.begin(), seen.end());
    send_to_peers(message);
}

// ---- kept for the next start

bool Coordinator::registry_complete(Time now) const {
    return now - started_ > heartbeats().all_reported();
}

// Writes the known endpoints to disk, but after a start only once the registry is complete again:
// until then the old file holds more. The old file is outdated where another control host kept
// running in the meantime.
void Coordinator::write_endpoint_cache(Time now) {
    if (peer_has_registry_)
        cached_ = {};
    const bool copied = peer_has_registry_ && !registry_.items().empty();
    if ((!registry_complete(now) && !copied) || !caught_up_ || !replica_)
        return;
    cached_ = {};
    if (now < cache_write_due_)
        return;
    cache_write_due_ = now + CacheWriteInterval;
    endpoint_cache_->keep(registry_, now - heartbeats().two_missed(),
                          replica_->state().departures().forgotten);
}

} // namespace liftweir
