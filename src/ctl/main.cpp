#include "connection/secret.h"
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

struct Verb {
    const char* words;
    const char* arguments;
    const char* help;
    std::size_t least;
    std::function<int(Session&, const Options&, const Arguments&)> run;
};

std::string new_order() {
    std::ostringstream text;
    text << std::hex << new_incarnation();
    return "order-" + text.str();
}

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

// Rows of objects as a table with one column per field.
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

int finish(const Options& options, const RpcAnswer& answer,
           const std::vector<std::string>& columns = {}) {
    if (answer.kind != RpcAnswer::Kind::Result) {
        if (options.json) {
            Json::Value error;
            error["error"]["type"] = answer.type;
            error["error"]["detail"] = answer.detail;
            std::cout << to_text(error) << "\n";
        }
        std::cerr << "liftweirctl: " << answer.type << ": " << answer.detail << "\n";
        return exit_code_of(answer);
    }
    if (options.json || columns.empty())
        std::cout << (options.json ? to_text(answer.result) : answer.result.toStyledString())
                  << "\n";
    else
        print_table(answer.result, columns);
    return CtlOk;
}

// Reads one value of the command line: JSON, or plain text where it is not JSON.
Json::Value value_of(const std::string& text) {
    const auto json = parse_json(text);
    return json ? *json : Json::Value(text);
}

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
        const RpcAnswer now = session.call("settings.get", Json::objectValue);
        if (now.kind != RpcAnswer::Kind::Result)
            return finish(options, now);
        params["base"] = now.result["version"];
    }
    params["order"] = options.order.empty() ? new_order() : options.order;
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
    params["order"] = options.order.empty() ? new_order() : options.order;
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

int list(Session& session, const Options& options, const std::string& method,
         const std::vector<std::string>& columns) {
    return finish(options, session.call(method, Json::objectValue), columns);
}

// Drains every group or host that a predicate picks, e.g. all of a zone.
int drain_zone(Session& session, const Options& options, const std::string& zone) {
    const RpcAnswer hosts = session.call("hosts.list", Json::objectValue);
    if (hosts.kind != RpcAnswer::Kind::Result)
        return finish(options, hosts);
    int worst = CtlOk;
    for (const Json::Value& host : hosts.result)
        if (host["zone"].asString() == zone)
            worst = std::max(worst,
                             set_host_mode(session, options, host["host"].asString(), "draining"));
    return worst;
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

// The docs page of all keys, from the table that checks them.
int print_keys() {
    std::cout << "# Settings\n\nGenerated by `liftweirctl keys` from the table in "
                 "`src/version/keys.cpp`.\n\n"
                 "| key | allowed | unit | default | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const KeySpec& spec : key_table())
        std::cout << "| `" << spec.pattern << "` | " << allowed_values(spec) << " | " << spec.unit
                  << " | `" << spec.fallback << "` | " << spec.doc << " |\n";
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
        std::cerr << "liftweirctl: say ran or not-run\n";
        return CtlUsage;
    }
    Json::Value params = pair("customer", a[0], "key", a[1]);
    params["order"] = options.order.empty() ? new_order() : options.order;
    params["ran"] = a[2] == "ran";
    return finish(options, session.call("once.resolve", params));
}

const std::vector<Verb>& verbs();

int print_completion() {
    std::cout << "_liftweirctl() {\n  COMPREPLY=($(compgen -W \"";
    for (const Verb& verb : verbs())
        std::cout << verb.words << " ";
    std::cout << "\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\ncomplete -F _liftweirctl liftweirctl\n";
    return CtlOk;
}

