// Run by liftweir-control: the administration interface, JSON-RPC 2.0 over HTTP at /admin.
// libjsonrpccpp declares and checks the procedures and names the errors. Its own server has to
// answer before the call returns, which a change that waits for a majority can not, so the methods
// are dispatched here.

#include "connection/ticket.h"
#include "process/control.h"
#include "process/metrics.h"
#include "process/observe.h"
#include "request/outcome.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>

#include <algorithm>
#include <functional>

namespace liftweir {

namespace {

using jsonrpc::JSON_ARRAY;
using jsonrpc::JSON_BOOLEAN;
using jsonrpc::JSON_INTEGER;
using jsonrpc::JSON_OBJECT;
using jsonrpc::JSON_STRING;
using jsonrpc::PARAMS_BY_NAME;
using jsonrpc::Procedure;

enum class Role : unsigned char { Viewer, Operator, Admin };

struct Operator {
    std::string name;
    Role role = Role::Viewer;
    std::string scope; // path in the settings tree; empty for the whole tree

    bool covers(const std::string& path) const {
        return scope.empty() || path == scope || path.starts_with(scope + "/");
    }
};

using Reply = std::function<void(Expected<Json::Value>)>;

struct Request {
    Control& control;
    Operator author;
    const Json::Value& params;
    Reply reply;

