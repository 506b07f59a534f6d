#include "request/callerapi.h"
#include "version/keys.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace liftweir {
namespace {

// An HTTP request without a connection.
class Request final : public HttpExchange {
  public:
    std::string_view method() const override { return method_; }
    std::string_view target() const override { return path_; }
    std::string_view path() const override { return path_; }
    std::string_view query() const override { return {}; }
    std::string_view body() const override { return body_; }
    const HttpHeaders& headers() const override { return headers_; }
    std::string header(std::string_view name) const override {
        for (const auto& [key, value] : headers_)
            if (key == name)
                return value;
        return {};
    }
    Time received() const override { return {}; }
    bool on_reused_connection() const override { return false; }
    ConnectionId connection() const override { return 0; }
    void set_label(std::string) override {}
    void respond(int, const HttpHeaders&, std::string) override {}
    void begin(int, const HttpHeaders&) override {}
    void write(std::string, std::function<void(bool)>) override {}
    void finish() override {}
    void abort() override {}
    std::optional<Time> disconnected_at() const override { return {}; }
    void on_disconnect(std::function<void()>) override {}

    std::string method_ = "POST";
    std::string path_ = "/v1/completions";
    std::string body_;
    HttpHeaders headers_;
};

const Time Now{std::chrono::seconds(100)};

Table table() {
    Table t;
    t.models["archive"].deadline = std::chrono::seconds(60);
    t.services["quotes"].deadline = std::chrono::seconds(10);
    t.services["quotes"].body_bytes = 1000;
    return t;
}

Expected<ParsedCall> parse(const std::string& body, const HttpHeaders& headers = {},
                           const std::string& path = "/v1/completions") {
    Request request;
    request.body_ = body;
    request.headers_ = headers;
    request.path_ = path;
    return parse_call(request, table(), Now);
}

std::string completion(const std::string& fields) {
    return R"({"model":"archive","prompt":"p")" + (fields.empty() ? "" : "," + fields) + "}";
}

std::string chat(const std::string& messages, const std::string& fields = "") {
    return R"({"model":"archive","messages":)" + messages + (fields.empty() ? "" : "," + fields) +
           "}";
}

void expect_refused(const Expected<ParsedCall>& call, const std::string& what,
                    const std::string& field) {
    ASSERT_FALSE(call.has_value()) << what << " was forwarded";
    EXPECT_EQ(call.error().kind, FailureKind::BadRequest) << what;
    EXPECT_EQ(call.error().detail.find(field + ":"), 0u)
        << what << " is answered with '" << call.error().detail << "'";
}

TEST(CallerApi, FieldOutOfBoundsIsRejectedByNameAndNotForwarded) {
    for (const std::string field : {"max_tokens", "max_completion_tokens", "min_tokens", "n",
                                    "best_of", "logprobs", "top_k", "seed"})
        for (const std::string value : {"-9223372036854775809", "0.5", "1e3", "1e99",
                                        "99999999999999999999", "\"5\"", "[5]", "{}"})
            expect_refused(parse(completion("\"" + field + "\":" + value)), field + " " + value,
                           field);
    for (const std::string field : {"max_tokens", "max_completion_tokens", "n", "best_of"})
        for (const std::string value : {"-5", "-1", "1048577", "4294967296", "true"})
            expect_refused(parse(completion("\"" + field + "\":" + value)), field + " " + value,
                           field);
    for (const std::string field : {"temperature", "top_p", "min_p", "presence_penalty",
                                    "frequency_penalty", "repetition_penalty", "length_penalty"})
        for (const std::string value : {"-99", "99", "1e300", "\"1\"", "true", "[]"})
            expect_refused(parse(completion("\"" + field + "\":" + value)), field + " " + value,
                           field);
    for (const std::string field : {"stream", "echo", "ignore_eos"})
        for (const std::string value : {"1", "\"true\"", "0.0", "[]"})
            expect_refused(parse(completion("\"" + field + "\":" + value)), field + " " + value,
                           field);
    for (const std::string value : {"5", "[1]", "{}", "[\"a\",5]"})
        expect_refused(parse(completion("\"stop\":" + value)), "stop " + value, "stop");
    for (const std::string value : {"5", "[1]", "{\"5\":101}", "{\"5\":\"x\"}"})
        expect_refused(parse(completion("\"logit_bias\":" + value)), value, "logit_bias");
}

TEST(CallerApi, ModelPromptAndMessagesMustHaveTheirTypes) {
    for (const std::string value : {"5", "null", "[]", "\"\"", "true"})
        expect_refused(parse(R"({"prompt":"p","model":)" + value + "}"), "model " + value, "model");
    expect_refused(parse(R"({"prompt":"p","model":")" + std::string(300, 'a') + "\"}"),
                   "a long model", "model");
    for (const std::string value : {"5", "null", "[\"p\"]", "{}", "true"})
        expect_refused(parse(R"({"model":"archive","prompt":)" + value + "}"), "prompt " + value,
                       "prompt");
    const std::string path = "/v1/chat/completions";
    for (const std::string value :
         {"5", "null", "\"hi\"", "{}", "[]", "[5]", "[{}]", R"([{"role":5,"content":"x"}])",
          R"([{"role":"user","content":5}])", R"([{"role":"user","content":[5]}])"})
        expect_refused(parse(chat(value), {}, path), "messages " + value, "messages");
    expect_refused(parse(chat(R"([{"role":"user","content":"x"}])", "\"max_tokens\":-5"), {}, path),
                   "max_tokens of a chat", "max_tokens");
}

TEST(CallerApi, DuplicateFieldIsRejectedSinceTheEngineMayReadTheOtherOne) {
    const auto call = parse(completion(R"("max_tokens":-5,"max_tokens":5)"));
    ASSERT_FALSE(call.has_value());
    EXPECT_EQ(call.error().kind, FailureKind::BadRequest);
}

