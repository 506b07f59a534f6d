// Run by liftweir-site-control: combines what entry hosts observed of requests and parts of prompts
// that crash endpoints. Each control host counts by itself and notifies its entry hosts at once.
// The replicated log keeps the quarantine decisions across a power loss of all hosts.

#include "process/coordinator.h"
#include "process/logging.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace liftweir {

void Coordinator::on_aborted(const Link::Ptr& link, const RequestsAborted& aborted, Time now) {
    // An entry host may have links to some of the control hosts only.
    if (link->peer().role == ProcessRole::Entry)
        send_to_peers(aborted);
    SuspectRequests updates;
    for (const AbortedRequest& request : aborted.requests)
        add_crash(request.content, quarantine_.aborted(request, aborted.endpoint, now), now,
                  updates);
    for (const AbortedPart& part : aborted.parts)
        add_crash(part.part, quarantine_.aborted(part, aborted.endpoint, now), now, updates);
    if (!updates.known.empty())
        send_to_entries(updates);
}

void Coordinator::add_crash(const Fingerprint& content, bool quarantined, Time now,
                            SuspectRequests& updates) {
    if (quarantined) {
        note_quarantined(content, now);
        send_decision_to_peers(quarantine_.suspect_request(content, now));
    }
    const SuspectRequest known = quarantine_.suspect_request(content, now);
    if (known.crashes > 1)
        updates.known.push_back(known);
}

// Entry hosts answer each first suspicion of a part with what they know, in time before a further
// crash. After a restart of this host that may be too late, so the quarantine is lifted again.
void Coordinator::note_answered(const std::vector<Fingerprint>& parts, Time now) {
    std::vector<Fingerprint> lifted;
    for (const Fingerprint& part : parts)
        if (quarantine_.note_answered(part, now))
            lifted.push_back(part);
    if (lifted.empty())
        return;
    send_to_peers(SuspectRequests{{}, lifted, {}});
    clear(lifted);
}

void Coordinator::on_suspects(const Link::Ptr& link, const SuspectRequests& received, Time now) {
    if (link->peer().role == ProcessRole::Entry && !received.cleared.empty())
        send_to_peers(SuspectRequests{{}, received.cleared, {}});
    clear(received.cleared);
    note_answered(received.answered, now);
    SuspectRequests updates;
    for (const SuspectRequest& suspect_request : received.known) {
        if (!quarantine_.merge(suspect_request, now))
            continue;
        note_quarantined(suspect_request.content, now);
        updates.known.push_back(quarantine_.suspect_request(suspect_request.content, now));
    }
    if (!updates.known.empty())
        send_to_entries(updates);
}

// Lifts the quarantine of requests that an endpoint has answered whole. Where the replicated log
// has a quarantine entry for a request, or may be about to commit one, the leader proposes its
// removal too. Without that, a quarantine lifted before its entry was committed would come back
// after a restart.
void Coordinator::clear(const std::vector<Fingerprint>& contents) {
    SuspectRequests updates;
    for (const Fingerprint& content : contents) {
        const bool held = quarantine_.remaining(content, BootClock::now()) > Duration::zero();
        if (!quarantine_.clear(content))
            continue;
        updates.cleared.push_back(content);
        if (leads() && (held || replica_->state().quarantined().contains(content))) {
            replica_->propose(QuarantineRequest{content, 0, 0, wall_millis()},
                              [](const Expected<ApplyResult>&) {});
            pump_soon();
        }
    }
    if (!updates.cleared.empty())
        send_to_entries(updates);
}

void Coordinator::note_quarantined(const Fingerprint& content, Time now) {
    const SuspectRequest held = quarantine_.suspect_request(content, now);
    std::string endpoints;
    for (const EndpointId& endpoint : held.endpoints)
        endpoints += (endpoints.empty() ? "" : ",") + text_of(endpoint);
    log(LogLevel::Warning, "request under quarantine",
        {{"content", text_of(content)},
         {"ends", std::to_string(held.crashes)},
         {"endpoints", endpoints},
         {"left_ms", std::to_string(held.left_ms)}});
    if (!leads())
        return;
    propose_quarantine(held);
    probe_aborting_endpoints(held);
}

