// Translation between the users' platform and liftweir: wrong input is rejected with a typed error,
// and outgoing requests and orders carry the fields that they need.

#include "platform/callers.h"
#include "platform/document.h"
#include "platform/json.h"
#include "platform/workers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace liftweir::platform {
namespace {

using std::chrono::milliseconds;

const std::string ValidDocument = R"({"version":7,"routes":[
 {"name":"r1","hostname":"h.example","path-prefix":"/a/","route-type":"streaming","timeout-ms":8000,
  "target-latency-ms":400,"priority":1,"traffic-split":[{"service":"llm","weight":90},
  {"service":"app","weight":10}],"max-attempts":2,"public-access":false,"stream-resume":true,
  "gap_aim_ms":300},
 {"name":"r2","hostname":"h.example","path-prefix":"/b/","route-type":"unsafe","timeout-ms":2000,
  "service":"app","public-access":true}],
 "services":[{"name":"llm","max-connections":332,"engine":{"slots":48,"stride":3,"chunk":2048,
  "step_ms":6.07,"per_seq_ms":0.241,"read_per_s":46000.0,"loads_per_s":3.0,"loads_at_once":6,
  "far_x":3.0,"form_ms":300.0,"keeps":1,"models":[
  {"name":"m","size":4,"share":0.67,"pace":1.0,"load_s":16.0,"warm-s":1.6}]}},{"name":"app"}],
 "limits":{"max-header-bytes":1000,"idle-timeout-ms":15000},
 "tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1}]})";

std::string with_replaced(const std::string& old_part, const std::string& new_part) {
    std::string text = ValidDocument;
    const auto at = text.find(old_part);
    EXPECT_NE(at, std::string::npos) << old_part;
    return text.replace(at, old_part.size(), new_part);
}

TEST(Document, IsDecodedIntoDeployment) {
    const auto d = read_document(ValidDocument);
    ASSERT_TRUE(d) << d.error().detail;
    EXPECT_EQ(d->version, 7u);
    const Route& route = d->routes[0];
    EXPECT_TRUE(route.repeatable());
    EXPECT_TRUE(route.needs_key);
    EXPECT_EQ(route.pause_goal, milliseconds(300));
    EXPECT_EQ(route.split.size(), 2u);
    EXPECT_FALSE(d->routes[1].repeatable());
    const EngineCost& engine = *d->service("llm")->engine;
    EXPECT_DOUBLE_EQ(engine.prefill_tokens_per_ms, 46);
    EXPECT_EQ(engine.models[0].warm_join, milliseconds(1600));
    EXPECT_EQ(d->limits.header_bytes, 1000u);
    EXPECT_EQ(d->customers[0].keys.size(), 2u);
}

TEST(Document, EveryKindOfInvalidInputIsRejected) {
    EXPECT_FALSE(read_document(ValidDocument.substr(0, ValidDocument.size() / 2)));
    EXPECT_FALSE(read_document(ValidDocument + "x"));
    EXPECT_FALSE(read_document(""));
    EXPECT_FALSE(read_document("[]"));
    EXPECT_FALSE(read_document(with_replaced("\"version\":7", "\"version\":\"7\"")));
    EXPECT_FALSE(read_document(
        with_replaced("\"service\":\"app\",\"public", "\"service\":\"no\",\"public")));
    EXPECT_FALSE(
        read_document(with_replaced("\"path-prefix\":\"/b/\"", "\"path-prefix\":\"/a/\"")));
    EXPECT_FALSE(
        read_document(with_replaced("\"weight\":90},\n  {\"service\":\"app\",\"weight\":10}",
                                    "\"weight\":0},\n  {\"service\":\"app\",\"weight\":0}")));
    EXPECT_FALSE(read_document(with_replaced("\"timeout-ms\":2000", "\"timeout-ms\":0")));
    EXPECT_FALSE(
        read_document(with_replaced("{\"name\":\"t\",", "{\"name\":\"u\",\"api-keys\":[\"k1\"]},"
                                                        "{\"name\":\"t\",")));
    EXPECT_FALSE(read_document(with_replaced("\"routes\":[", "\"routes\":[3,")));
    EXPECT_FALSE(read_document(std::string(100000, '[')));
    const auto very_long =
        read_document(with_replaced("\"timeout-ms\":2000", "\"timeout-ms\":1e300"));
    EXPECT_TRUE(!very_long || very_long->routes[1].timeout > Duration::zero());
}

