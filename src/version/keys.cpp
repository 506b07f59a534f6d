// The settings keys themselves, and the matching of keys against their patterns.

#include "version/keys.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <numeric>

namespace liftweir {

namespace {

constexpr int MaxJsonDepth = 32;
constexpr std::size_t MaxParsedBytes = 64u << 20;
constexpr std::size_t DigestHexLength = 64;

std::vector<std::string_view> split(std::string_view key) {
    std::vector<std::string_view> parts;
    while (true) {
        const auto slash = key.find('/');
        parts.push_back(key.substr(0, slash));
        if (slash == std::string_view::npos)
            return parts;
        key.remove_prefix(slash + 1);
    }
}

bool matches(std::string_view pattern, std::string_view key) {
    const auto wanted = split(pattern);
    const auto found = split(key);
    if (wanted.size() != found.size())
        return false;
    for (std::size_t i = 0; i < wanted.size(); ++i)
        if (wanted[i] == "*" ? found[i].empty() : wanted[i] != found[i])
            return false;
    return true;
}

std::size_t edit_distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
        }
    }
    return row.back();
}

// Replaces the stars of a pattern with the operator's names from `key`, so that an operator can
// paste the suggested key.
std::string fill(std::string_view pattern, std::string_view key) {
    const auto given = split(key);
    std::string out;
    std::size_t i = 0;
    for (const auto part : split(pattern)) {
        out += out.empty() ? "" : "/";
        out += part == "*" && i < given.size() ? given[i] : part;
        ++i;
    }
    return out;
}

bool is_digest(const Json::Value& value) {
    if (!value.isString())
        return false;
    const std::string text = value.asString();
    return text.size() == DigestHexLength &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool is_text_list(const Json::Value& value) {
    return value.isArray() && std::all_of(value.begin(), value.end(),
                                          [](const Json::Value& item) { return item.isString(); });
}

bool in_range(const KeySpec& spec, double number) {
    return number >= spec.min && number <= spec.max;
}

bool allowed(const KeySpec& spec, const Json::Value& value) {
    switch (spec.type) {
    case ValueType::Bool:
        return value.isBool();
    case ValueType::Integer:
        return value.isInt64() && in_range(spec, value.asDouble());
    case ValueType::Number:
        return value.isNumeric() && in_range(spec, value.asDouble());
    case ValueType::Text:
        return value.isString() && in_range(spec, static_cast<double>(value.asString().size()));
    case ValueType::Choice:
        return value.isString() && std::find(spec.choices.begin(), spec.choices.end(),
                                             value.asString()) != spec.choices.end();
    case ValueType::TextList:
        return is_text_list(value) && in_range(spec, value.size());
    case ValueType::Digest:
        return is_digest(value);
    }
    return false;
}

std::string number_text(double number) {
    const auto whole = static_cast<std::int64_t>(number);
    if (static_cast<double>(whole) == number)
        return std::to_string(whole);
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    return text;
}

} // namespace