    std::string text(const char* name) const { return params[name].asString(); }
};

struct Method {
    Procedure procedure;
    Role role;
    bool read; // run only after the replica has confirmed that it leads
    std::function<void(const Request&)> run;
};

std::optional<Operator> operator_of(const Control& control, std::string_view token) {
    if (token.empty())
        return std::nullopt;
    const std::string digest = sha256_hex(token);
    if (equal_in_constant_time(digest, control.config().bootstrap_admin_digest))
        return Operator{"bootstrap", Role::Admin, ""};
    const SettingsTree& tree = const_cast<Control&>(control).replica().state().settings();
    for (const std::string& path : tree.paths()) {
        const SiteSettings settings(tree, path);
        for (const std::string& name : settings.names_under("operators")) {
            const std::string prefix = "operators/" + name + "/";
            if (!equal_in_constant_time(settings.text(prefix + "token_digest"), digest))
                continue;
            const std::string role = settings.text(prefix + "role");
            const std::string scope = settings.text(prefix + "scope");
            return Operator{name,
                            role == "admin"      ? Role::Admin
                            : role == "operator" ? Role::Operator
                                                 : Role::Viewer,
                            scope.empty() ? path : scope};
        }
    }
    return std::nullopt;
}

tl::unexpected<Failure> out_of_scope(const std::string& path) {
    return fail(FailureKind::Forbidden, "the token is not good for " + path);
}

// Answers an operator's command with the result that the log entry had when it was applied.
void reply_with_result(const Request& r, const Expected<ApplyResult>& result) {
    if (!result) {
        r.reply(tl::make_unexpected(result.error()));
    } else if (!result->ok) {
        r.reply(fail(result->failure, result->detail));
    } else {
        Json::Value out;
        out["version"] = Json::UInt64(result->version);
        r.reply(out);
    }
}

// ---- settings

void settings_get(const Request& r) {
    const State& state = r.control.replica().state();
    Json::Value out;
    out["version"] = Json::UInt64(state.settings_version());
    out["settings"] = Json::arrayValue;
    for (const PlacedSetting& item : state.settings().changed_since(0)) {
        if (item.setting.text.empty() || !r.author.covers(item.path))
            continue;
        Json::Value row;
        row["path"] = item.path;
        row["key"] = item.key;
        row["value"] = parse_json(item.setting.text).value_or(Json::Value());
        row["version"] = Json::UInt64(item.setting.version);
        row["author"] = item.setting.author;
        out["settings"].append(row);
    }
    r.reply(out);
}

void settings_explain(const Request& r) {
    const std::string site = r.text("site");
    const std::string key = r.text("key");
    if (!r.author.covers(site))
        return r.reply(out_of_scope(site));
    if (find_key(key) == nullptr)
        return r.reply(
            fail(FailureKind::NotFound, key + ": unknown key; the nearest is " + nearest_key(key)));
    Json::Value out(Json::arrayValue);
    for (const ExplainStep& step : r.control.replica().state().settings().explain(site, key)) {
        Json::Value row;
        row["path"] = step.path.empty() ? "(default)" : step.path;
        row["value"] = parse_json(step.text).value_or(Json::Value());
        row["version"] = Json::UInt64(step.version);
        row["author"] = step.author;
        out.append(row);
    }
    r.reply(out);
}

Json::Value to_json(const SettingsRecord& record) {
    Json::Value row;
    row["version"] = Json::UInt64(record.version);
    row["author"] = record.author;
    row["wall_ms"] = Json::Int64(record.wall_ms);
    for (const SettingChange& change : record.changes) {
        Json::Value item;
        item["path"] = change.path;
        item["key"] = change.key;
        item["value"] =
            change.text.empty() ? Json::Value() : parse_json(change.text).value_or(Json::Value());
        row["changes"].append(item);
    }
    return row;
}

void settings_history(const Request& r) {
    Json::Value out(Json::arrayValue);
    for (const SettingsRecord& record : r.control.replica().state().history())
        if (std::all_of(record.changes.begin(), record.changes.end(),
                        [&](const SettingChange& c) { return r.author.covers(c.path); }))
            out.append(to_json(record));
    r.reply(out);
}

// Answers only once no entry host can act on the previous settings any more.
void settings_set(const Request& r) {
    ChangeSettings command;
    command.order = r.text("order");
    command.base = r.params["base"].asUInt64();
    command.author = r.author.name;
    command.wall_ms = wall_millis();
    for (const Json::Value& item : r.params["changes"]) {
        if (!item.isObject() || !item["path"].isString() || !item["key"].isString())
            return r.reply(fail(FailureKind::BadRequest, "a change needs path, key and value"));
        const std::string path = item["path"].asString();
        if (!r.author.covers(path))
            return r.reply(out_of_scope(path));
        command.changes.push_back(
            {path, item["key"].asString(),
             item["value"].isNull() ? std::string() : to_text(item["value"])});
    }
    if (command.changes.empty() || command.order.empty())
        return r.reply(fail(FailureKind::BadRequest, "changes and an order id are needed"));
    const Time asked = r.control.now();
    r.control.propose(command, [r, asked](const Expected<ApplyResult>& result) {
        if (!result || !result->ok) {
            if (result && result->failure == FailureKind::Conflict)
                record({.kind = EventKind::SettingsConflict, .detail = result->detail});
            return reply_with_result(r, result);
        }
        const Version version = result->version;
        const auto committed_ms = to_millis(r.control.now() - asked);
        r.control.when_in_force(version, [r, version, asked, committed_ms] {
            const auto ms = to_millis(r.control.now() - asked);
            Metrics::instance()
                .histogram("liftweir_settings_in_force_seconds")
                .add(static_cast<double>(ms) / 1000);
            record({.kind = EventKind::SettingsInForce,
                    .detail = "version " + std::to_string(version)});
            Json::Value out;
            out["version"] = Json::UInt64(version);
            out["in_force"] = true;
            out["committed_ms"] = Json::Int64(committed_ms);
            out["in_force_ms"] = Json::Int64(ms);
            r.reply(out);
        });
    });
}

// ---- hosts and groups

std::string_view name_of(HostMode mode) {
    constexpr std::string_view Names[] = {"active", "draining", "forgotten"};
    return Names[static_cast<std::size_t>(mode)];
}

std::string_view name_of(GroupPhase phase) {
    constexpr std::string_view Names[] = {"active", "draining", "releasing"};
    return Names[static_cast<std::size_t>(phase)];
}

void hosts_list(const Request& r) {
    const auto by_site = r.control.placement_by_site();
    Json::Value out(Json::arrayValue);
    for (const auto& [name, host] : r.control.replica().state().hosts()) {
        if (!r.author.covers(host.spec.site))
            continue;
        Json::Value row;
        row["host"] = name;
        row["site"] = host.spec.site;
        row["zone"] = host.spec.zone;
        row["domain"] = host.spec.domain;
        row["role"] = host.spec.role == HostRole::Engine ? "engine" : "service";
        row["service"] = host.spec.service;
        row["accelerators"] = host.spec.accelerators;
        row["mode"] = std::string(name_of(host.mode));
        row["incarnation"] = Json::UInt64(host.incarnation);
        row["group"] = Json::UInt64(host.bound);
        row["http"] = host.spec.http;
        row["silent"] =
            r.control.planner().silent(host, by_site.at(host.spec.site), r.control.now());
        out.append(row);
    }
    r.reply(out);
}

void groups_list(const Request& r) {
    Json::Value out(Json::arrayValue);
    for (const auto& [epoch, group] : r.control.replica().state().groups()) {
        if (!r.author.covers(group.site))
            continue;
        Json::Value row;
        row["group"] = Json::UInt64(epoch);
        row["site"] = group.site;
        row["domain"] = group.domain;
        row["zone"] = group.zone;
        row["model"] = group.model.model;
        row["version"] = group.model.version;
        for (const std::string& adapter : group.model.adapters)
            row["adapters"].append(adapter);
        for (const Member& member : group.members)
            row["members"].append(member.host);
        row["phase"] = std::string(name_of(group.phase));
        row["serving"] = r.control.planner().serving(epoch);
        row["reason"] = group.reason;
        out.append(row);
    }
    r.reply(out);
}

void groups_explain(const Request& r) {
    const Epoch epoch = r.params["group"].asUInt64();
    const auto& decisions = r.control.planner().decisions();
    const auto found = decisions.find(epoch);
    if (!r.control.replica().state().groups().contains(epoch))
        return r.reply(fail(FailureKind::NotFound, "no such group"));
    Json::Value out;
    out["group"] = Json::UInt64(epoch);
    out["serving"] = r.control.planner().serving(epoch);
    out["choices"] = Json::arrayValue;
    if (found != decisions.end())
        for (const RepairChoice& choice : found->second.choices) {
            Json::Value row;
            row["repair"] = std::string(name_of(choice.repair));
            row["downtime_s"] = std::chrono::duration<double>(choice.downtime).count();
            row["stranded_accelerator_s"] = choice.stranded_accelerator_seconds;
            row["price"] = choice.price;
            for (const HostName& member : choice.members)
                row["members"].append(member);
            out["choices"].append(row);
        }
    r.reply(out);
}

void groups_drain(const Request& r) {
    const Epoch epoch = r.params["group"].asUInt64();
    const auto& groups = r.control.replica().state().groups();
    const auto group = groups.find(epoch);
    if (group == groups.end())
        return r.reply(fail(FailureKind::NotFound, "no such group"));
    if (!r.author.covers(group->second.site))
        return r.reply(out_of_scope(group->second.site));
    r.control.propose(DrainGroup{epoch, "ordered by " + r.author.name},
                      [r](const Expected<ApplyResult>& result) { reply_with_result(r, result); });
}

void hosts_mode(const Request& r) {
    const std::string name = r.text("host");
    const auto& hosts = r.control.replica().state().hosts();
    const auto host = hosts.find(name);
    if (host == hosts.end())
        return r.reply(fail(FailureKind::NotFound, name));
    if (!r.author.covers(host->second.spec.site))
        return r.reply(out_of_scope(host->second.spec.site));
    const std::string mode = r.text("mode");
    if (mode != "active" && mode != "draining" && mode != "forgotten")
        return r.reply(fail(FailureKind::BadRequest, "mode is active, draining or forgotten"));
    const HostMode wanted = mode == "active"     ? HostMode::Active
                            : mode == "draining" ? HostMode::Draining
                                                 : HostMode::Forgotten;
    r.control.propose(SetHostMode{r.text("order"), name, wanted, r.author.name},
                      [r](const Expected<ApplyResult>& result) { reply_with_result(r, result); });
}

// ---- idempotency keys, status, voters

std::string_view name_of(ClaimPhase phase) {
    constexpr std::string_view Names[] = {"running", "completed", "unknown"};
    return Names[static_cast<std::size_t>(phase)];
}

void once_show(const Request& r) {
    constexpr std::size_t MaxRows = 200;
    const std::string key = r.text("key");
    Json::Value out(Json::arrayValue);
    for (const auto& [name, claim] :
         r.control.replica().state().claims_of(r.text("customer"), key.empty() ? MaxRows : ~0u)) {
        if (!key.empty() && name != key)
            continue;
        Json::Value row;
        row["key"] = name;
        row["phase"] = std::string(name_of(claim.phase));
        row["claimed_ms"] = Json::Int64(claim.claimed_ms);
        row["entry"] = Json::UInt64(claim.holder.entry);
        row["status"] = claim.answer.status;
        row["answer_kept"] = claim.answer_kept;
        out.append(row);
    }
    r.reply(out);
}

void once_resolve(const Request& r) {
    r.control.propose(ResolveClaim{r.text("order"), r.text("customer"), r.text("key"),
                                   r.params["ran"].asBool(), r.author.name},
                      [r](const Expected<ApplyResult>& result) { reply_with_result(r, result); });
}

void status(const Request& r) {
    Replica& replica = r.control.replica();
    const State& state = replica.state();
    Json::Value out;
    out["leader"] = r.control.config().name;
    out["node"] = r.control.config().node;
    out["term"] = Json::UInt64(replica.raft().term());
    out["commit"] = Json::UInt64(replica.raft().commit());
    out["settings_version"] = Json::UInt64(state.settings_version());
    out["table_version"] = Json::UInt64(state.table_version());
    out["claims"] = Json::UInt64(state.claims());
    for (const NodeId node : replica.raft().voters())
        out["voters"].append(node);
    for (const auto& [name, entry] : state.entries())
        out["entries"].append(name);
    out["hosts"] = Json::UInt64(state.hosts().size());
    out["groups"] = Json::UInt64(state.groups().size());
    out["serving"] = Json::UInt64(static_cast<std::uint64_t>(
        std::count_if(state.groups().begin(), state.groups().end(),
                      [&](const auto& item) { return r.control.planner().serving(item.first); })));
    out["group_downtime_seconds"] = r.control.planner().downtime_seconds();
    out["stranded_accelerator_seconds"] = r.control.planner().stranded_accelerator_seconds();
    for (const std::string& violation : state.violations())
        out["violations"].append(violation);
    r.reply(out);
}

void control_voters(const Request& r) {
    Voters voters = r.control.replica().raft().voters();
    const auto node = static_cast<NodeId>(r.params["node"].asUInt());
    if (r.params["add"].asBool())
        voters.insert(node);
    else
        voters.erase(node);
    if (voters == r.control.replica().raft().voters())
        return r.reply(Json::Value(Json::objectValue));
    r.control.propose_voters(
        voters, [r](const Expected<ApplyResult>& result) { reply_with_result(r, result); });
}

// Lists the addresses at which the processes serve /events and /metrics, with a ticket for them.
void observe_ticket(const Request& r) {
    constexpr std::int64_t MaxTicketMs = 400LL * 24 * 3600 * 1000;
    const std::int64_t ms = std::min(r.params["valid_ms"].asInt64(), MaxTicketMs);
    const State& state = r.control.replica().state();
    Json::Value out;
    out["ticket"] = make_ticket(r.control.keys(), wall_millis() + ms);
    out["processes"] = Json::arrayValue;
    const auto add = [&](const std::string& name, const std::string& address) {
        Json::Value row;
        row["name"] = name;
        row["http"] = address;
        out["processes"].append(row);
    };
    for (const auto& [name, host] : state.hosts())
        add(name, host.spec.http);
    for (const auto& [name, entry] : state.entries())
        add(name, entry.address);
    r.reply(out);
}

Procedure procedure(const char* name) {
    return {name, PARAMS_BY_NAME, JSON_OBJECT, NULL};
}

const std::vector<Method>& methods() {
    static const std::vector<Method> table = {
        {procedure("settings.get"), Role::Viewer, true, settings_get},
        {{"settings.explain", PARAMS_BY_NAME, JSON_ARRAY, "site", JSON_STRING, "key", JSON_STRING,
          NULL},
         Role::Viewer,
         true,
         settings_explain},
        {procedure("settings.history"), Role::Viewer, true, settings_history},
        {{"settings.set", PARAMS_BY_NAME, JSON_OBJECT, "order", JSON_STRING, "base", JSON_INTEGER,
          "changes", JSON_ARRAY, NULL},
         Role::Admin,
         false,
         settings_set},
        {procedure("hosts.list"), Role::Viewer, true, hosts_list},
        {{"hosts.mode", PARAMS_BY_NAME, JSON_OBJECT, "order", JSON_STRING, "host", JSON_STRING,
          "mode", JSON_STRING, NULL},
         Role::Operator,
         false,
         hosts_mode},
        {procedure("groups.list"), Role::Viewer, true, groups_list},
        {{"groups.explain", PARAMS_BY_NAME, JSON_OBJECT, "group", JSON_INTEGER, NULL},
         Role::Viewer,
         true,
         groups_explain},
        {{"groups.drain", PARAMS_BY_NAME, JSON_OBJECT, "group", JSON_INTEGER, NULL},
         Role::Operator,
         false,
         groups_drain},
        {{"once.show", PARAMS_BY_NAME, JSON_ARRAY, "customer", JSON_STRING, "key", JSON_STRING,
          NULL},
         Role::Operator,
         true,
         once_show},
        {{"once.resolve", PARAMS_BY_NAME, JSON_OBJECT, "order", JSON_STRING, "customer",
          JSON_STRING, "key", JSON_STRING, "ran", JSON_BOOLEAN, NULL},
         Role::Operator,
         false,
         once_resolve},
        {procedure("status"), Role::Viewer, true, status},
        {{"control.voters", PARAMS_BY_NAME, JSON_OBJECT, "node", JSON_INTEGER, "add", JSON_BOOLEAN,
          NULL},
         Role::Admin,
         false,
         control_voters},
        {{"observe.ticket", PARAMS_BY_NAME, JSON_OBJECT, "valid_ms", JSON_INTEGER, NULL},
         Role::Viewer,
         true,
         observe_ticket},
    };
    return table;
}

// ---- JSON-RPC requests and responses

Json::Value rpc_error(int code, const Failure& failure) {
    Json::Value error;
    error["code"] = code;
    error["message"] = std::string(name_of(failure.kind));
    error["data"]["type"] = std::string(name_of(failure.kind));
    error["data"]["detail"] = failure.detail;
    return error;
}

void respond_rpc(HttpExchange& exchange, const Json::Value& id, const char* field,
                 const Json::Value& value) {
    Json::Value out;
    out["jsonrpc"] = "2.0";
    out["id"] = id;
    out[field] = value;
    respond_json(exchange, 200, to_text(out));
}

// Application errors use the code range that JSON-RPC reserves for servers.
constexpr int ApplicationError = -32000;

void respond_failure(HttpExchange& exchange, const Json::Value& id, int code,
                     const Failure& failure) {
    respond_rpc(exchange, id, "error", rpc_error(code, failure));
}

void dispatch(Control& control, const std::shared_ptr<HttpExchange>& exchange) {
    const auto body = parse_json(exchange->body());
    if (!body || !body->isObject() || !(*body)["method"].isString())
        return respond_failure(*exchange, Json::Value(), jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST,
                               {FailureKind::BadRequest, "not a JSON-RPC request"});
    const Json::Value id = (*body)["id"];
    const auto author = operator_of(control, bearer_token(exchange->header("Authorization")));
    if (!author)
        return respond_failure(*exchange, id, ApplicationError,
                               {FailureKind::Unauthorized, "missing or unknown token"});
    const std::string name = (*body)["method"].asString();
    const auto method = std::find_if(methods().begin(), methods().end(), [&](const Method& m) {
        return m.procedure.GetProcedureName() == name;
    });
    if (method == methods().end())
        return respond_failure(*exchange, id, jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND,
                               {FailureKind::NotFound, name});
    if (author->role < method->role)
        return respond_failure(*exchange, id, ApplicationError,
                               {FailureKind::Forbidden, "the token's role does not allow " + name});
    const auto params = std::make_shared<Json::Value>((*body)["params"]);
    if (params->isNull())
        *params = Json::objectValue;
    if (!method->procedure.ValdiateParameters(*params))
        return respond_failure(*exchange, id, jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                               {FailureKind::BadRequest, "parameters of " + name});
    const Reply reply = [exchange, id, params](Expected<Json::Value> result) {
        if (result)
            respond_rpc(*exchange, id, "result", *result);
        else
            respond_failure(*exchange, id, ApplicationError, result.error());
    };
    const auto run = [&control, author = *author, params, reply, method] {
        method->run(Request{control, author, *params, reply});
    };
    if (!method->read)
        return run();
    control.read([run, reply](const Expected<void>& confirmed) {
        if (confirmed)
            run();
        else
            reply(tl::make_unexpected(confirmed.error()));
    });
}

} // namespace

HttpHandler admin_handler(Control& control) {
    return [&control](const std::shared_ptr<HttpExchange>& exchange) {
        const auto ready = [&control] { return control.replica().raft().leader() != NoNode; };
        if (serve_observability(*exchange, control.keys(), ready))
            return;
        if (exchange->path() == "/admin" && exchange->method() == "POST")
            dispatch(control, exchange);
        else
            respond_json(*exchange, 404,
                         error_body({FailureKind::NotFound, std::string(exchange->path())},
                                    Outcome::NotRun));
    };
}

} // namespace liftweir
