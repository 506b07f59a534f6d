// Requests of callers that keep to no limit: forms that hide other requests, and bodies that take
// more memory or time than callers may have.

#include "unit/serverfixture.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace liftweir {
namespace {

using namespace std::chrono_literals;

class BadRequestTest : public ServerTest {};

TEST_F(BadRequestTest, MalformedHeaderLinesAreRefused) {
    serve();
    for (const std::string line :
         {"Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", "Tenant Id: x", "X\x01: a",
          "X: a\x7f", "X: a\rY: b", " X: a", ": a", "Transfer-Encoding: gzip",
          "Transfer-Encoding: chunked, chunked", "Content-Length: 1\r\nContent-Length: 1"}) {
        const std::string got = send_and_receive(
            "POST / HTTP/1.1\r\nHost: x\r\n" + line + "\r\n\r\n1\r\na\r\n0\r\n\r\n", 2s);
        EXPECT_TRUE(got.starts_with("HTTP/1.1 400")) << line << "\n" << got;
    }
    EXPECT_EQ(handled_, 0);
}

// Headers are checked when the head is complete, and trailers arrive after that.
TEST_F(BadRequestTest, TrailersAreNoHeadersOfTheRequest) {
    HttpHeaders headers;
    handler_ = [&](const std::shared_ptr<HttpExchange>& e) {
        headers = e->headers();
        e->respond(200, {}, "ok");
    };
    serve();
    send_and_receive("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "1\r\na\r\n0\r\nHost: y\r\nTenant-Id: z\r\n\r\n",
                     100ms);
    EXPECT_EQ(handled_, 1);
    EXPECT_EQ(headers, (HttpHeaders{{"Host", "x"}, {"Transfer-Encoding", "chunked"}}));
}

// ---- memory

constexpr std::size_t Kibibyte = 1024;

std::string post(std::size_t announced, std::size_t sent) {
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(announced) +
           "\r\n\r\n" + std::string(sent, 'x');
}

// Room for eight bodies of 100 KiB and their heads. One holds no more than what is left for all
// others.
class RequestMemoryTest : public ServerTest {
  protected:
    static constexpr std::size_t Body = 100 * Kibibyte;
    static constexpr std::size_t Bound = 8 * Body + 8 * Kibibyte;

    void SetUp() override { serve({.body_bytes = Body, .request_bytes = Bound}); }

    std::unique_ptr<Caller> call(const std::string& bytes) {
        auto caller = std::make_unique<Caller>(io_, address_);
        caller->send(bytes);
        run(20ms);
        return caller;
    }
    // Callers whose bodies stop one byte short of their end.
    void stall(std::size_t count) {
        for (std::size_t n = 0; n < count; ++n)
            callers_.push_back(call(post(Body, Body - 1)));
    }
    void run(std::chrono::milliseconds time) {
        io_.restart();
        io_.run_for(time);
    }

