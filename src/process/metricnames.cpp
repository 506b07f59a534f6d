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
         "Ended calls by route and status class; 0xx: no whole answer."},
        {"liftweir_call_seconds", Histogram, "s", "", SiteEntry,
         "From a request's arrival to the end of its answer."},
        {"liftweir_first_event_seconds", Histogram, "s", "", SiteEntry,
         "From a request's arrival to the first event of its stream."},
        {"liftweir_longest_pause_seconds", Histogram, "s", "", SiteEntry,
         "The longest pause between two events of a stream."},
        {"liftweir_caller_gone_seconds", Histogram, "s", "", SiteEntry,
         "From when a caller was seen to have left to when its endpoint was told to stop."},
        {"liftweir_sent_again", Counter, "sends", "", SiteEntry,
         "Sends of a request beyond its first; they come out of the budget of repeats."},
        {"liftweir_resumed", Counter, "streams", "", SiteEntry,
         "Streams that went on at another group."},
        {"liftweir_refused", Counter, "requests", "kind", SiteEntry,
         "Requests answered without an endpoint, before their route was served."},
        {"liftweir_quarantine_refused", Counter, "requests", "", SiteEntry,
         "Requests refused because what they ask has ended the endpoints that ran it."},
        {"liftweir_requests_quarantined", Gauge, "requests", "", "liftweir-site-*",
         "Different requests that no endpoint gets for now."},
        {"liftweir_endpoints_limited", Gauge, "endpoints", "", SiteEntry,
         "Endpoints that name a limit of requests a second."},
        {"liftweir_endpoint_words_ignored", Counter, "answers", "what, why", SiteEntry,
         "Answers of endpoints that name a limit or a rest which can not be read."},
        {"liftweir_rests_asked", Counter, "answers", "", SiteEntry,
         "Answers of endpoints that turned a request away and asked for rest."},
        {"liftweir_held_back_refused", Counter, "requests", "", SiteEntry,
         "Requests refused because all endpoints were at the limits that they name, or rested."},
        {"liftweir_calls_in_flight", Gauge, "calls", "", SiteEntry, "Calls under way."},
        {"liftweir_taken_while_leaving", Counter, "requests", "connection", SiteEntry,
         "Requests that came after the signal to stop, on a kept or on a new connection."},
        {"liftweir_requests_held", Gauge, "requests", "", SiteEntry,
         "Requests that wait for the first settings after a start."},
        {"liftweir_connections_opened", Gauge, "connections", "", SiteEntry,
         "Connections to endpoints opened since the start."},
        {"liftweir_document_version", Gauge, "version", "", SiteEntry,
         "The operators' document in force at this host."},
        {"liftweir_lease_left_seconds", Gauge, "s", "", SiteEntry,
         "How long keys are still believed; below zero they are not."},
        {"liftweir_orders", Counter, "orders", "kind", SiteControl, "Orders given to endpoints."},
        {"liftweir_reports_refused", Counter, "reports", "why", SiteControl,
         "Reports under an endpoint's name that no endpoint of ours would write."},
        {"liftweir_groups_recorded", Counter, "groups", "", SiteControl,
         "Groups written into the replicated log before their first order."},
        {"liftweir_order_seconds", Histogram, "s", "", SiteControl,
         "From an order to its answer, or to being given up."},
        {"liftweir_document_seconds", Histogram, "s", "", SiteControl,
         "From an operator's document to its being on enough disks."},
        {"liftweir_endpoints", Gauge, "endpoints", "", SiteControl, "Endpoints known."},
        {"liftweir_leads", Gauge, "0 or 1", "", SiteControl, "Whether this host leads."},
        {"liftweir_voters", Gauge, "hosts", "", SiteControl, "Voters in this host's log."},
        {"liftweir_storage_failures", Counter, "failures", "", SiteControl,
         "Writes that failed; the log is closed and read anew."},
        {"liftweir_requests_total", Counter, "requests", "outcome", Entry,
         "Ended requests by outcome."},
        {"liftweir_retries_total", Counter, "retries", "", Entry, "Requests sent again."},
        {"liftweir_retry_budget", Gauge, "retries", "", Entry, "Retries that are left."},
        {"liftweir_first_token_seconds", Histogram, "s", "", Entry,
         "From a request's arrival to its first token."},
        {"liftweir_answer_seconds", Histogram, "s", "", Entry,
         "From a request's arrival to its whole answer."},
        {"liftweir_in_flight", Gauge, "requests", "", "liftweir-entry, liftweir-agent",
         "Requests under way."},
        {"liftweir_attempts_started_total", Counter, "attempts", "", Agent,
         "Attempts passed on to the endpoint."},
        {"liftweir_refused_total", Counter, "attempts", "reason", Agent,
         "Attempts refused at the gate; they have not run."},
        {"liftweir_settings_in_force_seconds", Histogram, "s", "", Control,
         "From a change of settings to its being in force everywhere."},
        {"liftweir_log_lines_dropped", Counter, "lines", "", AllPrograms,
         "Log lines left out: over the budget of lines, or the reader was behind."},
        {"liftweir_link_bytes_total", Counter, "bytes", "direction", AllPrograms,
         "Bytes over the links between processes."},
        {"liftweir_link_messages_total", Counter, "messages", "direction", AllPrograms,
         "Messages over the links between processes."},
        {"liftweir_link_refused_total", Counter, "links", "", AllPrograms,
         "Links refused: a wrong key, another protocol, or garbage."},
        {"liftweir_link_queued_bytes", Gauge, "bytes", "", AllPrograms,
         "Bytes that wait in the send queues of all links."},
        {"liftweir_link_sent_bytes_total", Counter, "bytes", "kind", AllPrograms,
         "Bytes given to links to send, by kind of message."},
        {"process_cpu_seconds_total", Counter, "s", "", AllPrograms, "Processor time."},
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
