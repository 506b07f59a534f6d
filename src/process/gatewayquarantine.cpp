// Run by liftweir-site-entry: quarantines requests, and parts of prompts, that crash the endpoints
// which run them. Crashes that one call meets are reported to all entry hosts, since the request
// may be retried, and other requests with the part may arrive, at any of them.

#include "process/gateway.h"
#include "process/logging.h"

#include <algorithm>
#include <utility>

namespace liftweir {

// An endpoint that crashes aborts all its calls in one turn of the event loop. They are reported in
// one message.
void Gateway::aborted(const AbortedRequest& request, const std::vector<Fingerprint>& parts,
                      const EndpointId& id) {
    if (aborted_.empty())
        asio::post(io_, [this] { send_aborted(); });
    AbortReport& report = aborted_[id];
    report.requests.push_back(request);
    for (const Fingerprint& part : parts) {
        std::uint32_t& age_ms = report.parts.try_emplace(part, request.age_ms).first->second;
        age_ms = std::min(age_ms, request.age_ms);
    }
    const Time now = BootClock::now();
    if (!quarantine_.aborted(request, id, now))
        return;
    note_quarantined(request.content, now);
    send_to_control(SuspectRequests{{quarantine_.suspect_request(request.content, now)}, {}, {}});
}

void Gateway::send_aborted() {
    for (auto& [endpoint, report] : std::exchange(aborted_, {})) {
        RequestsAborted message{endpoint, std::move(report.requests), {}};
        for (const auto& [part, age_ms] : report.parts)
            message.parts.push_back({part, age_ms, answered_parts_.contains(part)});
        send_to_control(message);
    }
}

void Gateway::cleared(const Fingerprint& content) {
    if (!quarantine_.clear(content))
        return;
    log(LogLevel::Info, "request cleared", {{"content", text_of(content)}});
    send_to_control(SuspectRequests{{}, {content}, {}});
}

void Gateway::answered(const std::vector<Fingerprint>& parts) {
    const Time now = BootClock::now();
    for (const Fingerprint& part : parts) {
        answered_parts_.add(part, now);
        if (quarantine_.is_suspect(part))
            cleared(part);
    }
}

// A control host that has restarted gets back from entry hosts what it knew before.
void Gateway::send_suspects(const std::string& address) {
    const std::vector<SuspectRequest> known = quarantine_.suspects_to_send(BootClock::now());
    if (!known.empty())
        control_[address]->send(SuspectRequests{known, {}, {}});
}

// Tells the control host which of the parts that it suspects have been answered here.
void Gateway::send_answered(const std::string& address,
                            const std::vector<SuspectRequest>& suspects) {
    std::vector<Fingerprint> answered;
    for (const SuspectRequest& suspect : suspects)
        if (!suspect.answered && answered_parts_.contains(suspect.content))
            answered.push_back(suspect.content);
    if (!answered.empty())
        control_[address]->send(SuspectRequests{{}, {}, std::move(answered)});
}

void Gateway::on_suspects(const std::string& address, const SuspectRequests& received) {
    send_answered(address, received.known);
    const Time now = BootClock::now();
    for (const Fingerprint& content : received.cleared)
        quarantine_.clear(content);
    for (const SuspectRequest& suspect_request : received.known)
        if (quarantine_.merge(suspect_request, now))
            note_quarantined(suspect_request.content, now);
}

void Gateway::note_quarantined(const Fingerprint& content, Time now) {
    const SuspectRequest held = quarantine_.suspect_request(content, now);
    log(LogLevel::Warning, "request under quarantine",
        {{"content", text_of(content)},
         {"ends", std::to_string(held.crashes)},
         {"left_ms", std::to_string(held.left_ms)}});
    // Runs later from the event loop, since this function may have been called by one of the calls.
    asio::post(io_, [this] {
        for (const auto& call : calls())
            call->check_quarantine(BootClock::now());
    });
}

} // namespace liftweir