const std::vector<KeySpec>& key_table() {
    using enum ValueType;
    static const std::vector<KeySpec> table = {
        {"placement/policy",
         Choice,
         "",
         0,
         0,
         "\"priced\"",
         "How broken groups are repaired: by price, or one of the two baselines.",
         {"priced", "rebuild", "wait"}},
        {"placement/group_downtime_weight", Number, "per group second", 0, 1000, "1",
         "Price of one second in which a wanted group does not serve."},
        {"placement/stranded_weight", Number, "per accelerator second", 0, 1000, "0.1",
         "Price of one second of one live accelerator that holds no serving group."},
        {"placement/silent_after_ms", Integer, "ms", 500, 60000, "2000",
         "Time without contact after which a host counts as missing."},
        {"placement/expected_return_ms", Integer, "ms", 100, 3600000, "30000",
         "Mean outage of a host that returns, assumed before any outage was observed."},
        {"placement/loss_share", Number, "", 0.001, 0.999, "0.05",
         "Share of outages that last until a manual repair, assumed before any was observed."},
        {"placement/loss_horizon_ms", Integer, "ms", 1000, 86400000, "600000",
         "Duration that the price assumes for the outage of a host that does not return."},
        {"placement/loads_at_once", Integer, "groups", 1, 64, "2",
         "Groups that may load from the weight store at the same time."},
        {"placement/drain_timeout_ms", Integer, "ms", 1000, 3600000, "120000",
         "Longest time that a planned stop waits for requests in flight."},
        {"gate/echo_timeout_ms", Integer, "ms", 300, 5000, "1500",
         "Age of a member's last ping reply at which the lead closes the gate."},
        {"weight_store/mb_per_second", Number, "MB/s", 0.001, 1000000, "1000",
         "Throughput of the weight store, from which the expected load time is computed."},
        {"models/*/replicas", Integer, "groups", 0, 10000, "0",
         "Groups that this model should have."},
        {"models/*/hosts_per_group", Integer, "hosts", 1, 64, "4", "Hosts of one replica."},
        {"models/*/version", Text, "", 1, 128, "\"1\"", "Version to load."},
        {"models/*/adapters", TextList, "", 0, 256, "[]", "Adapters to load."},
        {"models/*/weight_mb", Number, "MB per host", 0, 10000000, "1000",
         "Bytes that one host reads from the weight store to load the model."},
        {"models/*/class", Text, "", 1, 64, "\"standard\"",
         "Traffic class of requests to this model."},
        {"models/*/deadline_ms", Integer, "ms", 10, 3600000, "60000",
         "Deadline of a request that does not set one."},
        {"services/*/repeatable", Bool, "", 0, 0, "false",
         "Whether a call may run more than once."},
        {"services/*/class", Text, "", 1, 64, "\"standard\"",
         "Traffic class of calls to this service."},
        {"services/*/deadline_ms", Integer, "ms", 10, 3600000, "10000",
         "Deadline of a call that does not set one."},
        {"services/*/body_bytes", Integer, "bytes", 0, 16777216, "1048576",
         "Largest request body."},
        {"services/*/concurrency", Integer, "calls", 1, 10000, "32",
         "Calls in flight at one endpoint of this service."},
        {"classes/*/weight", Integer, "", 1, 1000, "10",
         "Share of a contended endpoint that the class gets."},
        {"classes/*/shed_order", Integer, "", 0, 100, "50",
         "Classes with a lower number are refused first when a queue is full."},
        {"customers/*/key_digest", Digest, "", 0, 0, "\"\"", "SHA-256 of the customer's API key."},
        {"customers/*/requests_per_second", Number, "requests/s", 0.01, 1000000, "1000",
         "Request rate of the customer over all entry hosts."},
        {"customers/*/tokens_per_second", Number, "tokens/s", 1, 100000000, "1000000",
         "Rate of generated tokens of the customer over all entry hosts."},
        {"customers/*/concurrency", Integer, "requests", 1, 1000000, "1000",
         "Requests in flight of the customer over all entry hosts."},
        {"customers/*/weight", Integer, "", 1, 1000, "10",
         "Share of its class that the customer gets under contention."},
        {"operators/*/token_digest", Digest, "", 0, 0, "\"\"", "SHA-256 of the operator's token."},
        {"operators/*/role",
         Choice,
         "",
         0,
         0,
         "\"viewer\"",
         "Viewers read; operators also drain and resolve; admins also change settings.",
         {"viewer", "operator", "admin"}},
        {"operators/*/scope", Text, "", 0, 512, "\"\"",
         "Level of the settings tree for which the token is valid, with all levels below it; empty "
         "for the whole tree."},
        {"routing/policy",
         Choice,
         "",
         0,
         0,
         "\"two_choices\"",
         "How an entry host picks among serving groups.",
         {"two_choices", "round_robin", "least_in_flight"}},
        {"routing/prefix_affinity", Bool, "", 0, 0, "true",
         "Whether requests with the same prefix prefer the same group."},
        {"routing/affinity_load_bound", Number, "", 1, 10, "1.5",
         "Load, relative to the mean, up to which the preferred group keeps its requests."},
        {"routing/group_slots", Integer, "requests", 1, 100000, "32",
         "Requests that one group processes concurrently; further ones wait at its gate."},
        {"routing/queue_length", Integer, "requests", 0, 100000, "256",
         "Requests that may wait at one gate."},
        {"routing/ejection", Bool, "", 0, 0, "true", "Whether slow groups are avoided."},
        {"routing/ejection_ratio", Number, "", 1.1, 100, "3",
         "Time to the first token, relative to the median of its peers, that ejects a group."},
        {"routing/ejection_share", Number, "", 0, 1, "0.3",
         "Largest share of a model's groups that may be ejected at once."},
        {"limits/enabled", Bool, "", 0, 0, "true", "Whether customers' limits are enforced."},
        {"limits/early_refusal", Bool, "", 0, 0, "true",
         "Whether work that can not meet its deadline is refused before it waits."},
        {"retries/budget", Number, "", 0, 10, "0.1",
         "Retries allowed per success, over the last ten seconds."},
        {"retries/attempts", Integer, "attempts", 1, 10, "3", "Attempts of one request."},
        {"retries/hedge_after_ms", Integer, "ms", 0, 600000, "0",
         "Wait for the first token after which a repeatable request is hedged; 0 for never."},
        {"once/window_hours", Integer, "h", 1, 720, "24",
         "How long an idempotency key is remembered."},
        {"once/claims_per_customer", Integer, "claims", 1, 1000000, "10000",
         "Idempotency keys that one customer may hold at once."},
        {"once/answer_bytes", Integer, "bytes", 0, 1048576, "16384",
         "Largest answer that is kept for replay."},
        {"log/level",
         Choice,
         "",
         0,
         0,
         "\"info\"",
         "Lowest severity that is logged.",
         {"debug", "info", "warning", "error"}},
    };
    return table;
}