    std::vector<std::unique_ptr<Caller>> callers_;
};

TEST_F(RequestMemoryTest, ABodyBeyondTheBoundIsRefusedAndNotRun) {
    stall(8);
    const std::string got = callers_.back()->read();
    EXPECT_TRUE(got.starts_with("HTTP/1.1 503")) << got;
    EXPECT_NE(got.find("\r\nRetry-After: "), std::string::npos) << got;
    EXPECT_EQ(handled_, 0);
    EXPECT_LE(server_->request_bytes(), Bound);
}

TEST_F(RequestMemoryTest, SmallRequestsFindRoomBesideLargeOnes) {
    stall(8);
    EXPECT_TRUE(call(post(1000, 1000))->read().starts_with("HTTP/1.1 200"));
}

TEST_F(RequestMemoryTest, CallersWhoStallGiveWayToOneWhoSends) {
    stall(7);
    run(600ms);
    EXPECT_TRUE(call(post(Body, Body))->read().starts_with("HTTP/1.1 200"));
    EXPECT_EQ(handled_, 1);
    std::size_t refused = 0;
    for (const auto& caller : callers_)
        refused += caller->read_until("}}\n").starts_with("HTTP/1.1 503") ? 1 : 0;
    EXPECT_EQ(refused, 1u) << "no more than necessary give way";
}

TEST_F(RequestMemoryTest, ABodyIsFreedWithItsRequest) {
    for (int n = 0; n < 20; ++n)
        EXPECT_TRUE(call(post(Body, Body))->read().starts_with("HTTP/1.1 200")) << n;
    run(20ms);
    EXPECT_EQ(server_->request_bytes(), 0u);
    stall(3);
    EXPECT_GT(server_->request_bytes(), 2 * Body);
    callers_.clear();
    run(20ms);
    EXPECT_EQ(server_->request_bytes(), 0u);
}

TEST_F(RequestMemoryTest, ABodyThatIsSharedStaysCounted) {
    SharedBytes kept;
    handler_ = [&](const std::shared_ptr<HttpExchange>& e) {
        kept = e->shared_body();
        e->respond(200, {}, "ok");
    };
    EXPECT_TRUE(call(post(Body, Body))->read().starts_with("HTTP/1.1 200"));
    run(20ms);
    EXPECT_EQ(kept->size(), Body);
    EXPECT_GE(server_->request_bytes(), Body);
    kept.reset();
    EXPECT_EQ(server_->request_bytes(), 0u);
}

TEST_F(RequestMemoryTest, ABodyThatCouldNeverBeHeldIsTooLarge) {
    server_.reset();
    serve({.body_bytes = 8 * Body, .request_bytes = Bound});
    EXPECT_TRUE(call(post(Bound / 2, 0))->read().starts_with("HTTP/1.1 413"));
    constexpr std::size_t Head = 32 * Kibibyte; // more than a head may hold
    const std::string large = post((Bound - Head) / 2, (Bound - Head) / 2);
    EXPECT_TRUE(call(large)->read().starts_with("HTTP/1.1 200"));
}

TEST_F(RequestMemoryTest, HeadersOfManyNamesAreRefusedBeforeTheHeadEnds) {
    std::string head = "GET / HTTP/1.1\r\nHost: x\r\n";
    for (int n = 0; n < 200; ++n)
        head += "a:\r\n";
    EXPECT_TRUE(call(head)->read().starts_with("HTTP/1.1 431"));
}

// The requests that follow on the connection are read only as far as there is room.
TEST_F(RequestMemoryTest, PipelinedRequestsAreBounded) {
    std::vector<std::shared_ptr<HttpExchange>> held;
    handler_ = [&](const std::shared_ptr<HttpExchange>& e) { held.push_back(e); };
    for (int n = 0; n < 20; ++n)
        callers_.push_back(call("GET / HTTP/1.1\r\nHost: x\r\n\r\n" + post(Body, 60 * Kibibyte)));
    EXPECT_EQ(held.size(), 20u);
    EXPECT_LE(server_->request_bytes(), Bound);
    for (const auto& exchange : held)
        exchange->respond(200, {}, "ok");
    held.clear();
    handler_ = [](const std::shared_ptr<HttpExchange>& e) { e->respond(200, {}, "ok"); };
    for (const auto& caller : callers_)
        EXPECT_TRUE(caller->read_until("ok").starts_with("HTTP/1.1 200"));
}

// Heads without an end, and requests behind one in progress, hold all memory.
TEST_F(RequestMemoryTest, HeadsAndPipelinedRequestsGiveWayToOneWhoSends) {
    std::vector<std::shared_ptr<HttpExchange>> held;
    handler_ = [&](const std::shared_ptr<HttpExchange>& e) { held.push_back(e); };
    for (int n = 0; n < 4; ++n)
        callers_.push_back(call("GET / HTTP/1.1\r\nHost: x\r\n\r\n" + post(Body, 60 * Kibibyte)));
    for (int n = 0; n < 40; ++n)
        callers_.push_back(call("GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(14000, 'a')));
    run(600ms);
    EXPECT_GT(server_->request_bytes(), Bound - 2 * Body);
    handler_ = [](const std::shared_ptr<HttpExchange>& e) { e->respond(200, {}, "ok"); };
    EXPECT_TRUE(call(post(Body, Body))->read().starts_with("HTTP/1.1 200"));
    for (const auto& exchange : held)
        exchange->respond(200, {}, "ok");
    for (int n = 0; n < 4; ++n)
        EXPECT_TRUE(callers_[n]->read_until("ok").starts_with("HTTP/1.1 200")) << "ready answers";
}

// ---- time

TEST_F(BadRequestTest, ABodyThatGetsAByteNowAndThenEnds) {
    serve({.header_timeout = 100ms});
    Caller caller(io_, address_);
    caller.send(post(1000, 1));
    const auto began = std::chrono::steady_clock::now();
    while (server_->busy() > 0 && std::chrono::steady_clock::now() - began < 5s) {
        io_.restart();
        io_.run_for(50ms);
        if (server_->busy() > 0)
            caller.send("x");
    }
    EXPECT_EQ(server_->busy(), 0u);
    EXPECT_EQ(handled_, 0);
}

// ---- heads

class NoneOfPath final : public RequestScreen {
  public:
    std::optional<HttpRefusal> refuse(const RequestView& head) override {
        ++seen;
        if (head.path() != "/none")
            return std::nullopt;
        return HttpRefusal{404, {{"X-Why", head.header("X-Reason")}}, "none"};
    }
    int seen = 0;
};

TEST_F(BadRequestTest, ALargeBodyIsNotReadIfItsHeadIsRefused) {
    NoneOfPath screen;
    serve({}, AddressUse::Exclusive, &screen);
    const std::string head = " HTTP/1.1\r\nHost: x\r\nX-Reason: y\r\n";
    const std::string announced = "Content-Length: 100000\r\nExpect: 100-continue\r\n\r\n";
    const std::string chunk = "6000\r\n" + std::string(0x6000, 'x') + "\r\n";
    for (const std::string& rest :
         {announced, "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk}) {
        const std::string got = send_and_receive("POST /none?a" + head + rest, 3s);
        EXPECT_TRUE(got.starts_with("HTTP/1.1 404")) << got;
        EXPECT_NE(got.find("X-Why: y\r\n"), std::string::npos) << got;
        EXPECT_TRUE(closed_);
    }
    EXPECT_EQ(screen.seen, 2);
    EXPECT_EQ(handled_, 0);
    const std::string small = "POST /none" + head + "Content-Length: 1\r\n\r\na";
    EXPECT_TRUE(send_and_receive(small, 100ms).starts_with("HTTP/1.1 200"))
        << "left to the handler";
    const std::string good = "POST /some" + head + "Content-Length: 100000\r\n\r\n";
    EXPECT_TRUE(
        send_and_receive(good + std::string(100000, 'x'), 100ms).starts_with("HTTP/1.1 200"));
    EXPECT_EQ(handled_, 2);
}

// ---- connections

TEST_F(BadRequestTest, ConnectionsThatSendNothingGiveWayAtTheLimit) {
    serve({.connections = 20});
    std::vector<std::unique_ptr<Caller>> silent;
    for (int n = 0; n < 60; ++n) {
        silent.push_back(std::make_unique<Caller>(io_, address_));
        if (n % 2 == 0)
            silent.back()->send("GET / HT");
        io_.restart();
        io_.run_for(2ms);
    }
    EXPECT_LE(server_->connections(), 20u);
    Caller caller(io_, address_);
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(caller.read_until("ok").starts_with("HTTP/1.1 200"));
}

} // namespace
} // namespace liftweir
