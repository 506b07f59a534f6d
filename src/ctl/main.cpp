// liftweirctl, the operators' command line tool: its options and commands.

#include "connection/secret.h"
#include "ctl/httpget.h"
#include "ctl/session.h"
#include "ctl/timelineview.h"
#include "ctl/why.h"
#include "process/clock.h"
#include "process/config.h"
#include "process/metricnames.h"
#include "version/keys.h"

#include <popt.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <sstream>

using namespace liftweir;

namespace {

struct Options {
    std::string control = "127.0.0.1:7200";
    std::string token;
    std::string site;
    std::string order;
    std::string host;
    std::string request;
    long long base = -1;
    long long group = 0;
    int since_s = 0;
    int days = 1;
    int timeout_ms = 10000;
    bool json = false;
    bool follow = false;
};

using Arguments = std::vector<std::string>;

// One row of the table of commands.
struct CtlCommand {
    const char* words;
    const char* arguments;
    const char* help;
    std::size_t min_arguments;
    std::function<int(Session&, const Options&, const Arguments&)> run;
};

std::string new_order_id() {
    std::ostringstream text;
    text << std::hex << new_incarnation();
    return "order-" + text.str();
}

// A JSON value as one cell of a table; the items of an array are joined by commas.
std::string cell(const Json::Value& value) {
    if (value.isString())
        return value.asString();
    if (!value.isArray())
        return to_text(value);
    std::string out;
    for (const Json::Value& item : value)
        out += (out.empty() ? "" : ",") + cell(item);
    return out;
}

// Prints a list of objects as a table with one column per field.
void print_table(const Json::Value& rows, const std::vector<std::string>& columns) {
    std::vector<std::size_t> widths;
    for (const std::string& column : columns) {
        std::size_t width = column.size();
        for (const Json::Value& row : rows)
            width = std::max(width, cell(row[column]).size());
        widths.push_back(width);
    }
    const auto line = [&](const std::function<std::string(std::size_t)>& text) {
        std::string out;
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::string padded = text(i);
            padded.resize(std::max(widths[i], padded.size()), ' ');
            out += padded + "  ";
        }
        out.erase(out.find_last_not_of(' ') + 1);
        std::cout << out << "\n";
    };
    line([&](std::size_t i) { return columns[i]; });
    for (const Json::Value& row : rows)
        line([&](std::size_t i) { return cell(row[columns[i]]); });
}

// Prints the result or the error of a call. Returns the exit code.
int finish(const Options& options, const RpcResponse& response,
           const std::vector<std::string>& columns = {}) {
    if (response.kind != RpcResponse::Kind::Result) {
        if (options.json) {
            Json::Value error;
            error["error"]["type"] = response.type;
            error["error"]["detail"] = response.detail;
            std::cout << to_text(error) << "\n";
        }
        std::cerr << "liftweirctl: " << response.type << ": " << response.detail << "\n";
        return exit_code_of(response);
    }
    if (options.json || columns.empty())
        std::cout << (options.json ? to_text(response.result) : response.result.toStyledString())
                  << "\n";
    else
        print_table(response.result, columns);
    return CtlOk;
}

// Parses a value of the command line as JSON; a value that is not JSON is taken as a string.
Json::Value value_of(const std::string& text) {
    const auto json = parse_json(text);
    return json ? *json : Json::Value(text);
}

// Sets one setting, or unsets it where the value is null. Without --base, the change is based on
// the newest version of the settings.
int set_settings(Session& session, const Options& options, const std::string& path,
                 const std::string& key, const Json::Value& value) {
    if (!value.isNull())
        if (const auto checked = check_value(key, value); !checked) {
            std::cerr << "liftweirctl: " << checked.error().detail << "\n";
            return CtlUsage;
        }
    Json::Value params;
    params["base"] = Json::Int64(options.base);
    if (options.base < 0) {
        const RpcResponse current = session.call("settings.get", Json::objectValue);
        if (current.kind != RpcResponse::Kind::Result)
            return finish(options, current);
        params["base"] = current.result["version"];
    }
    params["order"] = options.order.empty() ? new_order_id() : options.order;
    Json::Value change;
    change["path"] = path;
    change["key"] = key;
    change["value"] = value;
    params["changes"].append(change);
    return finish(options, session.call("settings.set", params));
}

int set_host_mode(Session& session, const Options& options, const std::string& host,
                  const std::string& mode) {
    Json::Value params;
    params["order"] = options.order.empty() ? new_order_id() : options.order;
    params["host"] = host;
    params["mode"] = mode;
    return finish(options, session.call("hosts.mode", params));
}

int change_voters(Session& session, const Options& options, const std::string& node, bool add) {
    Json::Value params;
    params["node"] = std::atoi(node.c_str());
    params["add"] = add;
    return finish(options, session.call("control.voters", params));
}

