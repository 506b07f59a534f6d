// The command `liftweirctl why`: relates the logs of all processes to one request.

#include "ctl/why.h"

#include "ctl/session.h"
#include "process/storage.h"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string_view>

namespace liftweir {

namespace {

// How far before the request, and after its end, a related line may be. A cause precedes its effect
// by less than the duration of a failover of the control host and a group repair together.
constexpr std::int64_t LookbackMs = 4000;
constexpr std::int64_t LookaheadMs = 300;

// Messages that concern every request of the process that logged them. Changes of the leader and of
// the voters concern the requests of all processes.
constexpr std::array<std::string_view, 10> GlobalMessages = {
    "leads",
    "leads no more",
    "document in force",
    "settings lease held",
    "settings lease lost",
    "storage failed; the log is closed until it can be read again",
    "voters change",
    "started",
    "leaving",
    "stopped"};

std::string field(const LogLine& line, const char* name) {
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? "" : found->second;
}

// The name of a request without its attempt. An entry host names requests ENTRY-NUMBER-ATTEMPT,
// with attempt 0 for the request as a whole. A name in another form is returned unchanged.
std::string without_attempt(const std::string& request) {
    const auto last = request.rfind('-');
    const bool numbers = request.find_first_not_of("0123456789-") == std::string::npos &&
                         std::count(request.begin(), request.end(), '-') == 2;
    return numbers ? request.substr(0, last) : request;
}

// Whether the line names the request or one of its attempts.
bool names_request(const LogLine& line, const std::string& request) {
    const std::string named = field(line, "request");
    return !named.empty() && without_attempt(named) == without_attempt(request);
}

// Log lines name an endpoint NAME or NAME@START, where START is the start time of its process.
// Lines about any incarnation count, and so do lines that name no incarnation.
std::string name_of_endpoint(const std::string& endpoint) {
    return endpoint.substr(0, endpoint.find('@'));
}

std::set<std::string> names_in(const std::string& list) {
    std::set<std::string> out;
    std::istringstream in(list);
    for (std::string item; std::getline(in, item, ',');)
        out.insert(name_of_endpoint(item));
    return out;
}

// Whether the line concerns one of the endpoints, which the field `endpoint` or `id` names.
bool names_any_of(const LogLine& line, const std::set<std::string>& endpoints) {
    return endpoints.contains(name_of_endpoint(field(line, "endpoint"))) ||
           endpoints.contains(name_of_endpoint(field(line, "id")));
}

// What a request involved: its endpoints, their groups, the processes that logged it, and the time
// from its arrival to its last line, in milliseconds of wall time.
struct RequestScope {
    std::set<std::string> endpoints;
    std::set<std::string> groups;
    std::set<std::string> processes;
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
};

RequestScope scope_of(const std::string& request, const std::vector<LogLine>& lines) {
    RequestScope scope;
    for (const LogLine& line : lines) {
        if (!names_request(line, request))
            continue;
        if (!field(line, "group").empty())
            scope.groups.insert(field(line, "group"));
        scope.processes.insert(line.process);
        scope.endpoints.merge(names_in(field(line, "endpoints")));
        if (!field(line, "endpoint").empty())
            scope.endpoints.insert(name_of_endpoint(field(line, "endpoint")));
        std::int64_t took_ms = 0;
        std::istringstream(field(line, "took_ms")) >> took_ms;
        scope.from_ms =
            scope.from_ms == 0 ? line.ms - took_ms : std::min(scope.from_ms, line.ms - took_ms);
        scope.to_ms = std::max(scope.to_ms, line.ms);
    }
    for (const LogLine& line : lines) {
        const bool same_endpoint = names_any_of(line, scope.endpoints);
        const bool in_window =
            line.ms >= scope.from_ms - LookbackMs && line.ms <= scope.to_ms + LookaheadMs;
        if (same_endpoint && in_window && !field(line, "group").empty())
            scope.groups.insert(field(line, "group"));
    }
    return scope;
}

bool is_related(const LogLine& line, const std::string& request, const RequestScope& scope) {
    if (names_request(line, request))
        return true;
    if (line.ms < scope.from_ms - LookbackMs || line.ms > scope.to_ms + LookaheadMs ||
        !field(line, "request").empty())
        return false;
    if (names_any_of(line, scope.endpoints) || scope.groups.contains(field(line, "group")))
        return true;
    if (line.message == "layout")
        return scope.endpoints.empty();
    const bool is_global = std::find(GlobalMessages.begin(), GlobalMessages.end(), line.message) !=
                           GlobalMessages.end();
    const bool of_other_process = line.process != *scope.processes.begin() &&
                                  line.message != "leads" && line.message != "leads no more" &&
                                  line.message != "voters change";
    return is_global && !of_other_process;
}

} // namespace

std::vector<LogLine> parse_log(const std::string& text) {
    std::vector<LogLine> lines;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::istringstream in(text);
    for (std::string raw; std::getline(in, raw);) {
        const auto brace = raw.find('{');
        Json::Value json;
        if (brace == std::string::npos ||
            !reader->parse(raw.data() + brace, raw.data() + raw.size(), &json, nullptr) ||
            !json.isObject())
            continue;
        LogLine line;
        for (const std::string& name : json.getMemberNames()) {
            const Json::Value& value = json[name];
            if (name == "ms" && value.isInt64())
                line.ms = value.asInt64();
            else if (name == "process")
                line.process = value.asString();
            else if (name == "message")
                line.message = value.asString();
            else if (value.isString())
                line.fields[name] = value.asString();
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

std::vector<LogLine> related_lines(const std::string& request, std::vector<LogLine> lines) {
    const RequestScope scope = scope_of(request, lines);
    std::vector<LogLine> related;
    if (scope.processes.empty())
        return related;
    for (LogLine& line : lines)
        if (is_related(line, request, scope))
            related.push_back(std::move(line));
    std::stable_sort(related.begin(), related.end(),
                     [](const LogLine& a, const LogLine& b) { return a.ms < b.ms; });
    return related;
}

int explain_request(const std::string& request, const std::vector<std::string>& files) {
    std::vector<LogLine> lines;
    for (const std::string& file : files) {
        const auto text = read_file(file);
        if (!text) {
            std::cerr << "liftweirctl: " << text.error().detail << "\n";
            return CtlUsage;
        }
        const auto parsed = parse_log(*text);
        lines.insert(lines.end(), parsed.begin(), parsed.end());
    }
    const auto related = related_lines(request, std::move(lines));
    if (related.empty()) {
        std::cerr << "liftweirctl: no line names the request " << request << "\n";
        return CtlFailed;
    }
    for (const LogLine& line : related) {
        std::cout << line.ms - related.front().ms << " ms  " << line.process << "  "
                  << line.message;
        for (const auto& [name, value] : line.fields)
            if (name != "level" && !value.empty())
                std::cout << "  " << name << "=" << value;
        std::cout << "\n";
    }
    return CtlOk;
}

} // namespace liftweir
