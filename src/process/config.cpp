// Reads and checks the settings file of a process; runs in liftweir-control, -entry and -agent.

#include "process/config.h"

#include "connection/link.h"
#include "process/storage.h"
#include "version/keys.h"

#include <algorithm>
#include <functional>

namespace liftweir {

namespace {

using Check = std::function<bool(const Json::Value&)>;
using Setter = std::function<void(ProcessConfig&, const Json::Value&)>;

constexpr unsigned ForControl = 1;
constexpr unsigned ForEntry = 2;
constexpr unsigned ForAgent = 4;
constexpr unsigned ForAll = 7;

struct LocalKey {
    std::string name;
    unsigned programs;
    unsigned required;
    std::string allowed;
    Check check;
    Setter set;
};

bool is_address(const Json::Value& v) {
    return v.isString() && parse_address(v.asString());
}
bool is_text(const Json::Value& v) {
    return v.isString() && !v.asString().empty();
}
bool is_count(const Json::Value& v) {
    return v.isUInt();
}
bool is_bool(const Json::Value& v) {
    return v.isBool();
}
bool is_keys(const Json::Value& v) {
    constexpr std::size_t ShortestKeyBytes = 16;
    return v.isArray() && !v.empty() && v.size() <= 2 &&
           std::all_of(v.begin(), v.end(), [](const Json::Value& key) {
               return key.isString() && key.asString().size() >= ShortestKeyBytes;
           });
}
bool is_control(const Json::Value& v) {
    if (!v.isObject() || v.empty())
        return false;
    const auto names = v.getMemberNames();
    return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
        return std::atoi(name.c_str()) > 0 && is_address(v[name]);
    });
}

Setter set_text(std::string ProcessConfig::*field) {
    return [field](ProcessConfig& c, const Json::Value& v) { c.*field = v.asString(); };
}
Setter set_count(std::uint32_t ProcessConfig::*field) {
    return [field](ProcessConfig& c, const Json::Value& v) { c.*field = v.asUInt(); };
}
Setter set_flag(bool ProcessConfig::*field) {
    return [field](ProcessConfig& c, const Json::Value& v) { c.*field = v.asBool(); };
}

const std::vector<LocalKey>& local_keys() {
    using C = ProcessConfig;
    static const std::vector<LocalKey> keys = {
        {"name", ForAll, ForAll, "text", is_text, set_text(&C::name)},
        {"site", ForAll, ForEntry | ForAgent, "text", is_text, set_text(&C::site)},
        {"zone", ForAll, ForAll, "text", is_text, set_text(&C::zone)},
        {"listen", ForControl | ForAgent, ForControl | ForAgent, "ip:port", is_address,
         set_text(&C::listen)},
        {"http", ForAll, ForAll, "ip:port", is_address, set_text(&C::http)},
        {"metrics", ForEntry, ForEntry, "ip:port", is_address, set_text(&C::metrics)},
        {"cluster_keys", ForAll, ForAll, "list of one or two texts of 16 bytes or more", is_keys,
         [](C& c, const Json::Value& v) {
             for (const auto& key : v)
                 c.cluster_keys.push_back(key.asString());
         }},
        {"control", ForAll, ForAll, "object that maps node numbers to ip:port", is_control,
         [](C& c, const Json::Value& v) {
             for (const auto& name : v.getMemberNames())
                 c.control[static_cast<std::uint32_t>(std::atoi(name.c_str()))] =
                     v[name].asString();
         }},
        {"node", ForControl, ForControl, "number from 1", is_count, set_count(&C::node)},
        {"data", ForControl, ForControl, "folder", is_text, set_text(&C::data)},
        {"join", ForControl, 0, "true or false", is_bool, set_flag(&C::join)},
        {"bootstrap_admin_digest", ForControl, 0, "SHA-256 digest", is_text,
         set_text(&C::bootstrap_admin_digest)},
        {"threads", ForEntry, 0, "number from 1 to 64",
         [](const Json::Value& v) { return v.isUInt() && v.asUInt() >= 1 && v.asUInt() <= 64; },
         set_count(&C::threads)},
        {"domain", ForAgent, 0, "text", is_text, set_text(&C::domain)},
        {"accelerators", ForAgent, 0, "number", is_count, set_count(&C::accelerators)},
        {"ping", ForAgent, ForAgent, "ip:port", is_address, set_text(&C::ping)},
        {"advertise", ForAgent, 0, "ip:port", is_address, set_text(&C::advertise)},
        {"advertise_ping", ForAgent, 0, "ip:port", is_address, set_text(&C::advertise_ping)},
        {"engine_url", ForAgent, 0, "URL", is_text, set_text(&C::engine_url)},
        {"service_url", ForAgent, 0, "URL", is_text, set_text(&C::service_url)},
        {"service", ForAgent, 0, "text", is_text, set_text(&C::service)},
        {"engine_checks_fence", ForAgent, 0, "true or false", is_bool,
         set_flag(&C::engine_checks_fence)},
    };
    return keys;
}

