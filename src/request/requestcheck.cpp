#include "request/requestcheck.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <string_view>

namespace liftweir {

namespace {

// Bounds are those of the OpenAI interface where it names one, and otherwise wide enough for every
// engine that follows it: what matters is that they are finite and that the type is certain.
constexpr std::size_t MostHeaderBytes = 256; // an idempotency key is kept in the log as it is
constexpr std::size_t MostStops = 64;
constexpr std::int64_t MostChoices = 128;
constexpr std::int64_t MostLogprobs = 20;
constexpr double MostBias = 100;
// No deadline of the settings is longer than an hour; a day leaves room and can be counted in ns.
constexpr std::int64_t MostDeadlineMs = 24LL * 3600 * 1000;
// 2^64: a number beyond it fits into no integer that an engine reads.
constexpr double MostNumber = 18446744073709551616.0;

struct WholeBound {
    std::string_view name;
    std::int64_t least;
    std::int64_t most;
};
constexpr std::array<WholeBound, 7> Wholes = {{
    {"max_tokens", 0, MostTokens},
    {"max_completion_tokens", 0, MostTokens},
    {"min_tokens", 0, MostTokens},
    {"n", 1, MostChoices},
    {"best_of", 1, MostChoices},
    {"top_k", -1, MostTokens}, // -1 and 0 both mean all
    {"top_logprobs", 0, MostLogprobs},
}};

struct RealBound {
    std::string_view name;
    double least;
    double most;
};
constexpr std::array<RealBound, 7> Reals = {{
    {"temperature", 0, 2},
    {"top_p", 0, 1},
    {"min_p", 0, 1},
    {"presence_penalty", -2, 2},
    {"frequency_penalty", -2, 2},
    {"repetition_penalty", 0, 10},
    {"length_penalty", -10, 10},
}};

constexpr std::array<std::string_view, 3> Flags = {"stream", "echo", "ignore_eos"};
constexpr std::array<std::string_view, 2> Texts = {"user", "suffix"};

tl::unexpected<Failure> refuse(std::string_view name, const std::string& allowed) {
    return fail(FailureKind::BadRequest, std::string(name) + ": allowed is " + allowed);
}

const Json::Value& field(const Json::Value& body, std::string_view name) {
    static const Json::Value missing;
    const Json::Value* found = body.find(name.data(), name.data() + name.size());
    return found == nullptr ? missing : *found;
}

// By the way it is written: 1e3 and 5.0 are whole numbers to some engines and not to others.
bool is_whole(const Json::Value& value) {
    return (value.type() == Json::intValue || value.type() == Json::uintValue) && value.isInt64();
}

bool is_number(const Json::Value& value) {
    return value.type() == Json::intValue || value.type() == Json::uintValue ||
           value.type() == Json::realValue;
}

bool all_text(const Json::Value& list) {
    return std::all_of(list.begin(), list.end(),
                       [](const Json::Value& item) { return item.isString(); });
}

Expected<void> check_whole(const Json::Value& body, const WholeBound& bound) {
    const Json::Value& value = field(body, bound.name);
    const bool fits =
        is_whole(value) && value.asInt64() >= bound.least && value.asInt64() <= bound.most;
    if (value.isNull() || fits)
        return {};
    return refuse(bound.name, "a whole number from " + std::to_string(bound.least) + " to " +
                                  std::to_string(bound.most));
}

Expected<void> check_real(const Json::Value& body, const RealBound& bound) {
    const Json::Value& value = field(body, bound.name);
    const bool fits =
        is_number(value) && value.asDouble() >= bound.least && value.asDouble() <= bound.most;
    if (value.isNull() || fits)
        return {};
    const auto text = [](double d) { return std::to_string(static_cast<int>(d)); };
    return refuse(bound.name, "a number from " + text(bound.least) + " to " + text(bound.most));
}

// A count for completions, a flag for chats.
Expected<void> check_logprobs(const Json::Value& body, bool chat) {
    if (!chat)
        return check_whole(body, {"logprobs", 0, MostLogprobs});
    const Json::Value& value = field(body, "logprobs");
    if (!value.isNull() && !value.isBool())
        return refuse("logprobs", "true or false");
    return {};
}

Expected<void> check_lists(const Json::Value& body) {
    const Json::Value& stop = field(body, "stop");
    const bool stops = stop.isArray() && stop.size() <= MostStops && all_text(stop);
    if (!stop.isNull() && !stop.isString() && !stops)
        return refuse("stop", "text, or a list of up to " + std::to_string(MostStops) + " texts");
    const Json::Value& bias = field(body, "logit_bias");
    const auto in_bound = [](const Json::Value& value) {
        return is_number(value) && std::abs(value.asDouble()) <= MostBias;
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

// Depth is bounded where the body is parsed.
bool numbers_fit(const Json::Value& value) {
    if (value.type() == Json::realValue)
        return std::isfinite(value.asDouble()) && std::abs(value.asDouble()) < MostNumber;
    return std::all_of(value.begin(), value.end(), numbers_fit);
}

bool is_printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

Expected<void> check_deadline(const std::string& text) {
    const bool digits =
        text.size() <= std::to_string(MostDeadlineMs).size() &&
        std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (text.empty() || (digits && std::stoll(text) >= 1 && std::stoll(text) <= MostDeadlineMs))
        return {};
    return refuse("Liftweir-Deadline-Ms",
                  "a whole number from 1 to " + std::to_string(MostDeadlineMs));
}

} // namespace

Expected<void> check_model_body(const Json::Value& body, bool chat) {
    auto checked = check_input(body, chat);
    for (const WholeBound& bound : Wholes)
        checked = checked ? check_whole(body, bound) : checked;
    for (const RealBound& bound : Reals)
        checked = checked ? check_real(body, bound) : checked;
    for (const std::string_view name : Flags)
        if (checked && !field(body, name).isNull() && !field(body, name).isBool())
            checked = refuse(name, "true or false");
    for (const std::string_view name : Texts)
        if (checked && !field(body, name).isNull() && !field(body, name).isString())
            checked = refuse(name, "text");
    const Json::Value& seed = field(body, "seed");
    if (checked && !seed.isNull() && !is_whole(seed))
        checked = refuse("seed", "a whole number of 64 bits");
    checked = checked ? check_logprobs(body, chat) : checked;
    checked = checked ? check_lists(body) : checked;
    if (checked && !numbers_fit(body))
        checked = fail(FailureKind::BadRequest, "a number in the body does not fit into 64 bits");
    return checked;
}

Expected<void> check_headers(const HttpExchange& exchange) {
    const std::string key = exchange.header("Idempotency-Key");
    const bool one_word = is_printable(key) && key.find(' ') == std::string::npos;
    if (key.size() > MostHeaderBytes || !one_word)
        return refuse("Idempotency-Key", "up to " + std::to_string(MostHeaderBytes) +
                                             " printable characters without a space");
    const std::string type = exchange.header("Content-Type");
    if (type.size() > MostHeaderBytes || !is_printable(type))
        return refuse("Content-Type",
                      "up to " + std::to_string(MostHeaderBytes) + " printable characters");
    return check_deadline(exchange.header("Liftweir-Deadline-Ms"));
}

} // namespace liftweir