RC_GTEST_PROP(Document, DamagedDocumentIsReadWholeOrRejected, ()) {
    std::string text = ValidDocument;
    const auto changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i)
        text[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(text.size())))] =
            *rc::gen::arbitrary<char>();
    const auto document = read_document(text);
    if (document)
        RC_ASSERT(check(*document).has_value());
}

TEST(Registration, CarriesGroupAndState) {
    const auto report = read_registration(
        "i-1", R"({"service":"llm","address":"10.0.0.9:80","zone":"z","version":"v1","slots":48,
        "state":"draining","cold-remaining-ms":0,"sequence":4,"domain":"d0","staged":["m"],"group":{"name":"m.12","epoch":12,"rank":0,
        "state":"open"}})");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->phase, EndpointPhase::Draining);
    EXPECT_EQ(report->membership, (Membership{"m.12", 12, 0, MemberState::Open}));
    EXPECT_FALSE(report->leads_open_group());
    EXPECT_EQ(report->staged, std::vector<std::string>{"m"});
}

TEST(Registration, WithoutAddressOrServiceIsRejected) {
    EXPECT_FALSE(read_registration("i-1", R"({"service":"llm","sequence":1})"));
    EXPECT_FALSE(read_registration("i-1", R"({"address":"10.0.0.9:80","sequence":1})"));
    EXPECT_FALSE(read_registration("", R"({"service":"llm","address":"10.0.0.9:80"})"));
    EXPECT_FALSE(read_registration("i-1", "{"));
}

// The JSON library throws where a list stands in the place of a name; the exception must not leave
// the HTTP handler. No endpoint sends such a list.
TEST(Registration, StagedModelsOfAnotherTypeAreRejected) {
    const std::string begin =
        R"({"service":"llm","address":"10.0.0.9:80","zone":"z","version":"v1","slots":48,
        "state":"ready","cold-remaining-ms":0,"sequence":4,"staged":)";
    for (const std::string staged : {R"([["m"]])", R"([3])", R"([{"name":3}])", R"("m")"}) {
        const auto report = read_registration("i-1", begin + staged + "}");
        ASSERT_FALSE(report) << staged;
        EXPECT_EQ(report.error(), ReportFault::Group) << staged;
    }
    const auto report = read_registration("i-1", begin + R"([{"name":"n"},"m"]})");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->staged, (std::vector<std::string>{"n", "m"}));
}

RC_GTEST_PROP(Registration, AnyBytesGiveAReportOrAFailure, (const std::string& bytes)) {
    (void)read_registration("i-1", bytes);
    (void)read_registration("i-1", "{\"group\":" + bytes + "}");
}

TEST(Orders, CarryTheFieldsOfTheirKind) {
    EndpointOrder order;
    order.kind = OrderKind::Join;
    order.group = "m.12";
    order.epoch = 12;
    order.model = "m";
    order.members = {"i-1", "i-2"};
    order.fence = 99;
    const auto join = parse_object(order_body(order));
    EXPECT_EQ((*join)["op"], "join");
    EXPECT_EQ((*join)["members"].size(), 2u);
    EXPECT_EQ((*join)["fence"].asUInt64(), 99u);
    order.kind = OrderKind::Close;
    const auto close = parse_object(order_body(order));
    EXPECT_EQ((*close)["how"], "wait");
    EXPECT_FALSE(close->isMember("members"));
    order.kind = OrderKind::Stage;
    EXPECT_FALSE(parse_object(order_body(order))->isMember("group"));
}