// Connections may also be aborted by the network, or by an endpoint that keeps running. An endpoint
// that still answers as the same incarnation has not crashed, so the request did not crash it.
// Without this check, a request that three running endpoints aborted would be quarantined for ten
// minutes for all callers that send the same. Endpoints that did crash do not answer. A part of
// prompts is in many requests, one of which may well meet a broken connection, so one endpoint of
// several does not clear it.
void Coordinator::probe_aborting_endpoints(const SuspectRequest& held) {
    const std::size_t counted = std::min<std::size_t>(held.crashes, held.endpoints.size());
    const std::size_t alive_to_clear = is_prompt_part(held.content) ? counted / 2 + 1 : 1;
    const auto alive_count = std::make_shared<std::size_t>(0);
    for (auto id = held.endpoints.end() - static_cast<std::ptrdiff_t>(counted);
         id != held.endpoints.end(); ++id) {
        // Without its process start in the id, a restarted endpoint can not be distinguished from
        // one that kept running.
        const Registry::Item* item = registry_.find(*id);
        if (item == nullptr || !id->has_start_time())
            continue;
        orders_.probe(item->report, [this, content = held.content, endpoint = *id, alive_count,
                                     alive_to_clear](bool alive) {
            if (!alive || ++*alive_count != alive_to_clear)
                return;
            log(LogLevel::Info, "request cleared: an endpoint that aborted it is still running",
                {{"content", text_of(content)}, {"endpoint", text_of(endpoint)}});
            // Peers are notified directly as well: where the log applies quarantine and removal in
            // one step, they would never see the removal.
            send_to_peers(SuspectRequests{{}, {content}, {}});
            clear({content});
        });
    }
}

// Sends a quarantine decision to all peers, so that the leader writes it into the log. A control
// host that receives the reports of two crashes late may count them as one: on a busy machine one
// control host of three quarantined a request, and neither the leader nor the log knew of it.
void Coordinator::send_decision_to_peers(const SuspectRequest& held) {
    send_to_peers(SuspectRequests{{held}, {}, {}});
}

void Coordinator::propose_quarantine(const SuspectRequest& held) {
    const std::int64_t now_ms = wall_millis();
    replica_->propose(QuarantineRequest{held.content, held.crashes, now_ms + held.left_ms, now_ms},
                      [](const Expected<ApplyResult>&) {});
    pump_soon();
}

// Proposes the quarantines that are not in the log, or are there with fewer crashes: those that
// were decided under an earlier leader, or have grown since. Runs once a second.
void Coordinator::propose_missing_quarantines() {
    if (!leads())
        return;
    const auto& logged = replica_->state().quarantined();
    for (const SuspectRequest& known : quarantine_.suspects_to_send(BootClock::now())) {
        const auto found = logged.find(known.content);
        if (known.left_ms > 0 && (found == logged.end() || found->second.crashes < known.crashes))
            propose_quarantine(known);
    }
}

// Takes over the quarantine decisions of the log, among them those from before a restart.
void Coordinator::quarantine_applied() {
    const auto& logged = replica_->state().quarantined();
    if (logged == applied_quarantine_)
        return;
    const Time now = BootClock::now();
    const std::int64_t now_ms = wall_millis();
    SuspectRequests updates;
    for (const auto& [content, record] : logged) {
        const std::int64_t left_ms = record.until_ms - now_ms;
        if (left_ms <= 0)
            continue;
        const SuspectRequest received{
            content, record.crashes, {}, static_cast<std::uint32_t>(left_ms), false};
        if (quarantine_.merge(received, now))
            updates.known.push_back(quarantine_.suspect_request(content, now));
    }
    for (const auto& [content, record] : applied_quarantine_)
        if (!logged.contains(content) && record.until_ms > now_ms && quarantine_.clear(content))
            updates.cleared.push_back(content);
    applied_quarantine_ = logged;
    send_to_entries(updates);
}

} // namespace liftweir
