// The side of Gateway that holds back requests which end the endpoints that run them. What one call
// meets, the other entry hosts have to know: the request comes again at any of them.

#include "process/gateway.h"
#include "process/logging.h"

#include <utility>

namespace liftweir {

// An endpoint that ends breaks all its calls off in one turn of the loop: told together.
void Gateway::aborted(const AbortedRequest& request, const EndpointId& id) {
    if (cut_off_.empty())
        asio::post(io_, [this] { tell_cut_off(); });
    cut_off_[id].push_back(request);
    const Time now = BootClock::now();
    if (!quarantine_.aborted(request, id, now))
        return;
    note_quarantined(request.content, now);
    send_to_control(SuspectRequests{{quarantine_.suspicion(request.content, now)}, {}});
}

void Gateway::tell_cut_off() {
    for (auto& [endpoint, requests] : std::exchange(cut_off_, {}))
        send_to_control(RequestsAborted{endpoint, std::move(requests)});
}

void Gateway::cleared(const Fingerprint& content) {
    if (!quarantine_.clear(content))
        return;
    log(LogLevel::Info, "request cleared", {{"content", text_of(content)}});
    send_to_control(SuspectRequests{{}, {content}});
}

// A control host that has just begun learns from entry hosts what it knew.
void Gateway::tell_suspicions(const std::string& address) {
    const std::vector<SuspectRequest> known = quarantine_.suspects_to_send(BootClock::now());
    if (!known.empty())
        control_[address]->send(SuspectRequests{known, {}});
}

void Gateway::on_suspicions(const SuspectRequests& told) {
    const Time now = BootClock::now();
    for (const Fingerprint& content : told.cleared)
        quarantine_.clear(content);
    for (const SuspectRequest& suspicion : told.known)
        if (quarantine_.merge(suspicion, now))
            note_quarantined(suspicion.content, now);
}

void Gateway::note_quarantined(const Fingerprint& content, Time now) {
    const SuspectRequest held = quarantine_.suspicion(content, now);
    log(LogLevel::Warning, "request under quarantine",
        {{"content", text_of(content)},
         {"ends", std::to_string(held.ends)},
         {"left_ms", std::to_string(held.left_ms)}});
    // From the loop: this may run within one of the calls.
    asio::post(io_, [this] {
        for (const auto& call : calls())
            call->check_quarantine(BootClock::now());
    });
}

} // namespace liftweir