class FakeExchange final : public HttpExchange {
  public:
    std::string_view method() const override { return "POST"; }
    std::string_view target() const override { return target_; }
    std::string_view path() const override { return target_; }
    std::string_view query() const override { return {}; }
    std::string_view body() const override { return {}; }
    const HttpHeaders& headers() const override { return headers_; }
    std::string header(std::string_view name) const override {
        return std::string(find_header(headers_, name));
    }
    bool on_reused_connection() const override { return false; }
    ConnectionId connection() const override { return 0; }
    void set_label(std::string) override {}
    Time received() const override { return {}; }
    void respond(int, const HttpHeaders&, std::string) override {}
    void begin(int, const HttpHeaders&) override {}
    void write(std::string, std::function<void(bool)>) override {}
    void finish() override {}
    void abort() override {}
    std::optional<Time> disconnected_at() const override { return {}; }
    void on_disconnect(std::function<void()>) override {}

    std::string target_ = "/a/b";
    HttpHeaders headers_{{"Host", "h.example"},
                         {"Request-Id", "r1"},
                         {"Authorization", "Bearer k1"},
                         {"Tenant-Id", "somebody-else"},
                         {"Target-Instance", "i-9"},
                         {"Deadline-Ms", "8000"},
                         {"Model", "m"},
                         {"Token-Usage", "1460,80"},
                         {"Connection", "keep-alive, X-Hop"},
                         {"X-Hop", "1"},
                         {"X-Own", "2"}};
};

TEST(ClientProtocol, ReadsThePartsOfThePromptThatOtherRequestsMayShare) {
    const auto parts_of = [](const std::string& text) {
        FakeExchange exchange;
        exchange.headers_.emplace_back("Prefix-Hash", text);
        return ClientProtocol().read(exchange).shared_parts;
    };
    const std::vector<Fingerprint> shared = {fingerprint_of_part("5c1e07a2"),
                                             fingerprint_of_part("91bd3f06")};
    EXPECT_EQ(parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), shared);
    EXPECT_EQ(parts_of("5c1e07a2:800, 91bd3f06, e4402b7d:250"), shared);
    EXPECT_TRUE(parts_of("e4402b7d:250").empty());
    EXPECT_TRUE(parts_of("").empty());
    EXPECT_TRUE(parts_of(",:,").empty());
    std::string many;
    for (int n = 0; n < 1000; ++n)
        many += std::to_string(n) + ":1,";
    EXPECT_LE(parts_of(many).size(), 32u);
}

// The customer's key is not forwarded, and a client can not set the headers that liftweir sets.
TEST(ClientProtocol, ForwardsClientHeadersAndSetsItsOwn) {
    const ClientProtocol protocol;
    const FakeExchange exchange;
    const CallerRequest request = protocol.read(exchange);
    EXPECT_EQ(request.key, "k1");
    EXPECT_EQ(request.prompt_tokens, 1460u);
    EXPECT_EQ(request.answer_tokens, 80u);
    EXPECT_EQ(request.time_limit, milliseconds(8000));
    const HttpRequestHead head = protocol.forward(exchange, {"i-1", "t", milliseconds(7500), "12"});
    EXPECT_EQ(find_header(head.headers, "Target-Instance"), "i-1");
    EXPECT_EQ(find_header(head.headers, "Tenant-Id"), "t");
    EXPECT_EQ(find_header(head.headers, "Deadline-Ms"), "7500");
    EXPECT_EQ(find_header(head.headers, "Last-Event-Id"), "12");
    EXPECT_EQ(find_header(head.headers, "Model"), "m");
    EXPECT_EQ(find_header(head.headers, "X-Own"), "2");
    EXPECT_TRUE(find_header(head.headers, "Authorization").empty());
    EXPECT_TRUE(find_header(head.headers, "X-Hop").empty());
    const auto times = std::count_if(head.headers.begin(), head.headers.end(), [](const auto& h) {
        return equals_ignoring_case(h.first, "Tenant-Id");
    });
    EXPECT_EQ(times, 1);
}

TEST(ClientProtocol, OnlyAnExplicitSignalMeansThatARequestDidNotRun) {
    const ClientProtocol protocol;
    CallerRequest request;
    request.id = "r1";
    EXPECT_FALSE(protocol.parse_response({503, {}}, request).not_run);
    EXPECT_TRUE(protocol.parse_response({503, {{"Not-Executed", "1"}}}, request).not_run);
    EXPECT_TRUE(protocol.parse_response({421, {}}, request).not_run);
}