const KeySpec* find_key(std::string_view key) {
    for (const KeySpec& spec : key_table())
        if (matches(spec.pattern, key))
            return &spec;
    return nullptr;
}

std::string nearest_key(std::string_view key) {
    std::string best;
    std::size_t best_distance = SIZE_MAX;
    for (const KeySpec& spec : key_table()) {
        std::string candidate = fill(spec.pattern, key);
        const std::size_t distance = edit_distance(key, candidate);
        if (distance < best_distance) {
            best_distance = distance;
            best = std::move(candidate);
        }
    }
    return best;
}

std::string_view name_of(ValueType type) {
    switch (type) {
    case ValueType::Bool:
        return "bool";
    case ValueType::Integer:
        return "integer";
    case ValueType::Number:
        return "number";
    case ValueType::Text:
        return "text";
    case ValueType::Choice:
        return "choice";
    case ValueType::TextList:
        return "list of texts";
    case ValueType::Digest:
        return "SHA-256 digest";
    }
    return "unknown";
}

std::string allowed_values(const KeySpec& spec) {
    switch (spec.type) {
    case ValueType::Bool:
        return "true or false";
    case ValueType::Integer:
    case ValueType::Number:
        return std::string(name_of(spec.type)) + " from " + number_text(spec.min) + " to " +
               number_text(spec.max);
    case ValueType::Text:
        return "text of " + number_text(spec.min) + " to " + number_text(spec.max) + " bytes";
    case ValueType::TextList:
        return "list of at most " + number_text(spec.max) + " texts";
    case ValueType::Digest:
        return "64 lower-case hexadecimal digits";
    case ValueType::Choice:
        break;
    }
    std::string out;
    for (const auto choice : spec.choices)
        out += (out.empty() ? "one of " : ", ") + std::string(choice);
    return out;
}

Expected<void> check_value(std::string_view key, const Json::Value& value) {
    const KeySpec* spec = find_key(key);
    if (spec == nullptr)
        return fail(FailureKind::BadSettings,
                    std::string(key) + ": unknown key; the nearest is " + nearest_key(key));
    if (!allowed(*spec, value))
        return fail(FailureKind::BadSettings, std::string(key) + ": found " + to_text(value) +
                                                  "; allowed is " + allowed_values(*spec));
    return {};
}

// Each element of an array or an object stands behind one of these characters. Those within strings
// are counted too: documents hold few of them.
std::size_t parsed_bytes(std::string_view text) {
    constexpr std::size_t BytesPerValue = 128; // a tree node with its key and value
    const auto begins_value = [](char c) { return c == ',' || c == '[' || c == '{'; };
    const auto values =
        static_cast<std::size_t>(std::count_if(text.begin(), text.end(), begins_value));
    return values * BytesPerValue + text.size();
}

Expected<Json::Value> parse_json(std::string_view text) {
    if (parsed_bytes(text) > MaxParsedBytes)
        return fail(FailureKind::BadSettings, "the JSON text has too many values");
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = MaxJsonDepth;
    builder["strictRoot"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return value;
    } catch (const std::exception& e) {
        errors = e.what();
    }
    return fail(FailureKind::BadSettings, "not JSON: " + errors);
}

std::string to_text(const Json::Value& value) {
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder b;
        b["indentation"] = "";
        b["emitUTF8"] = true;
        return b;
    }();
    return Json::writeString(builder, value);
}

} // namespace liftweir
