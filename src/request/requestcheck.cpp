// Checks of the fields and headers of callers' requests.

#include "request/requestcheck.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <string_view>

namespace liftweir {

namespace {

// The bounds are those of the OpenAI API where it has one, and otherwise wide enough for every
// compatible engine: it matters only that they are finite and that the type is certain.
constexpr std::size_t MaxHeaderBytes = 256; // an idempotency key is stored in the replicated log
constexpr std::size_t MaxStops = 64;
constexpr std::int64_t MaxChoices = 128;
constexpr std::int64_t MaxLogprobs = 20;
constexpr double MaxBias = 100;
// The settings allow deadlines of an hour at most; a day is above that and fits into nanoseconds.
constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;
// 2^64: a larger number does not fit into any integer type of an engine.
constexpr double MaxNumber = 18446744073709551616.0;

struct IntegerBound {
    std::string_view name;
    std::int64_t lowest;
    std::int64_t highest;
};
constexpr std::array<IntegerBound, 7> IntegerFields = {{
    {"max_tokens", 0, MaxTokens},
    {"max_completion_tokens", 0, MaxTokens},
    {"min_tokens", 0, MaxTokens},
    {"n", 1, MaxChoices},
    {"best_of", 1, MaxChoices},
    {"top_k", -1, MaxTokens}, // -1 and 0 both mean all
    {"top_logprobs", 0, MaxLogprobs},
}};

struct NumberBound {
    std::string_view name;
    double lowest;
    double highest;
};
constexpr std::array<NumberBound, 7> NumberFields = {{
    {"temperature", 0, 2},
    {"top_p", 0, 1},
    {"min_p", 0, 1},
    {"presence_penalty", -2, 2},
    {"frequency_penalty", -2, 2},
    {"repetition_penalty", 0, 10},
    {"length_penalty", -10, 10},
}};

constexpr std::array<std::string_view, 3> BooleanFields = {"stream", "echo", "ignore_eos"};
constexpr std::array<std::string_view, 2> StringFields = {"user", "suffix"};

tl::unexpected<Failure> refuse(std::string_view name, const std::string& allowed) {
    return fail(FailureKind::BadRequest, std::string(name) + ": allowed is " + allowed);
}

const Json::Value& field(const Json::Value& body, std::string_view name) {
    static const Json::Value missing;
    const Json::Value* found = body.find(name.data(), name.data() + name.size());
    return found == nullptr ? missing : *found;
}

// Depends on the notation: 1e3 and 5.0 are integers to some engines and not to others.
bool is_integer(const Json::Value& value) {
    return (value.type() == Json::intValue || value.type() == Json::uintValue) && value.isInt64();
}

bool is_number(const Json::Value& value) {
    return value.type() == Json::intValue || value.type() == Json::uintValue ||
           value.type() == Json::realValue;
}

bool all_strings(const Json::Value& list) {
    return std::all_of(list.begin(), list.end(),
                       [](const Json::Value& item) { return item.isString(); });
}

Expected<void> check_integer(const Json::Value& body, const IntegerBound& bound) {
    const Json::Value& value = field(body, bound.name);
    const bool fits =
        is_integer(value) && value.asInt64() >= bound.lowest && value.asInt64() <= bound.highest;
    if (value.isNull() || fits)
        return {};
    return refuse(bound.name, "a whole number from " + std::to_string(bound.lowest) + " to " +
                                  std::to_string(bound.highest));
}

Expected<void> check_number(const Json::Value& body, const NumberBound& bound) {
    const Json::Value& value = field(body, bound.name);
    const bool fits =
        is_number(value) && value.asDouble() >= bound.lowest && value.asDouble() <= bound.highest;
    if (value.isNull() || fits)
        return {};
    const auto text = [](double d) { return std::to_string(static_cast<int>(d)); };
    return refuse(bound.name, "a number from " + text(bound.lowest) + " to " + text(bound.highest));
}

// The field is a count in a completion and a flag in a chat completion.
Expected<void> check_logprobs(const Json::Value& body, bool chat) {
    if (!chat)
        return check_integer(body, {"logprobs", 0, MaxLogprobs});
    const Json::Value& value = field(body, "logprobs");
    if (!value.isNull() && !value.isBool())
        return refuse("logprobs", "true or false");
    return {};
}

Expected<void> check_lists(const Json::Value& body) {
    const Json::Value& stop = field(body, "stop");
    const bool stops = stop.isArray() && stop.size() <= MaxStops && all_strings(stop);
    if (!stop.isNull() && !stop.isString() && !stops)
        return refuse("stop", "text, or a list of up to " + std::to_string(MaxStops) + " texts");
    const Json::Value& bias = field(body, "logit_bias");
    const auto in_bound = [](const Json::Value& value) {
        return is_number(value) && std::abs(value.asDouble()) <= MaxBias;
    };
    if (!bias.isNull() && (!bias.isObject() || !std::all_of(bias.begin(), bias.end(), in_bound)))
        return refuse("logit_bias", "an object of numbers from -100 to 100");
    if (!field(body, "stream_options").isNull() && !field(body, "stream_options").isObject())
        return refuse("stream_options", "an object");
    return {};
}

bool is_message(const Json::Value& message) {
    if (!message.isObject() || !field(message, "role").isString())
        return false;
    const Json::Value& content = field(message, "content");
    const bool parts =
        content.isArray() && std::all_of(content.begin(), content.end(),
                                         [](const Json::Value& part) { return part.isObject(); });
    return content.isNull() || content.isString() || parts;
}

Expected<void> check_input(const Json::Value& body, bool chat) {
    if (!chat && !field(body, "prompt").isString())
        return refuse("prompt", "text");
    if (!chat)
        return {};
    const Json::Value& messages = field(body, "messages");
    if (!messages.isArray() || messages.empty() ||
        !std::all_of(messages.begin(), messages.end(), is_message))
        return refuse("messages", "a list of objects, at least one, each with `role` as text and "
                                  "`content` as text or a list of objects");
    return {};
}

// The recursion is bounded, since the parser limits the depth of the body.
bool numbers_fit(const Json::Value& value) {
    if (value.type() == Json::realValue)
        return std::isfinite(value.asDouble()) && std::abs(value.asDouble()) < MaxNumber;
    return std::all_of(value.begin(), value.end(), numbers_fit);
}

bool is_printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

Expected<void> check_deadline(const std::string& text) {
    const bool digits =
        text.size() <= std::to_string(MaxDeadlineMs).size() &&
        std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (text.empty() || (digits && std::stoll(text) >= 1 && std::stoll(text) <= MaxDeadlineMs))
        return {};
    return refuse("Liftweir-Deadline-Ms",
                  "a whole number from 1 to " + std::to_string(MaxDeadlineMs));
}

} // namespace

Expected<void> check_model_body(const Json::Value& body, bool chat) {
    auto checked = check_input(body, chat);
    for (const IntegerBound& bound : IntegerFields)
        checked = checked ? check_integer(body, bound) : checked;
    for (const NumberBound& bound : NumberFields)
        checked = checked ? check_number(body, bound) : checked;
    for (const std::string_view name : BooleanFields)
        if (checked && !field(body, name).isNull() && !field(body, name).isBool())
            checked = refuse(name, "true or false");
    for (const std::string_view name : StringFields)
        if (checked && !field(body, name).isNull() && !field(body, name).isString())
            checked = refuse(name, "text");
    const Json::Value& seed = field(body, "seed");
    if (checked && !seed.isNull() && !is_integer(seed))
        checked = refuse("seed", "a whole number of 64 bits");
    checked = checked ? check_logprobs(body, chat) : checked;
    checked = checked ? check_lists(body) : checked;
    if (checked && !numbers_fit(body))
        checked = fail(FailureKind::BadRequest, "a number in the body does not fit into 64 bits");
    return checked;
}

Expected<void> check_headers(const HttpExchange& exchange) {
    const std::string key = exchange.header("Idempotency-Key");
    const bool without_space = is_printable(key) && key.find(' ') == std::string::npos;
    if (key.size() > MaxHeaderBytes || !without_space)
        return refuse("Idempotency-Key", "up to " + std::to_string(MaxHeaderBytes) +
                                             " printable characters without a space");
    const std::string type = exchange.header("Content-Type");
    if (type.size() > MaxHeaderBytes || !is_printable(type))
        return refuse("Content-Type",
                      "up to " + std::to_string(MaxHeaderBytes) + " printable characters");
    return check_deadline(exchange.header("Liftweir-Deadline-Ms"));
}

} // namespace liftweir
