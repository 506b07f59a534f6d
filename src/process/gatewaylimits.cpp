// Run by liftweir-site-entry: applies the limits, back-off times and shutdown notices that
// endpoints send in their answers, reports them to control hosts, and takes this host's shares of
// the limits.

#include "process/gateway.h"
#include "process/logging.h"

namespace liftweir {

// Renews at once, so that this host gets its share of a new limit soon.
void Gateway::limit_changed(const EndpointId& id, const char* from) {
    const double limit = directory_.limits().book().limit(id);
    log(LogLevel::Info, "endpoint limit",
        {{"endpoint", text_of(id)}, {"per_second", std::to_string(limit)}, {"from", from}});
    if (limit > 0)
        renew_all_soon();
}

void Gateway::note_ignored_header(const EndpointId& id, const char* what, NumberFault fault) {
    const std::string why(name_of(fault));
    Metrics::instance()
        .counter("liftweir_endpoint_words_ignored",
                 std::string("what=\"") + what + "\",why=\"" + why + "\"")
        .add();
    log(LogLevel::Warning, "endpoint header ignored",
        {{"endpoint", text_of(id)}, {"what", what}, {"why", why}});
}

// Requests in flight at the endpoint continue.
void Gateway::mark_leaving(const EndpointId& id) {
    if (!directory_.mark_leaving(id, BootClock::now()))
        return;
    log(LogLevel::Info, "endpoint leaves", {{"endpoint", text_of(id)}, {"from", "answer"}});
    send_to_control(EndpointsLeaving{{id}});
}

void Gateway::on_leaving(const EndpointsLeaving& received) {
    for (const EndpointId& id : received.ids)
        if (directory_.mark_leaving(id, BootClock::now()))
            log(LogLevel::Info, "endpoint leaves",
                {{"endpoint", text_of(id)}, {"from", "control"}});
}

void Gateway::note_backoff(const EndpointId& id, const ResponseSignals& note) {
    if (note.backoff_fault != NumberFault::None) {
        note_ignored_header(id, "rest", note.backoff_fault);
        return;
    }
    directory_.back_off(id, note.backoff, BootClock::now());
    Metrics::instance().counter("liftweir_rests_asked").add();
    log(LogLevel::Info, "endpoint requested back-off",
        {{"endpoint", text_of(id)}, {"rest_ms", std::to_string(to_millis(note.backoff))}});
}

void Gateway::report_limit(const EndpointId& id, const ResponseSignals& note, Time sent) {
    if (note.limit_fault != NumberFault::None) {
        note_ignored_header(id, "limit", note.limit_fault);
        return;
    }
    if (!directory_.limits().book().add_report(id, note.limit_per_second, sent))
        return;
    limit_changed(id, "answer");
    send_limits(BootClock::now());
}

// Sends all limits each time: they are few, and a control host that has just started knows none.
void Gateway::send_limits(Time now) {
    const ReportedLimits& book = directory_.limits().book();
    if (!book.empty())
        send_to_control(LimitReports{book.reports(now)});
}

void Gateway::on_limit_reports(const LimitReports& received) {
    const Time now = BootClock::now();
    for (const LimitReport& limit_report : received.reports)
        if (directory_.limits().book().merge(limit_report, now))
            limit_changed(limit_report.endpoint, "control");
}

// The share expires a fixed time after its renewal was sent, however long the answer took. The
// leader counts that time from when it received the renewal, so it never expires a share earlier.
void Gateway::on_limit_shares(const std::string& address, const LimitShares& granted) {
    const auto node = nodes_.find(address);
    if (node == nodes_.end())
        return;
    if (const auto asked = lease_.renewal_sent_at(node->second, granted.sequence))
        directory_.limits().grant_shares(granted.limit_shares, *asked + LimitShareTime);
}

} // namespace liftweir
