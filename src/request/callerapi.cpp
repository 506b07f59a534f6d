// Parsing of callers' requests to models and to plain services.

#include "request/callerapi.h"

#include "connection/secret.h"
#include "request/requestcheck.h"
#include "request/routing.h"
#include "version/keys.h"

#include <algorithm>
#include <string>

namespace liftweir {

namespace {

constexpr std::string_view ServicePrefix = "/services/";
// Longest name of a model together with its adapter.
constexpr std::size_t MaxModelNameBytes = 256;

// A caller may ask for less time than the settings allow, but not for more. The header's format
// was checked before.
Time deadline_of(const HttpExchange& exchange, Duration allowed, Time now) {
    const std::string header = exchange.header("Liftweir-Deadline-Ms");
    if (header.empty())
        return now + allowed;
    return now + std::min<Duration>(allowed, std::chrono::milliseconds(std::stoll(header)));
}

void fill_from_http(const HttpExchange& exchange, CallSpec& spec) {
    spec.method = exchange.method();
    spec.content_type = exchange.header("Content-Type");
    spec.body = exchange.body();
    spec.idempotency_key = exchange.header("Idempotency-Key");
}

std::string prompt_of(const Json::Value& body) {
    if (body["prompt"].isString())
        return body["prompt"].asString();
    return body["messages"].isArray() ? to_text(body["messages"]) : std::string();
}

Expected<ParsedCall> parse_model_call(const HttpExchange& exchange, const Table& table, Time now) {
    const auto body = parse_json(exchange.body());
    if (!body || !body->isObject())
        return fail(FailureKind::BadRequest,
                    body ? "the body is not an object" : body.error().detail);
    if (!(*body)["model"].isString() || (*body)["model"].asString().empty() ||
        (*body)["model"].asString().size() > MaxModelNameBytes)
        return fail(FailureKind::BadRequest, "model: allowed is text of 1 to " +
                                                 std::to_string(MaxModelNameBytes) + " bytes");
    const std::string model_name = (*body)["model"].asString();
    const auto colon = model_name.find(':');
    const auto route = table.models.find(model_name.substr(0, colon));
    if (route == table.models.end())
        return fail(FailureKind::NotFound, "model '" + model_name + "' is not known at this site");
    const bool chat = exchange.path() == "/v1/chat/completions";
    if (const auto checked = check_model_body(*body, chat); !checked)
        return tl::make_unexpected(checked.error());
    ParsedCall out;
    fill_from_http(exchange, out.spec);
    out.spec.is_model = true;
    out.spec.name = route->first;
    out.spec.adapter = colon == std::string::npos ? "" : model_name.substr(colon + 1);
    out.spec.path = exchange.path();
    out.spec.repeatable = true;
    out.spec.streamed = (*body)["stream"].isBool() && (*body)["stream"].asBool();
    out.spec.prefix = prefix_hash(prompt_of(*body));
    const Json::Value& tokens =
        (*body)[body->isMember("max_tokens") ? "max_tokens" : "max_completion_tokens"];
    out.spec.expected_tokens = tokens.isNull() ? 0 : tokens.asUInt();
    out.spec.deadline = deadline_of(exchange, route->second.deadline, now);
    out.traffic_class = route->second.traffic_class;
    return out;
}

Expected<ParsedCall> parse_service_call(const HttpExchange& exchange, const Table& table,
                                        Time now) {
    std::string_view rest = exchange.path().substr(ServicePrefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const std::string name(rest.substr(0, slash));
    const auto rule = table.services.find(name);
    if (rule == table.services.end())
        return fail(FailureKind::NotFound, "service '" + name + "' is not known at this site");
    if (exchange.body().size() > rule->second.body_bytes)
        return fail(FailureKind::BadRequest, "the body is larger than " +
                                                 std::to_string(rule->second.body_bytes) +
                                                 " bytes");
    ParsedCall out;
    fill_from_http(exchange, out.spec);
    out.spec.name = name;
    out.spec.path = slash == rest.size() ? "/" : std::string(rest.substr(slash));
    if (!exchange.query().empty())
        out.spec.path += "?" + std::string(exchange.query());
    // HTTP defines GET and HEAD as safe to repeat.
    out.spec.repeatable =
        rule->second.repeatable || exchange.method() == "GET" || exchange.method() == "HEAD";
    out.spec.deadline = deadline_of(exchange, rule->second.deadline, now);
    out.traffic_class = rule->second.traffic_class;
    out.slots = rule->second.slots;
    if (!out.spec.repeatable && !out.spec.idempotency_key.empty())
        out.spec.digest = sha256_hex(out.spec.method + "\n" + out.spec.name + out.spec.path + "\n" +
                                     out.spec.body);
    return out;
}

} // namespace

Expected<ParsedCall> parse_call(const HttpExchange& exchange, const Table& table, Time now) {
    if (const auto checked = check_headers(exchange); !checked)
        return tl::make_unexpected(checked.error());
    const std::string_view path = exchange.path();
    if (path.starts_with(ServicePrefix))
        return parse_service_call(exchange, table, now);
    const bool model = path == "/v1/completions" || path == "/v1/chat/completions";
    if (!model || exchange.method() != "POST")
        return fail(FailureKind::NotFound, "no such route");
    return parse_model_call(exchange, table, now);
}

std::string models_body(const Table& table) {
    Json::Value body;
    body["object"] = "list";
    body["data"] = Json::arrayValue;
    for (const auto& [name, route] : table.models) {
        Json::Value row;
        row["id"] = name;
        row["object"] = "model";
        row["ready"] = std::any_of(route.targets.begin(), route.targets.end(), [](const Target& t) {
            return t.admits && t.stats->open.load();
        });
        body["data"].append(row);
    }
    return to_text(body);
}

} // namespace liftweir