int print_list(Session& session, const Options& options, const std::string& method,
               const std::vector<std::string>& columns) {
    return finish(options, session.call(method, Json::objectValue), columns);
}

// Drains all hosts of a zone. Returns the highest exit code.
int drain_zone(Session& session, const Options& options, const std::string& zone) {
    const RpcResponse hosts = session.call("hosts.list", Json::objectValue);
    if (hosts.kind != RpcResponse::Kind::Result)
        return finish(options, hosts);
    int exit_code = CtlOk;
    for (const Json::Value& host : hosts.result)
        if (host["zone"].asString() == zone)
            exit_code = std::max(
                exit_code, set_host_mode(session, options, host["host"].asString(), "draining"));
    return exit_code;
}

// Lists what each control host has applied; one that is behind shows a lower index.
int print_zones(const Session& session, const Options& options) {
    RpcResponse zones;
    zones.kind = RpcResponse::Kind::Result;
    zones.result = Json::arrayValue;
    int exit_code = CtlOk;
    for (const std::string& address : session.control()) {
        const HttpGetResponse got =
            http_get("http://" + address + "/zones", options.token, options.timeout_ms);
        auto row = parse_json(got.body);
        if (got.status != 200 || !row || !row->isObject()) {
            std::cerr << "liftweirctl: " << address << " does not report its zones\n";
            exit_code = CtlUnreachable;
            continue;
        }
        (*row)["control"] = address;
        zones.result.append(*row);
    }
    return std::max(exit_code, finish(options, zones, {"control", "index", "out_of_use"}));
}

int check_config(const Arguments& arguments) {
    const Program program = arguments[0] == "control" ? Program::Control
                            : arguments[0] == "entry" ? Program::Entry
                                                      : Program::Agent;
    const auto config = read_config(program, arguments[1]);
    if (!config) {
        std::cerr << "liftweirctl: " << config.error().detail << "\n";
        return CtlUsage;
    }
    std::cout << arguments[1] << ": good\n";
    return CtlOk;
}

// Prints the documentation page of all settings, from the table that also checks their values.
int print_keys() {
    std::cout << "# Settings\n\nGenerated by `liftweirctl keys` from the table in "
                 "`src/version/keys.cpp`.\n\n"
                 "| key | allowed | unit | default | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const KeySpec& spec : key_table())
        std::cout << "| `" << spec.pattern << "` | " << allowed_values(spec) << " | " << spec.unit
                  << " | `" << spec.default_value << "` | " << spec.doc << " |\n";
    return CtlOk;
}

Json::Value pair(const char* a, const Json::Value& x, const char* b, const Json::Value& y) {
    Json::Value out;
    out[a] = x;
    out[b] = y;
    return out;
}

int resolve_once(Session& session, const Options& options, const Arguments& a) {
    if (a[2] != "ran" && a[2] != "not-run") {
        std::cerr << "liftweirctl: the outcome must be ran or not-run\n";
        return CtlUsage;
    }
    Json::Value params = pair("customer", a[0], "key", a[1]);
    params["order"] = options.order.empty() ? new_order_id() : options.order;
    params["ran"] = a[2] == "ran";
    return finish(options, session.call("once.resolve", params));
}

const std::vector<CtlCommand>& commands();

int print_completion() {
    std::cout << "_liftweirctl() {\n  COMPREPLY=($(compgen -W \"";
    for (const CtlCommand& command : commands())
        std::cout << command.words << " ";
    std::cout << "\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\ncomplete -F _liftweirctl liftweirctl\n";
    return CtlOk;
}

