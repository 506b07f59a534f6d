// The registrations at Coordinator: merged here, passed on to all hosts, and kept on its disk for
// the next start.

#include "process/coordinator.h"
#include "process/logging.h"
#include "process/metrics.h"

#include <utility>

namespace liftweir {

namespace {

// Two beats and some: by then whoever lives has registered again.
constexpr Duration RememberedFor = std::chrono::milliseconds(3000);
// An endpoint that has missed two reports is kept no longer.
constexpr int BeatsMissed = 2;
// About 200 bytes for each endpoint: with 930 of them less than 100 KB a second.
constexpr Duration RosterEvery = std::chrono::milliseconds(2000);
constexpr Duration RefusedLoggedEvery = std::chrono::milliseconds(1000);

} // namespace

// ---- merging and passing on

void Coordinator::on_digests(const Link::Ptr& link, const RegistryDigests& digests, Time now) {
    const auto wanted =
        repair_.compare(link->peer().name, digests.ranges, registry_.range_digests(), true, now);
    if (!wanted.empty())
        link->send(RangesRequested{wanted});
}

// What a full link does not take is asked for again.
void Coordinator::send_ranges(const Link::Ptr& link, const RangesRequested& wanted,
                              Time now) const {
    for (const RangeCopy& part : copy_ranges(registry_, wanted.ranges, now)) {
        if (link->backed_up())
            return;
        link->send(EndpointChanges{part.reports, part.silent_ms});
    }
}

ReportFault Coordinator::report(const EndpointReport& report) {
    const ReportFault fault = fault_here(report);
    if (fault == ReportFault::None)
        merge(report, true, BootClock::now());
    return fault;
}

// An endpoint whose service the operators have taken away is still known, and may leave in order. A
// start never changes what it serves, or where.
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

// Whoever writes such reports may write many: one line a second tells of each kind.
void Coordinator::refused(const std::string& name, ReportFault fault) {
    const std::string why(name_of(fault));
    Metrics::instance().counter("liftweir_reports_refused", "why=\"" + why + "\"").add();
    RefusedReports& kind = refused_[fault];
    ++kind.since;
    const Time now = BootClock::now();
    if (now - kind.logged < RefusedLoggedEvery)
        return;
    kind.logged = now;
    log(LogLevel::Warning, "report refused",
        {{"endpoint", name}, {"why", why}, {"count", std::to_string(kind.since)}});
    kind.since = 0;
}

void Coordinator::gone(EndpointId id) {
    const Registry::Item* last = registry_.latest(id.name);
    if (!id.has_start_time() && last != nullptr)
        id = last->report.id;
    if (!registry_.mark_gone(id, BootClock::now()))
        return;
    changed(registry_.find(id)->report, true);
    telling_.run();
}

// Copies of ranges tell how old they are.
void Coordinator::on_changes(const EndpointChanges& changes, Time now) {
    for (std::size_t n = 0; n < changes.reports.size(); ++n)
        merge(changes.reports[n], false, now - changes.silent(n));
}

void Coordinator::on_alive(const EndpointsAlive& alive, Time now) {
    for (const EndpointId& id : alive.ids)
        registry_.seen_alive(id, now);
    pass_on_settled();
}

void Coordinator::merge(const EndpointReport& report, bool first_hand, Time heard) {
    const Registry::Item* before = registry_.find(report.id);
    const EndpointPhase phase = before == nullptr ? EndpointPhase::Serving : before->report.phase;
    const bool is_change = registry_.merge(report, heard);
    if (first_hand)
        alive_.insert(report.id);
    pass_on_settled();
    settle_doubts(BootClock::now());
    if (first_hand && registry_.find(report.id) == nullptr)
        pass_on_doubted(report);
    if (!is_change)
        return;
    const EndpointReport& current = registry_.find(report.id)->report;
    if (first_hand)
        changed(current, true);
    else if (current.phase != phase)
        changed(current, false);
    else
        groups_.observe(current, BootClock::now());
    // The one who registers is answered after this: nobody may still send it work then.
    if (first_hand && current.phase != EndpointPhase::Serving)
        telling_.run();
    plan_soon();
}

// In doubt here, it may stand elsewhere, and its word that it leaves counts there. Who does not
// know it doubts it too.
void Coordinator::pass_on_doubted(const EndpointReport& report) {
    if (report.phase == EndpointPhase::Serving)
        return;
    changes_.push_back(report);
    telling_.run();
}

// Those that ended go first: hosts that hear of a newer start alone would doubt it.
void Coordinator::pass_on_settled() {
    for (const EndpointId& id : registry_.take_resolved()) {
        const EndpointReport& report = registry_.find(id)->report;
        log(LogLevel::Info, "address conflict resolved",
            {{"id", text_of(id)},
             {"address", report.address},
             {"stands", report.phase == EndpointPhase::Gone ? "no" : "yes"}});
        changed(report, true);
        plan_soon();
    }
}

// Two incarnations at one address: the address itself says which of them it is.
void Coordinator::settle_doubts(Time now) {
    for (const Registry::AddressCheck& question : registry_.take_address_checks(now))
        orders_.probe(question.endpoint, [this, question](bool alive) {
            if (!alive)
                return;
            registry_.confirmed(question, BootClock::now());
            pass_on_settled();
        });
}

void Coordinator::changed(const EndpointReport& report, bool to_peers) {
    groups_.observe(report, BootClock::now());
    const Membership& membership = report.membership;
    log(LogLevel::Info, "endpoint",
        {{"id", text_of(report.id)},
         {"address", report.address},
         {"phase", std::to_string(static_cast<int>(report.phase))},
         {"group", membership.group},
         {"state", report.grouped() ? std::string(name_of(membership.state)) : "none"},
         {"rank", std::to_string(membership.rank)},
         {"sequence", std::to_string(report.sequence)}});
    (to_peers ? changes_ : entry_changes_).push_back(report);
    telling_.schedule();
}

// Where hundreds of entry hosts are told of thousands of endpoints that register, a message to each
// of them for each turn of the loop took all of the processor share: so this is work at a pace.
void Coordinator::send_changes() {
    if (changes_.empty() && entry_changes_.empty())
        return;
    const EndpointChanges to_peers{std::exchange(changes_, {}), {}};
    // What peers told goes first: it may have ended whose place another has taken since.
    EndpointChanges to_entries{std::exchange(entry_changes_, {}), {}};
    to_entries.reports.insert(to_entries.reports.end(), to_peers.reports.begin(),
                              to_peers.reports.end());
    send_to_entries(to_entries);
    if (!to_peers.reports.empty())
        send_to_peers(to_peers);
}

void Coordinator::flush_alive() {
    if (alive_.empty())
        return;
    EndpointsAlive message;
    const std::set<EndpointId> heard = std::exchange(alive_, {});
    message.ids.assign(heard.begin(), heard.end());
    send_to_peers(message);
}

// ---- kept for the next start

bool Coordinator::settled(Time now) const {
    return now - started_ > RememberedFor;
}

// Not before the registry is whole again after a start: until then the old file is worth more.
// Where another control host went on meanwhile, the old file is worth nothing.
void Coordinator::keep_roster(Time now) {
    if (peer_settled_)
        remembered_.clear();
    const bool copied = peer_settled_ && !registry_.items().empty();
    if (!settled(now) && !copied)
        return;
    remembered_.clear();
    if (now < roster_due_)
        return;
    roster_due_ = now + RosterEvery;
    endpoint_cache_->keep(registry_, now - BeatsMissed * config_.bounds.beat);
}

} // namespace liftweir
