// The command `liftweirctl timeline`: events of all processes in causal order.

#include "ctl/timelineview.h"

#include "ctl/httpget.h"

#include "process/clock.h"
#include "version/keys.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <thread>
#include <tuple>
#include <vector>

namespace liftweir {

namespace {

constexpr std::int64_t TicketValidityMs = 3600 * 1000;
constexpr long FetchTimeoutMs = 1500;
constexpr auto FollowInterval = std::chrono::milliseconds(500);

// One event with the key by which events are ordered.
struct Row {
    std::int64_t ms = 0;
    unsigned counter = 0;
    std::string process;
    std::uint64_t sequence = 0;
    Json::Value event;

    auto order() const { return std::tie(ms, counter, process, sequence); }
};

bool matches(const Row& row, const TimelineFilter& filter) {
    const Json::Value& e = row.event;
    if (row.ms < filter.since_ms)
        return false;
    if (!filter.host.empty() && e["host"].asString() != filter.host && row.process != filter.host)
        return false;
    if (filter.group != 0 && e["group"].asUInt64() != filter.group)
        return false;
    return filter.request.empty() || e["request"].asString().starts_with(filter.request);
}

std::string clock_text(std::int64_t ms) {
    constexpr std::int64_t MsPerSecond = 1000;
    const std::time_t seconds = ms / MsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%H:%M:%S", &parts);
    std::string out(text, length);
    const std::string millis = std::to_string(ms % MsPerSecond);
    return out + "." + std::string(3 - millis.size(), '0') + millis;
}

std::string padded(std::string text, std::size_t width) {
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

void print(const Row& row, bool json) {
    if (json) {
        Json::Value out = row.event;
        out["process"] = row.process;
        std::cout << to_text(out) << "\n";
        return;
    }
    const Json::Value& e = row.event;
    std::string line = clock_text(row.ms) + "  " + padded(row.process, 12) + " " +
                       padded(e["kind"].asString(), 18);
    for (const char* field : {"host", "group", "request", "detail", "cause"})
        if (e.isMember(field))
            line += std::string(" ") + field + "=" + e[field].asString();
    std::cout << line << "\n";
}

// Fetches the events of one process that follow `since` and appends them to `rows`. Returns the
// sequence number of the last event, or `since` where there is none. `problem` is set where the
// process could not be reached or has overwritten events that were not fetched.
std::uint64_t fetch(const std::string& name, const std::string& address, const std::string& ticket,
                    std::uint64_t since, std::vector<Row>& rows, std::string& problem) {
    const HttpGetResponse response = http_get(
        "http://" + address + "/events?since=" + std::to_string(since), ticket, FetchTimeoutMs);
    const auto body =
        response.status == 200 ? parse_json(response.body) : fail(FailureKind::Io, "not reached");
    if (!body) {
        problem = name + " could not be reached at " + address;
        return since;
    }
    if ((*body)["lost"].asUInt64() > 0)
        problem = name + " has lost " + (*body)["lost"].asString() + " events from its ring";
    for (const Json::Value& event : (*body)["events"]) {
        rows.push_back({event["ms"].asInt64(), event["counter"].asUInt(),
                        (*body)["process"].asString(), event["sequence"].asUInt64(), event});
        since = std::max(since, event["sequence"].asUInt64());
    }
    return since;
}

} // namespace

int show_timeline(Session& session, const TimelineFilter& filter) {
    std::map<std::string, std::uint64_t> last_sequence;
    while (true) {
        Json::Value params;
        params["valid_ms"] = Json::Int64(TicketValidityMs);
        const RpcResponse ticket = session.call("observe.ticket", params);
        if (ticket.kind != RpcResponse::Kind::Result) {
            std::cerr << "liftweirctl: " << ticket.type << ": " << ticket.detail << "\n";
            return exit_code_of(ticket);
        }
        std::vector<Row> rows;
        std::vector<std::string> problems;
        const auto collect = [&](const std::string& name, const std::string& address) {
            std::string problem;
            last_sequence[address] = fetch(name, address, ticket.result["ticket"].asString(),
                                           last_sequence[address], rows, problem);
            if (!problem.empty())
                problems.push_back(problem);
        };
        for (const std::string& address : session.control())
            collect("control at " + address, address);
        for (const Json::Value& process : ticket.result["processes"])
            collect(process["name"].asString(), process["http"].asString());
        std::sort(rows.begin(), rows.end(),
                  [](const Row& a, const Row& b) { return a.order() < b.order(); });
        for (const Row& row : rows)
            if (matches(row, filter))
                print(row, filter.json);
        for (const std::string& problem : problems)
            std::cerr << "# " << problem << "\n";
        if (!filter.follow)
            return CtlOk;
        std::this_thread::sleep_for(FollowInterval);
    }
}

} // namespace liftweir