// A number in a field that liftweir does not know may still crash an engine that reads it.
TEST(CallerApi, NumbersInUnknownFieldsMustFitIntoEngineIntegers) {
    for (const std::string value : {"99999999999999999999", "-99999999999999999999", "1e999",
                                    "[1,[99999999999999999999]]", "{\"x\":1e999}"}) {
        const auto call = parse(completion("\"some_extension\":" + value));
        ASSERT_FALSE(call.has_value()) << value;
        EXPECT_EQ(call.error().kind, FailureKind::BadRequest);
    }
    EXPECT_TRUE(parse(completion(R"("some_extension":{"x":[1,-1,0.5,9007199254740993]})")));
}

TEST(CallerApi, InvalidHeadersAreRejectedByName) {
    const std::string body = completion("");
    for (const std::string value : {"-1", "0", "5.5", "1e3", "abc", "12x", " 5", "86400001",
                                    "9223372036854775807", "99999999999999999999"})
        expect_refused(parse(body, {{"Liftweir-Deadline-Ms", value}}), "deadline " + value,
                       "Liftweir-Deadline-Ms");
    for (const std::string& value :
         {std::string("a b"), std::string("\x01"), std::string("\xff"), std::string(257, 'k')})
        expect_refused(parse("{}", {{"Idempotency-Key", value}}, "/services/quotes/save"),
                       "key " + value, "Idempotency-Key");
    for (const std::string& value : {std::string("\x01"), std::string(257, 't')})
        expect_refused(parse(body, {{"Content-Type", value}}), "type " + value, "Content-Type");
}

TEST(CallerApi, ValidRequestIsForwardedUnchanged) {
    const auto plain = parse(completion(
        R"("max_tokens":64,"n":1,"temperature":0.7,"top_p":1,"stream":true,"stop":["a","b"],)"
        R"("seed":-9,"logprobs":null,"user":"u","logit_bias":{"50256":-100},"max_completion_tokens":null)"));
    ASSERT_TRUE(plain.has_value()) << plain.error().detail;
    EXPECT_EQ(plain->spec.expected_tokens, 64u);
    EXPECT_TRUE(plain->spec.streamed);
    const auto chat_call = parse(
        chat(
            R"([{"role":"system","content":"s"},{"role":"user","content":[{"type":"text","text":"x"}]},)"
            R"({"role":"assistant","content":null,"tool_calls":[]},{"role":"tool","content":"r"}])",
            R"("logprobs":true,"top_logprobs":5,"max_completion_tokens":9)"),
        {{"Liftweir-Deadline-Ms", "250"}, {"Content-Type", "application/json; charset=utf-8"}},
        "/v1/chat/completions");
    ASSERT_TRUE(chat_call.has_value()) << chat_call.error().detail;
    EXPECT_EQ(chat_call->spec.deadline, Now + std::chrono::milliseconds(250));
    EXPECT_EQ(chat_call->spec.expected_tokens, 9u);
    EXPECT_TRUE(parse(completion("\"max_tokens\":0")));
    EXPECT_TRUE(parse(completion("\"max_tokens\":1048576")));
    EXPECT_TRUE(parse("{}", {{"Idempotency-Key", std::string(256, 'k')}}, "/services/quotes/save"));
    EXPECT_EQ(parse(completion(""), {{"Liftweir-Deadline-Ms", "86400000"}})->spec.deadline,
              Now + std::chrono::seconds(60));
}

Json::Value any_json(int depth) {
    switch (*rc::gen::inRange(0, depth > 0 ? 8 : 6)) {
    case 0:
        return Json::Value(Json::nullValue);
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return Json::Int64(*rc::gen::arbitrary<std::int64_t>());
    case 3:
        return Json::UInt64(*rc::gen::arbitrary<std::uint64_t>());
    case 4:
        return *rc::gen::arbitrary<double>();
    case 5:
        return *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    case 6: {
        Json::Value list(Json::arrayValue);
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
            list.append(any_json(depth - 1));
        return list;
    }
    default: {
        Json::Value object(Json::objectValue);
        for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
            object[std::string(1, static_cast<char>('a' + i))] = any_json(depth - 1);
        return object;
    }
    }
}

TEST(CallerApi, ForwardedRequestCanBeParsedByAnEngine) {
    EXPECT_TRUE(rc::check([] {
        static const std::vector<std::string> Fields = {
            "max_tokens", "n",      "stream", "temperature", "seed",    "stop",
            "logit_bias", "prompt", "model",  "logprobs",    "unknown", "max_completion_tokens"};
        Json::Value body;
        body["model"] = "archive";
        body["prompt"] = "p";
        for (int i = *rc::gen::inRange(1, 4); i > 0; --i)
            body[*rc::gen::elementOf(Fields)] = any_json(2);
        const auto call = parse(to_text(body));
        if (!call) {
            RC_ASSERT(call.error().kind == FailureKind::BadRequest ||
                      call.error().kind == FailureKind::NotFound);
            return;
        }
        RC_ASSERT(call->spec.body == to_text(body));
        const Json::Value sent = parse_json(call->spec.body).value();
        RC_ASSERT(sent["prompt"].isString());
        RC_ASSERT(sent.get("max_tokens", 16).asUInt() <= 1u << 20);
        RC_ASSERT(sent.get("n", 1).asUInt() <= 128u);
        RC_ASSERT(sent.get("stream", false).asBool() == call->spec.streamed);
        RC_ASSERT(std::abs(sent.get("temperature", 1).asDouble()) <= 2.0);
    }));
}

} // namespace
} // namespace liftweir
