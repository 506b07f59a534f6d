// Run by liftweir-site-entry: quarantines requests that crash the endpoints which run them. Crashes
// that one call meets are reported to all entry hosts, since the request may be retried at any of
// them.

#include "process/gateway.h"
#include "process/logging.h"

#include <utility>

namespace liftweir {

// An endpoint that crashes aborts all its calls in one turn of the event loop. They are reported in
// one message.
void Gateway::aborted(const AbortedRequest& request, const EndpointId& id) {
    if (aborted_.empty())
        asio::post(io_, [this] { send_aborted(); });
    aborted_[id].push_back(request);
    const Time now = BootClock::now();
    if (!quarantine_.aborted(request, id, now))
        return;
    note_quarantined(request.content, now);
    send_to_control(SuspectRequests{{quarantine_.suspect_request(request.content, now)}, {}});
}

void Gateway::send_aborted() {
    for (auto& [endpoint, requests] : std::exchange(aborted_, {}))
        send_to_control(RequestsAborted{endpoint, std::move(requests)});
}

void Gateway::cleared(const Fingerprint& content) {
    if (!quarantine_.clear(content))
        return;
    log(LogLevel::Info, "request cleared", {{"content", text_of(content)}});
    send_to_control(SuspectRequests{{}, {content}});
}

// A control host that has restarted gets back from entry hosts what it knew before.
void Gateway::send_suspects(const std::string& address) {
    const std::vector<SuspectRequest> known = quarantine_.suspects_to_send(BootClock::now());
    if (!known.empty())
        control_[address]->send(SuspectRequests{known, {}});
}

void Gateway::on_suspects(const SuspectRequests& received) {
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