const std::vector<Verb>& verbs() {
    using O = const Options&;
    using A = const Arguments&;
    static const std::vector<Verb> table = {
        {"settings get", "", "all settings that the token may see", 0,
         [](Session& s, O o, A) {
             RpcAnswer answer = s.call("settings.get", Json::objectValue);
             if (!o.json && answer.kind == RpcAnswer::Kind::Result) {
                 std::cout << "version " << answer.result["version"] << "\n";
                 answer.result = Json::Value(answer.result["settings"]);
             }
             return finish(o, answer, {"path", "key", "value", "version", "author"});
         }},
        {"settings set", "PATH KEY VALUE", "change one setting; answers once it is in force", 3,
         [](Session& s, O o, A a) { return set_settings(s, o, a[0], a[1], value_of(a[2])); }},
        {"settings unset", "PATH KEY", "let the level above decide again", 2,
         [](Session& s, O o, A a) { return set_settings(s, o, a[0], a[1], Json::Value()); }},
        {"settings explain", "KEY --site SITE", "where a value comes from, deciding level last", 1,
         [](Session& s, O o, A a) {
             return finish(o, s.call("settings.explain", pair("site", o.site, "key", a[0])),
                           {"path", "value", "version", "author"});
         }},
        {"settings history", "", "who changed what", 0,
         [](Session& s, O o, A) {
             return list(s, o, "settings.history", {"version", "wall_ms", "author", "changes"});
         }},
        {"hosts list", "", "all hosts", 0,
         [](Session& s, O o, A) {
             return list(s, o, "hosts.list",
                         {"host", "site", "zone", "domain", "role", "accelerators", "mode", "group",
                          "silent"});
         }},
        {"hosts drain", "HOST", "planned stop: replace its group first, cut nothing", 1,
         [](Session& s, O o, A a) { return set_host_mode(s, o, a[0], "draining"); }},
        {"hosts undrain", "HOST", "let the host serve again", 1,
         [](Session& s, O o, A a) { return set_host_mode(s, o, a[0], "active"); }},
        {"hosts forget", "HOST", "vouch that the host is off for good", 1,
         [](Session& s, O o, A a) { return set_host_mode(s, o, a[0], "forgotten"); }},
        {"zone drain", "ZONE", "planned stop of every host of a zone", 1,
         [](Session& s, O o, A a) { return drain_zone(s, o, a[0]); }},
        {"groups list", "", "all groups", 0,
         [](Session& s, O o, A) {
             return list(s, o, "groups.list",
                         {"group", "site", "domain", "model", "version", "members", "phase",
                          "serving", "reason"});
         }},
        {"groups explain", "GROUP", "the repairs weighed for a broken group, with prices", 1,
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
        {"once show", "CUSTOMER [KEY]", "claims of calls that may not be repeated", 1,
         [](Session& s, O o, A a) {
             return finish(
                 o, s.call("once.show", pair("customer", a[0], "key", a.size() > 1 ? a[1] : "")),
                 {"key", "phase", "status", "answer_kept", "claimed_ms", "entry"});
         }},
        {"once resolve", "CUSTOMER KEY ran|not-run", "say whether an unknown call ran", 3,
         resolve_once},
        {"control add", "NODE", "add a control host to the voters", 1,
         [](Session& s, O o, A a) { return change_voters(s, o, a[0], true); }},
        {"control remove", "NODE", "remove a control host from the voters", 1,
         [](Session& s, O o, A a) { return change_voters(s, o, a[0], false); }},
        {"status", "", "leader, versions, counts and broken invariants", 0,
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
        {"why", "REQUEST FILE...", "what led to a request's end, from the logs of all processes", 2,
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
        {"metrics", "", "the docs page of all metrics", 0,
         [](Session&, O, A) {
             std::cout << metrics_page();
             return CtlOk;
         }},
        {"keys", "", "the docs page of all settings", 0,
         [](Session&, O, A) { return print_keys(); }},
        {"completion", "", "completion for bash", 0,
         [](Session&, O, A) { return print_completion(); }},
    };
    return table;
}

int print_verbs() {
    std::cout << "liftweirctl [OPTIONS] COMMAND\n\n";
    for (const Verb& verb : verbs())
        std::cout << "  " << verb.words << " " << verb.arguments << "\n      " << verb.help << "\n";
    std::cout << "\nOptions: liftweirctl --help. Exit codes: 0 done, 1 refused, 2 wrong command "
                 "line or\nsettings, 3 no leading control host reached, 4 lost against another "
                 "change.\n";
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
        return print_verbs();
    for (const Verb& verb : verbs()) {
        const std::string first = verb.words;
        const std::size_t length = first.find(' ') == std::string::npos ? 1 : 2;
        const std::string given =
            length == 1 || words.size() < 2 ? words[0] : words[0] + " " + words[1];
        if (given != first)
            continue;
        const Arguments rest(words.begin() + static_cast<std::ptrdiff_t>(length), words.end());
        if (rest.size() < verb.least) {
            std::cerr << "liftweirctl: " << verb.words << " " << verb.arguments << "\n";
            return CtlUsage;
        }
        Session session(split_commas(options.control), options.token, options.timeout_ms);
        return verb.run(session, options, rest);
    }
    std::cerr << "liftweirctl: unknown command '" << words[0] << "'; see liftweirctl help\n";
    return CtlUsage;
}

std::string taken(char* text) {
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
        {"order", 0, POPT_ARG_STRING, &order, 0, "order id; give the same one to resend", "ID"},
        {"host", 0, POPT_ARG_STRING, &host, 0, "only this host", "HOST"},
        {"group", 0, POPT_ARG_LONGLONG, &options.group, 0, "only this group", "GROUP"},
        {"request", 0, POPT_ARG_STRING, &request, 0, "only this request", "ID"},
        {"since", 0, POPT_ARG_INT, &options.since_s, 0, "only the last seconds", "SECONDS"},
        {"days", 0, POPT_ARG_INT, &options.days, 0, "life of a ticket", "DAYS"},
        {"timeout-ms", 0, POPT_ARG_INT, &options.timeout_ms, 0, "longest wait", "MS"},
        {"follow", 'f', POPT_ARG_NONE, &follow, 0, "go on showing events", nullptr},
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
    const auto from = [](const std::string& given, const char* variable, const std::string& other) {
        const char* set = std::getenv(variable);
        return !given.empty() ? given : set != nullptr ? set : other;
    };
    options.control = from(taken(control), "LIFTWEIR_CONTROL", options.control);
    options.token = from(taken(token), "LIFTWEIR_TOKEN", "");
    options.site = taken(site);
    options.order = taken(order);
    options.host = taken(host);
    options.request = taken(request);
    options.json = json != 0;
    options.follow = follow != 0;
    return run(options, words);
}