const std::vector<CtlCommand>& commands() {
    using O = const Options&;
    using A = const Arguments&;
    static const std::vector<CtlCommand> table = {
        {"settings get", "", "all settings that the token may see", 0,
         [](Session& s, O o, A) {
             RpcResponse response = s.call("settings.get", Json::objectValue);
             if (!o.json && response.kind == RpcResponse::Kind::Result) {
                 std::cout << "version " << response.result["version"] << "\n";
                 response.result = Json::Value(response.result["settings"]);
             }
             return finish(o, response, {"path", "key", "value", "version", "author"});
         }},
        {"settings set", "PATH KEY VALUE", "change one setting; returns once it is in force", 3,
         [](Session& s, O o, A a) { return set_settings(s, o, a[0], a[1], value_of(a[2])); }},
        {"settings unset", "PATH KEY", "remove a setting, so that the level above applies", 2,
         [](Session& s, O o, A a) { return set_settings(s, o, a[0], a[1], Json::Value()); }},
        {"settings explain", "KEY --site SITE", "which levels set a value; the last one applies", 1,
         [](Session& s, O o, A a) {
             return finish(o, s.call("settings.explain", pair("site", o.site, "key", a[0])),
                           {"path", "value", "version", "author"});
         }},
        {"settings history", "", "who changed what", 0,
         [](Session& s, O o, A) {
             return print_list(s, o, "settings.history",
                               {"version", "wall_ms", "author", "changes"});
         }},
        {"hosts list", "", "all hosts", 0,
         [](Session& s, O o, A) {
             return print_list(s, o, "hosts.list",
                               {"host", "site", "zone", "domain", "role", "accelerators", "mode",
                                "group", "silent"});
         }},
        {"hosts drain", "HOST", "planned stop: replace its group first, abort no request", 1,
         [](Session& s, O o, A a) { return set_host_mode(s, o, a[0], "draining"); }},
        {"hosts undrain", "HOST", "let the host serve again", 1,
         [](Session& s, O o, A a) { return set_host_mode(s, o, a[0], "active"); }},
        {"hosts forget", "HOST", "confirm that the host is off for good", 1,
         [](Session& s, O o, A a) { return set_host_mode(s, o, a[0], "forgotten"); }},
        {"zone drain", "ZONE", "planned stop of every host of a zone", 1,
         [](Session& s, O o, A a) { return drain_zone(s, o, a[0]); }},
        {"zones", "--control IP:PORT,...",
         "zones out of use, as each control host's metrics address reports them", 0,
         [](Session& s, O o, A) { return print_zones(s, o); }},
        {"groups list", "", "all groups", 0,
         [](Session& s, O o, A) {
             return print_list(s, o, "groups.list",
                               {"group", "site", "domain", "model", "version", "members", "phase",
                                "serving", "reason"});
         }},
        {"groups explain", "GROUP", "the repair options of a broken group, with their costs", 1,
         [](Session& s, O o, A a) {
             Json::Value params;
             params["group"] = Json::UInt64(std::strtoull(a[0].c_str(), nullptr, 10));
             return finish(o, s.call("groups.explain", params));
         }},
        {"groups drain", "GROUP", "planned stop of a group", 1,
         [](Session& s, O o, A a) {
             Json::Value params;
             params["group"] = Json::UInt64(std::strtoull(a[0].c_str(), nullptr, 10));
             return finish(o, s.call("groups.drain", params));
         }},
        {"once show", "CUSTOMER [KEY]", "claims of idempotency keys", 1,
         [](Session& s, O o, A a) {
             return finish(
                 o, s.call("once.show", pair("customer", a[0], "key", a.size() > 1 ? a[1] : "")),
                 {"key", "phase", "status", "answer_kept", "claimed_ms", "entry"});
         }},
        {"once resolve", "CUSTOMER KEY ran|not-run",
         "record whether a call with an unknown outcome ran", 3, resolve_once},
        {"control add", "NODE", "add a control host to the voters", 1,
         [](Session& s, O o, A a) { return change_voters(s, o, a[0], true); }},
        {"control remove", "NODE", "remove a control host from the voters", 1,
         [](Session& s, O o, A a) { return change_voters(s, o, a[0], false); }},
        {"status", "", "leader, versions, counts and violated invariants", 0,
         [](Session& s, O o, A) { return finish(o, s.call("status", Json::objectValue)); }},
        {"timeline", "[--since S] [--host H] [--group G] [--request R] [--follow]",
         "events of all processes in causal order", 0,
         [](Session& s, O o, A) {
             TimelineFilter filter;
             constexpr std::int64_t MsPerSecond = 1000;
             filter.since_ms = o.since_s > 0 ? wall_millis() - o.since_s * MsPerSecond : 0;
             filter.host = o.host;
             filter.group = static_cast<std::uint64_t>(o.group);
             filter.request = o.request;
             filter.follow = o.follow;
             filter.json = o.json;
             return show_timeline(s, filter);
         }},
        {"why", "REQUEST FILE...",
         "what led to a request's outcome, from the logs of all processes", 2,
         [](Session&, O, A a) { return explain_request(a[0], Arguments(a.begin() + 1, a.end())); }},
        {"ticket", "[--days N]", "a ticket for /metrics and /events of every process", 0,
         [](Session& s, O o, A) {
             constexpr std::int64_t MsPerDay = 24LL * 3600 * 1000;
             Json::Value params;
             params["valid_ms"] = Json::Int64(o.days * MsPerDay);
             return finish(o, s.call("observe.ticket", params));
         }},
        {"check-config", "control|entry|agent FILE", "check a process's settings file", 2,
         [](Session&, O, A a) { return check_config(a); }},
        {"digest", "TEXT", "SHA-256 of a key or token, for the settings", 1,
         [](Session&, O, A a) {
             std::cout << sha256_hex(a[0]) << "\n";
             return CtlOk;
         }},
        {"metrics", "", "print the documentation page of all metrics", 0,
         [](Session&, O, A) {
             std::cout << metrics_page();
             return CtlOk;
         }},
        {"keys", "", "print the documentation page of all settings", 0,
         [](Session&, O, A) { return print_keys(); }},
        {"completion", "", "completion for bash", 0,
         [](Session&, O, A) { return print_completion(); }},
    };
    return table;
}