unsigned bit_of(Program program) {
    return 1u << static_cast<unsigned>(program);
}

std::string nearest_local_key(const std::string& name) {
    // The edit distance used for the settings tree is private there. A common prefix is enough to
    // find the nearest of 20 keys.
    std::string best;
    std::size_t best_length = 0;
    for (const LocalKey& key : local_keys()) {
        const auto end = std::mismatch(name.begin(), name.end(), key.name.begin(), key.name.end());
        const auto length = static_cast<std::size_t>(end.first - name.begin());
        if (best.empty() || length > best_length) {
            best = key.name;
            best_length = length;
        }
    }
    return best;
}

tl::unexpected<Failure> bad_settings(const std::string& file, const std::string& text) {
    return fail(FailureKind::BadSettings, file + ": " + text);
}

Expected<void> check_consistency(const ProcessConfig& c, Program program, const std::string& file) {
    if (program == Program::Control && !c.control.contains(c.node))
        return bad_settings(file, "node: found " + std::to_string(c.node) +
                                      "; allowed is a number listed in 'control'");
    if (program != Program::Agent)
        return {};
    if (c.engine_url.empty() == c.service_url.empty())
        return bad_settings(file, "engine_url, service_url: exactly one of them must be set");
    if (!c.service_url.empty() && c.service.empty())
        return bad_settings(file, "service: missing; required with service_url");
    if (!c.engine_url.empty() && c.domain.empty())
        return bad_settings(file, "domain: missing; required with engine_url");
    return {};
}

} // namespace

std::string_view name_of(Program program) {
    switch (program) {
    case Program::Control:
        return "control";
    case Program::Entry:
        return "entry";
    case Program::Agent:
        return "agent";
    }
    return "unknown";
}

Expected<ProcessConfig> read_config(Program program, const std::string& file) {
    const auto text = read_file(file);
    if (!text)
        return bad_settings(file, text.error().detail);
    const auto json = parse_json(*text);
    if (!json)
        return bad_settings(file, json.error().detail);
    if (!json->isObject())
        return bad_settings(file, "found " + to_text(*json) + "; allowed is an object");
    ProcessConfig config;
    for (const auto& name : json->getMemberNames()) {
        const auto& keys = local_keys();
        const auto key = std::find_if(keys.begin(), keys.end(), [&](const LocalKey& k) {
            return k.name == name && (k.programs & bit_of(program)) != 0;
        });
        if (key == keys.end())
            return bad_settings(file,
                                name + ": unknown key; the nearest is " + nearest_local_key(name));
        if (!key->check((*json)[name]))
            return bad_settings(file, name + ": found " + to_text((*json)[name]) + "; allowed is " +
                                          key->allowed);
        key->set(config, (*json)[name]);
    }
    for (const LocalKey& key : local_keys())
        if ((key.required & bit_of(program)) != 0 && !json->isMember(key.name))
            return bad_settings(file, key.name + ": missing; allowed is " + key.allowed);
    if (auto consistent = check_consistency(config, program, file); !consistent)
        return tl::make_unexpected(consistent.error());
    return config;
}

} // namespace liftweir