// Bytes that a faulty endpoint sends after an answer may look like a response without an id.
TEST(ClientProtocol, OnlyAResponseThatNamesTheRequestAnswersIt) {
    const ClientProtocol protocol;
    CallerRequest request;
    request.id = "r1";
    const auto foreign = [&](int status, const HttpHeaders& headers) {
        return protocol.parse_response({status, headers}, request).foreign;
    };
    for (const int status : {200, 204, 301, 400, 421, 429, 500, 503}) {
        EXPECT_TRUE(foreign(status, {})) << status;
        EXPECT_TRUE(foreign(status, {{"Request-Id", ""}})) << status;
        EXPECT_TRUE(foreign(status, {{"Request-Id", "r2"}, {"Response-Signature", "s"}})) << status;
        EXPECT_FALSE(foreign(status, {{"Request-Id", "r1"}, {"Response-Signature", "s"}}));
        EXPECT_EQ(foreign(status, {{"request-id", "r1"}}), status / 100 == 2) << status;
    }
}

ResponseSignals signals_of(HttpHeaders headers) {
    return ClientProtocol().parse_response({200, std::move(headers)}, {});
}

TEST(ClientProtocol, ReadsTheAnnouncedLimit) {
    EXPECT_EQ(signals_of({{"Server-Limit", "3.9"}}).limit_per_second, 3.9);
    EXPECT_EQ(signals_of({{"server-limit", "12"}}).limit_per_second, 12);
    EXPECT_EQ(signals_of({}).limit_per_second, 0);
    EXPECT_EQ(signals_of({}).limit_fault, NumberFault::None);
}

TEST(ClientProtocol, IgnoresAnInvalidLimitAndReportsTheFault) {
    for (const char* text :
         {"", "-1", "nan", "inf", "1e3", "3,5", "0x10", "3.9 4", "many", "1.2.3"})
        EXPECT_EQ(signals_of({{"Server-Limit", text}}).limit_fault, NumberFault::Unreadable)
            << text;
    for (const char* text : {"0", "0.0", "1000001", "99999999999999999999999999"})
        EXPECT_EQ(signals_of({{"Server-Limit", text}}).limit_fault, NumberFault::OutOfRange)
            << text;
    const ResponseSignals twice = signals_of({{"Server-Limit", "3"}, {"Server-Limit", "4"}});
    EXPECT_EQ(twice.limit_fault, NumberFault::Repeated);
    EXPECT_EQ(twice.limit_per_second, 0);
}

TEST(ClientProtocol, ReadsTheRequestedBackoff) {
    const auto parsed = [](int status, const char* text) {
        return ClientProtocol().parse_response({status, {{"Retry-After", text}}}, {});
    };
    EXPECT_EQ(parsed(503, "3").backoff, std::chrono::seconds(3));
    EXPECT_EQ(parsed(503, "2.5").backoff, milliseconds(2500));
    EXPECT_EQ(parsed(200, "3").backoff, Duration::zero());
    for (const char* text : {"-3", "nan", "", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"})
        EXPECT_EQ(parsed(503, text).backoff_fault, NumberFault::Unreadable) << text;
    EXPECT_EQ(parsed(503, "1e9").backoff_fault, NumberFault::Unreadable);
    EXPECT_EQ(parsed(503, "1000000000").backoff_fault, NumberFault::OutOfRange);
    EXPECT_EQ(parsed(503, "1000000000").backoff, Duration::zero());
}

TEST(ClientProtocol, ReadsServerLeaving) {
    EXPECT_TRUE(signals_of({{"Server-Leaving", "1"}}).leaving);
    for (const char* text : {"0", "", "yes"})
        EXPECT_FALSE(signals_of({{"Server-Leaving", text}}).leaving) << text;
    EXPECT_FALSE(signals_of({}).leaving);
}

TEST(ClientProtocol, RejectsPathsWithControlCharacters) {
    FakeExchange exchange;
    exchange.target_ = "/a\tb";
    EXPECT_FALSE(ClientProtocol().read(exchange).wellformed);
    exchange.target_ = "*";
    EXPECT_FALSE(ClientProtocol().read(exchange).wellformed);
}

} // namespace
} // namespace liftweir::platform