int print_help() {
    std::cout << "liftweirctl [OPTIONS] COMMAND\n\n";
    for (const CtlCommand& command : commands())
        std::cout << "  " << command.words << " " << command.arguments << "\n      " << command.help
                  << "\n";
    std::cout << "\nOptions: liftweirctl --help. Exit codes: 0 done, 1 rejected, 2 wrong command "
                 "line or\nsettings, 3 leader not reached, 4 conflict with another change.\n";
    return CtlOk;
}

std::vector<std::string> split_commas(const std::string& text) {
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        out.push_back(part);
    return out;
}

int run(const Options& options, const Arguments& words) {
    if (words.empty() || words[0] == "help")
        return print_help();
    for (const CtlCommand& command : commands()) {
        const std::string name = command.words;
        const std::size_t length = name.find(' ') == std::string::npos ? 1 : 2;
        const std::string given =
            length == 1 || words.size() < 2 ? words[0] : words[0] + " " + words[1];
        if (given != name)
            continue;
        const Arguments rest(words.begin() + static_cast<std::ptrdiff_t>(length), words.end());
        if (rest.size() < command.min_arguments) {
            std::cerr << "liftweirctl: " << command.words << " " << command.arguments << "\n";
            return CtlUsage;
        }
        Session session(split_commas(options.control), options.token, options.timeout_ms);
        return command.run(session, options, rest);
    }
    std::cerr << "liftweirctl: unknown command '" << words[0] << "'; see liftweirctl help\n";
    return CtlUsage;
}

// Copies a string that popt allocated, and frees it.
std::string take_string(char* text) {
    std::string out = text == nullptr ? "" : text;
    std::free(text);
    return out;
}

} // namespace

int main(int argc, const char** argv) {
    char* control = nullptr;
    char* token = nullptr;
    char* site = nullptr;
    char* order = nullptr;
    char* host = nullptr;
    char* request = nullptr;
    int json = 0;
    int follow = 0;
    Options options;
    const poptOption table[] = {
        {"control", 0, POPT_ARG_STRING, &control, 0,
         "control hosts' HTTP addresses (or LIFTWEIR_CONTROL)", "IP:PORT,..."},
        {"token", 0, POPT_ARG_STRING, &token, 0, "operator's token (or LIFTWEIR_TOKEN)", "TOKEN"},
        {"site", 0, POPT_ARG_STRING, &site, 0, "organisation/region/site", "SITE"},
        {"base", 0, POPT_ARG_LONGLONG, &options.base, 0,
         "settings version that the change is based on; default: the newest", "VERSION"},
        {"order", 0, POPT_ARG_STRING, &order, 0, "order id; reuse it to retry the same order",
         "ID"},
        {"host", 0, POPT_ARG_STRING, &host, 0, "only this host", "HOST"},
        {"group", 0, POPT_ARG_LONGLONG, &options.group, 0, "only this group", "GROUP"},
        {"request", 0, POPT_ARG_STRING, &request, 0, "only this request", "ID"},
        {"since", 0, POPT_ARG_INT, &options.since_s, 0, "only the last seconds", "SECONDS"},
        {"days", 0, POPT_ARG_INT, &options.days, 0, "days that a ticket is valid", "DAYS"},
        {"timeout-ms", 0, POPT_ARG_INT, &options.timeout_ms, 0, "time limit of a call", "MS"},
        {"follow", 'f', POPT_ARG_NONE, &follow, 0, "keep showing new events", nullptr},
        {"json", 0, POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("liftweirctl", argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "COMMAND (see: liftweirctl help)");
    const int parsed = poptGetNextOpt(context);
    if (parsed < -1) {
        std::cerr << "liftweirctl: " << poptBadOption(context, 0) << ": " << poptStrerror(parsed)
                  << "\n";
        poptFreeContext(context);
        return CtlUsage;
    }
    Arguments words;
    while (const char* word = poptGetArg(context))
        words.emplace_back(word);
    poptFreeContext(context);
    // The option if given, else the environment variable, else the default.
    const auto from = [](const std::string& given, const char* variable, const std::string& other) {
        const char* set = std::getenv(variable);
        return !given.empty() ? given : set != nullptr ? set : other;
    };
    options.control = from(take_string(control), "LIFTWEIR_CONTROL", options.control);
    options.token = from(take_string(token), "LIFTWEIR_TOKEN", "");
    options.site = take_string(site);
    options.order = take_string(order);
    options.host = take_string(host);
    options.request = take_string(request);
    options.json = json != 0;
    options.follow = follow != 0;
    return run(options, words);
}
