// The table of all metrics, and docs/METRICS.md as generated from it.

#include "process/metricnames.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr auto Counter = MetricKind::Counter;
constexpr auto Gauge = MetricKind::Gauge;
constexpr auto Histogram = MetricKind::Histogram;

constexpr std::string_view AllPrograms = "all";
constexpr std::string_view SiteEntry = "liftweir-site-entry";
constexpr std::string_view SiteControl = "liftweir-site-control";
constexpr std::string_view Entry = "liftweir-entry";
constexpr std::string_view Control = "liftweir-control";
constexpr std::string_view Agent = "liftweir-agent";

std::string_view name_of(MetricKind kind) {
    switch (kind) {
    case Counter:
        return "counter";
    case Gauge:
        return "gauge";
    case Histogram:
        return "histogram";
    }
    return "unknown";
}

} // namespace

const std::vector<MetricInfo>& metric_table() {
    static const std::vector<MetricInfo> table = {
        {"liftweir_calls", Counter, "calls", "route, class", SiteEntry,
         "Ended calls by route and status class; 0xx: no complete answer."},
        {"liftweir_call_seconds", Histogram, "s", "", SiteEntry,
         "From a request's arrival to the end of its answer."},
        {"liftweir_first_event_seconds", Histogram, "s", "", SiteEntry,
         "From a request's arrival to the first event of its stream."},
        {"liftweir_longest_pause_seconds", Histogram, "s", "", SiteEntry,
         "The longest pause between two events of a stream."},
        {"liftweir_caller_gone_seconds", Histogram, "s", "", SiteEntry,
         "From the detection that a caller has disconnected to the cancellation at its endpoint."},
        {"liftweir_sent_again", Counter, "sends", "", SiteEntry,
         "Retries of requests; they count against the retry budget."},
        {"liftweir_retries_over_budget", Counter, "retries", "service", SiteEntry,
         "Retries that were not sent because the retry budget of their service was used up."},
        {"liftweir_retry_slack_share", Gauge, "share", "", SiteEntry,
         "Share of the fixed part of retry budgets that this host may use, 0 to 1."},
        {"liftweir_resumed", Counter, "streams", "", SiteEntry,
         "Streams that went on at another group."},
        {"liftweir_attempts_ended", Counter, "attempts", "by, begun", SiteEntry,
         "Attempts that ended without their whole answer, by who ended them (endpoint or this "
         "host), and whether an event had arrived."},
        {"liftweir_streams_ended", Counter, "streams", "framing, partial_event", SiteEntry,
         "Streams of endpoints that came to their end, by what marked the end (length, chunks or "
         "close), and whether it was inside an event."},
        {"liftweir_refused", Counter, "requests", "kind", SiteEntry,
         "Requests that this host answered itself, before an endpoint was chosen."},
        {"liftweir_first_attempts", Counter, "requests", "event", SiteEntry,
         "First attempts at models: arrived, admitted, refused, or abandoned before an event."},
        {"liftweir_quarantine_refused", Counter, "requests", "", SiteEntry,
         "Requests rejected because requests of the same content, or with the same part of the "
         "prompt, crashed endpoints."},
        {"liftweir_requests_quarantined", Gauge, "requests", "", "liftweir-site-*",
         "Distinct requests and shared parts of prompts that are under quarantine."},
        {"liftweir_late_ticks", Counter, "ticks", "", SiteControl,
         "Times that the event loop was 200 ms late or more; a leader may lose its leadership."},
        {"liftweir_models_overloaded", Gauge, "models", "", "liftweir-site-*",
         "Models whose admission is limited by the leader's plan; 0 at control hosts that do not "
         "lead."},
        {"liftweir_admission_refused", Counter, "requests", "reason", SiteEntry,
         "Requests rejected by the admission plan: less urgent than what the groups can take "
         "(urgency), or over the customer's share (share)."},
        {"liftweir_zones_out_of_use", Gauge, "zones", "", "liftweir-site-*",
         "Availability zones whose endpoints get no new requests."},
        {"liftweir_endpoints_limited", Gauge, "endpoints", "", SiteEntry,
         "Endpoints with a limit of requests a second of their own."},
        {"liftweir_endpoint_words_ignored", Counter, "answers", "what, why", SiteEntry,
         "Answers of endpoints with an invalid limit or back-off time."},
        {"liftweir_rests_asked", Counter, "answers", "", SiteEntry,
         "Answers of endpoints that rejected a request and named a back-off time."},
        {"liftweir_held_back_refused", Counter, "requests", "", SiteEntry,
         "Requests rejected because all endpoints were at their limits or in back-off."},
        {"liftweir_retries_told", Counter, "requests", "booked", SiteEntry,
         "Requests rejected for lack of a group with capacity, with and without a booked retry."},
        {"liftweir_returns", Counter, "requests", "due, served, told", SiteEntry,
         "Retries of rejected callers by the time in seconds that they waited; due: before the "
         "longest wait."},
        {"liftweir_calls_in_flight", Gauge, "calls", "", SiteEntry, "Calls in flight."},
        {"liftweir_taken_while_leaving", Counter, "requests", "connection", SiteEntry,
         "Requests that arrived after the signal to stop, on a kept or on a new connection."},
        {"liftweir_unread_bytes", Gauge, "bytes", "", SiteEntry,
         "Bytes of answers held for callers that have not read them yet, the kernel's included."},
        {"liftweir_request_bytes", Gauge, "bytes", "", SiteEntry,
         "Bytes of callers' requests that are held: heads, bodies and pipelined bytes."},
        {"liftweir_refused_for_memory", Gauge, "requests", "", SiteEntry,
         "Requests refused with 503 since the start because the memory for requests was short."},
        {"liftweir_closed_for_others", Gauge, "connections", "", SiteEntry,
         "Callers' connections closed since the start, at the limit of connections, for new ones."},
        {"liftweir_incomplete_bytes", Gauge, "bytes", "", SiteEntry,
         "Bytes of endpoints' responses that are held until the responses, or their events, are "
         "complete."},
        {"liftweir_unread_ended", Counter, "answers", "reason", SiteEntry,
         "Answers ended because their callers did not read: unread too long, or too much memory."},
        {"liftweir_requests_held", Gauge, "requests", "", SiteEntry,
         "Requests that wait for the first settings after a start."},
        {"liftweir_connections_opened", Gauge, "connections", "", SiteEntry,
         "Connections to endpoints opened since the start."},
        {"liftweir_document_version", Gauge, "version", "", SiteEntry,
         "Version of the operators' document in force at this host."},
        {"liftweir_lease_left_seconds", Gauge, "s", "", SiteEntry,
         "Time left of the settings lease; below zero, customer keys are rejected."},
        {"liftweir_orders", Counter, "orders", "kind", SiteControl, "Orders sent to endpoints."},
        {"liftweir_demand_work", Gauge, "groups", "model", SiteControl,
         "Groups that callers' first attempts keep busy; 0 where this host does not lead."},
        {"liftweir_demand_ignored", Counter, "lines", "why", SiteControl,
         "Lines of demand reports with an invalid number, or beyond the most lines of a report."},
        {"liftweir_reports_refused", Counter, "reports", "why", SiteControl,
         "Invalid reports under an endpoint's name, by fault."},
        {"liftweir_groups_recorded", Counter, "groups", "", SiteControl,
         "Groups written into the replicated log before their first order."},
        {"liftweir_order_seconds", Histogram, "s", "", SiteControl,
         "From an order to its answer or its timeout."},
        {"liftweir_departures", Gauge, "endpoints", "", SiteControl,
         "Endpoints in the replicated log that have left or are about to."},
        {"liftweir_leave_seconds", Histogram, "s", "", SiteControl,
         "From the report of an endpoint that leaves to its acknowledgement."},
        {"liftweir_leaves_unrecorded", Counter, "reports", "", SiteControl,
         "Reports of endpoints that leave without an acknowledgement, since no leader recorded "
         "them."},
        {"liftweir_document_seconds", Histogram, "s", "", SiteControl,
         "From the receipt of an operators' document to its acknowledgement."},
        {"liftweir_endpoints", Gauge, "endpoints", "", SiteControl, "Known endpoints."},
        {"liftweir_leads", Gauge, "0 or 1", "", SiteControl, "Whether this host leads."},
        {"liftweir_voters", Gauge, "hosts", "", SiteControl, "Voters in this host's log."},
        {"liftweir_storage_failures", Counter, "failures", "", SiteControl,
         "Storage operations that failed; the log is closed and read again."},
        {"liftweir_requests_total", Counter, "requests", "outcome", Entry,
         "Ended requests by outcome."},
        {"liftweir_retries_total", Counter, "retries", "", Entry, "Requests sent again."},
        {"liftweir_retry_budget", Gauge, "retries", "", Entry, "Retries left in the budget."},
        {"liftweir_first_token_seconds", Histogram, "s", "", Entry,
         "From a request's arrival to its first token."},
        {"liftweir_answer_seconds", Histogram, "s", "", Entry,
         "From a request's arrival to its complete answer."},
        {"liftweir_in_flight", Gauge, "requests", "", "liftweir-entry, liftweir-agent",
         "Requests in flight."},
        {"liftweir_attempts_started_total", Counter, "attempts", "", Agent,
         "Attempts forwarded to the endpoint."},
        {"liftweir_refused_total", Counter, "attempts", "reason", Agent,
         "Attempts rejected by the agent; they have not run."},
        {"liftweir_settings_in_force_seconds", Histogram, "s", "", Control,
         "From a change of settings until it is in force at all entry hosts."},
        {"liftweir_log_lines_dropped", Counter, "lines", "", AllPrograms,
         "Log lines dropped: over the limit a second, or the reader was behind."},
        {"liftweir_link_bytes_total", Counter, "bytes", "direction", AllPrograms,
         "Bytes over the links between processes."},
        {"liftweir_link_messages_total", Counter, "messages", "direction", AllPrograms,
         "Messages over the links between processes."},
        {"liftweir_link_refused_total", Counter, "links", "", AllPrograms,
         "Links rejected: a wrong key, another protocol version, or malformed data."},
        {"liftweir_link_queued_bytes", Gauge, "bytes", "", AllPrograms,
         "Bytes in the send queues of all links."},
        {"liftweir_link_sent_bytes_total", Counter, "bytes", "kind", AllPrograms,
         "Bytes queued for sending on links, by kind of message."},
        {"process_cpu_seconds_total", Counter, "s", "", AllPrograms, "CPU time."},
        {"process_resident_memory_bytes", Gauge, "bytes", "", AllPrograms, "Resident memory."},
    };
    return table;
}

const MetricInfo* find_metric(std::string_view name) {
    const auto& table = metric_table();
    const auto found = std::find_if(table.begin(), table.end(),
                                    [&](const MetricInfo& info) { return info.name == name; });
    return found == table.end() ? nullptr : &*found;
}

std::string metrics_page() {
    std::string page = "# Metrics\n\nGenerated by `liftweirctl metrics` from the table in "
                       "`src/process/metricnames.cpp`. Served as text at `/metrics`.\n\n"
                       "| metric | kind | unit | labels | programs | meaning |\n"
                       "| --- | --- | --- | --- | --- | --- |\n";
    for (const MetricInfo& info : metric_table()) {
        page += "| `" + std::string(info.name) + "` | " + std::string(name_of(info.kind)) + " | " +
                std::string(info.unit) + " | " + std::string(info.labels) + " | " +
                std::string(info.programs) + " | " + std::string(info.meaning) + " |\n";
    }
    return page;
}

} // namespace liftweir
