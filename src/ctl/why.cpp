#include "ctl/why.h"

#include "ctl/session.h"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string_view>

namespace liftweir {

namespace {

// A cause shows before its effect by less than a control failover and a repair take together.
constexpr std::int64_t BeforeMs = 4000;
constexpr std::int64_t AfterMs = 300;

// What concerns every request of an entry host.
constexpr std::array<std::string_view, 10> General = {
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

// An entry host's requests are named ENTRY-NUMBER-ATTEMPT, with 0 for the request as a whole: what
// names one attempt of a request names the request. Other names stand for themselves.
std::string stem(const std::string& request) {
    const auto last = request.rfind('-');
    const bool numbers = request.find_first_not_of("0123456789-") == std::string::npos &&
                         std::count(request.begin(), request.end(), '-') == 2;
    return numbers ? request.substr(0, last) : request;
}

bool names(const LogLine& line, const std::string& request) {
    const std::string named = field(line, "request");
    return !named.empty() && stem(named) == stem(request);
}

// An endpoint is told of as NAME or NAME@START: reports of other writers and words of its other
// starts concern whoever was called under the name.
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

// Whether the line tells of one of the endpoints, by either of the fields that name one.
bool tells_of(const LogLine& line, const std::set<std::string>& endpoints) {
    return endpoints.contains(name_of_endpoint(field(line, "endpoint"))) ||
           endpoints.contains(name_of_endpoint(field(line, "id")));
}

// What the request touched: its endpoints, their groups, and the entry host that had it.
struct Traces {
    std::set<std::string> endpoints;
    std::set<std::string> groups;
    std::set<std::string> processes;
    std::int64_t from = 0;
    std::int64_t to = 0;
};

Traces traces_of(const std::string& request, const std::vector<LogLine>& lines) {
    Traces traces;
    for (const LogLine& line : lines) {
        if (!names(line, request))
            continue;
        if (!field(line, "group").empty())
            traces.groups.insert(field(line, "group"));
        traces.processes.insert(line.process);
        traces.endpoints.merge(names_in(field(line, "endpoints")));
        if (!field(line, "endpoint").empty())
            traces.endpoints.insert(name_of_endpoint(field(line, "endpoint")));
        std::int64_t took = 0;
        std::istringstream(field(line, "took_ms")) >> took;
        traces.from = traces.from == 0 ? line.ms - took : std::min(traces.from, line.ms - took);
        traces.to = std::max(traces.to, line.ms);
    }
    for (const LogLine& line : lines) {
        const bool ours = tells_of(line, traces.endpoints);
        const bool near = line.ms >= traces.from - BeforeMs && line.ms <= traces.to + AfterMs;
        if (ours && near && !field(line, "group").empty())
            traces.groups.insert(field(line, "group"));
    }
    return traces;
}

bool bears_on(const LogLine& line, const std::string& request, const Traces& traces) {
    if (names(line, request))
        return true;
    if (line.ms < traces.from - BeforeMs || line.ms > traces.to + AfterMs ||
        !field(line, "request").empty())
        return false;
    if (tells_of(line, traces.endpoints) || traces.groups.contains(field(line, "group")))
        return true;
    if (line.message == "layout")
        return traces.endpoints.empty();
    const bool general = std::find(General.begin(), General.end(), line.message) != General.end();
    const bool of_other_entry = line.process != *traces.processes.begin() &&
                                line.message != "leads" && line.message != "leads no more" &&
                                line.message != "voters change";
    return general && !of_other_entry;
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

std::vector<LogLine> story_of(const std::string& request, std::vector<LogLine> lines) {
    const Traces traces = traces_of(request, lines);
    std::vector<LogLine> story;
    if (traces.processes.empty())
        return story;
    for (LogLine& line : lines)
        if (bears_on(line, request, traces))
            story.push_back(std::move(line));
    std::stable_sort(story.begin(), story.end(),
                     [](const LogLine& a, const LogLine& b) { return a.ms < b.ms; });
    return story;
}

int explain_request(const std::string& request, const std::vector<std::string>& files) {
    std::vector<LogLine> lines;
    for (const std::string& file : files) {
        std::ifstream in(file);
        if (!in) {
            std::cerr << "liftweirctl: " << file << " can not be read\n";
            return CtlUsage;
        }
        std::ostringstream text;
        text << in.rdbuf();
        const auto parsed = parse_log(text.str());
        lines.insert(lines.end(), parsed.begin(), parsed.end());
    }
    const auto story = story_of(request, std::move(lines));
    if (story.empty()) {
        std::cerr << "liftweirctl: no line names the request " << request << "\n";
        return CtlFailed;
    }
    for (const LogLine& line : story) {
        std::cout << line.ms - story.front().ms << " ms  " << line.process << "  " << line.message;
        for (const auto& [name, value] : line.fields)
            if (name != "level" && !value.empty())
                std::cout << "  " << name << "=" << value;
        std::cout << "\n";
    }
    return CtlOk;
}

} // namespace liftweir
