// Faulty and hostile callers: each gets a defined response within bounds of time and memory.

#include "unit/serverfixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <csignal>
#include <cstdlib>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace liftweir {
namespace {

constexpr auto ResponseTimeout = std::chrono::milliseconds(2500);

TEST_F(ServerTest, RefusesAnAddressThatIsInUse) {
    serve();
    EXPECT_THROW(serve_http(io_, address_, {}, handler_), std::system_error);
}

TEST_F(ServerTest, ServersOfOneProcessShareAnAddressIfBothAllowIt) {
    serve({}, AddressUse::Shared);
    EXPECT_NO_THROW(serve_http(io_, address_, {}, handler_, AddressUse::Shared));
    EXPECT_THROW(serve_http(io_, address_, {}, handler_), std::system_error);
}

TEST_F(ServerTest, RefusesRequestsThatCanBeFramedInTwoWays) {
    serve();
    const std::string two_lengths =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
    EXPECT_TRUE(send_and_receive(two_lengths, ResponseTimeout).starts_with("HTTP/1.1 400 "));
    const std::string both = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    EXPECT_TRUE(send_and_receive(both, ResponseTimeout).starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(closed_);
    EXPECT_EQ(handled_, 0);
}

TEST_F(ServerTest, RefusesRequestsWithoutHostOrWithGarbage) {
    serve();
    EXPECT_TRUE(
        send_and_receive("GET / HTTP/1.1\r\n\r\n", ResponseTimeout).starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(
        send_and_receive("\x01\x02garbage\r\n\r\n", ResponseTimeout).starts_with("HTTP/1.1 400 "));
    const std::string zero = std::string("GET /a\0b HTTP/1.1\r\nHost: x\r\n\r\n", 31);
    EXPECT_TRUE(send_and_receive(zero, ResponseTimeout).starts_with("HTTP/1.1 400 "));
    EXPECT_EQ(handled_, 0);
}

TEST_F(ServerTest, BoundsTheSizeOfHeadsAndBodies) {
    serve({.body_bytes = 100, .header_bytes = 1000});
    const std::string large_head =
        "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(70000, 'a') + "\r\n\r\n";
    EXPECT_TRUE(send_and_receive(large_head, ResponseTimeout).starts_with("HTTP/1.1 431 "));
    const std::string large_body = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n";
    EXPECT_TRUE(send_and_receive(large_body, ResponseTimeout).starts_with("HTTP/1.1 413 "));
    const std::string large_chunk =
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "c8\r\n" +
        std::string(200, 'b') + "\r\n0\r\n\r\n";
    EXPECT_TRUE(send_and_receive(large_chunk, ResponseTimeout).starts_with("HTTP/1.1 413 "));
    EXPECT_EQ(handled_, 0);
}

TEST_F(ServerTest, BoundsTheTimeOfHeadsAndBodies) {
    serve({.header_timeout = std::chrono::milliseconds(300)});
    EXPECT_TRUE(send_and_receive("GET / HT", ResponseTimeout).starts_with("HTTP/1.1 408 "));
    EXPECT_TRUE(send_and_receive("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\na",
                                 ResponseTimeout)
                    .starts_with("HTTP/1.1 408 "));
    EXPECT_TRUE(closed_);
    EXPECT_EQ(handled_, 0);
}

TEST_F(ServerTest, ClosesIdleConnections) {
    serve({.idle_timeout = std::chrono::milliseconds(200)});
    EXPECT_EQ(send_and_receive("", ResponseTimeout), "");
    EXPECT_TRUE(closed_);
}

// A load balancer may hand most new connections to one host for a while.
TEST_F(ServerTest, NewConnectionsAtTheLimitReplaceTheLongestIdleOnes) {
    HttpServerLimits limits;
    limits.connections = 20;
    serve(limits);
    std::vector<std::unique_ptr<Caller>> callers;
    for (int n = 0; n < 30; ++n) {
        callers.push_back(std::make_unique<Caller>(io_, address_));
        callers.back()->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_NE(callers.back()->read_until("ok").find("200"), std::string::npos) << n;
    }
    EXPECT_LE(server_->connections(), 20u);
    EXPECT_EQ(handled_, 30);
}

TEST_F(ServerTest, ConnectionsInUseAreNotClosedForNewOnes) {
    HttpServerLimits limits;
    limits.connections = 3;
    serve(limits);
    std::vector<std::shared_ptr<HttpExchange>> held;
    handler_ = [&](const std::shared_ptr<HttpExchange>& e) { held.push_back(e); };
    std::vector<std::unique_ptr<Caller>> callers;
    for (int n = 0; n < 4; ++n) {
        callers.push_back(std::make_unique<Caller>(io_, address_));
        callers.back()->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        io_.run_for(std::chrono::milliseconds(20));
    }
    EXPECT_EQ(held.size(), 3u);
    EXPECT_EQ(server_->connections(), 3u);
    for (const auto& exchange : held)
        exchange->respond(200, {}, "ok");
    EXPECT_NE(callers.front()->read_until("ok").find("200"), std::string::npos);
}

TEST_F(ServerTest, WithoutFreeDescriptorsItWaitsInsteadOfTryingAgainAtOnce) {
    serve();
    rlimit before{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    asio::ip::tcp::socket socket(io_, asio::ip::tcp::v4());
    rlimit none_free = before;
    none_free.rlim_cur = static_cast<rlim_t>(socket.native_handle()) + 1;
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none_free), 0);
    asio::error_code error;
    socket.connect(parse_address(address_).value(), error);
    const std::size_t turns = io_.run_for(std::chrono::milliseconds(200));
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_FALSE(error);
    EXPECT_LT(turns, 100u);
    EXPECT_EQ(server_->connections(), 0u);
    io_.run_for(std::chrono::milliseconds(100));
    EXPECT_EQ(server_->connections(), 1u);
}

TEST_F(ServerTest, AnswersPipelinedRequestsInOrder) {
    serve();
    const std::string one = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string two = "GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    handler_ = [](const std::shared_ptr<HttpExchange>& e) {
        e->respond(200, {}, std::string(e->target()));
    };
    const std::string got = send_and_receive(one + two, ResponseTimeout);
    EXPECT_LT(got.find("/1"), got.find("/2"));
    EXPECT_EQ(handled_, 2);
    EXPECT_TRUE(closed_);
}

TEST_F(ServerTest, AnAbortedStreamNeverLooksComplete) {
    serve();
    handler_ = [](const std::shared_ptr<HttpExchange>& e) {
        e->begin(200, {});
        e->write("part", [e](bool) { e->abort(); });
    };
    const std::string got = send_and_receive("GET / HTTP/1.1\r\nHost: x\r\n\r\n", ResponseTimeout);
    EXPECT_NE(got.find("part"), std::string::npos);
    EXPECT_EQ(got.find("0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(closed_);
}

TEST_F(ServerTest, ADroppedRequestClosesItsConnection) {
    serve();
    handler_ = [](const std::shared_ptr<HttpExchange>&) {};
    EXPECT_EQ(send_and_receive("GET / HTTP/1.1\r\nHost: x\r\n\r\n", ResponseTimeout), "");
    EXPECT_TRUE(closed_);
}

TEST_F(ServerTest, ClosesConnectionsAfterTheirResponsesDuringShutdown) {
    serve();
    server_->close_after_answers();
    const std::string got = send_and_receive("GET / HTTP/1.1\r\nHost: x\r\n\r\n", ResponseTimeout);
    EXPECT_NE(got.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(closed_);
}

// Whatever bytes arrive, the process keeps running and serves the next caller.
RC_GTEST_FIXTURE_PROP(ServerTest, SurvivesAnyBytes, (const std::string& bytes)) {
    serve({.header_timeout = std::chrono::milliseconds(50)});
    (void)send_and_receive("POST /" + bytes, std::chrono::milliseconds(30));
    const std::string good = "GET /after HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    RC_ASSERT(send_and_receive(good, ResponseTimeout).starts_with("HTTP/1.1 200 "));
}

const std::string PlainRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na";

TEST_F(ServerTest, ClosesOnlyConnectionsThatAreIdle) {
    serve();
    handler_ = [](const std::shared_ptr<HttpExchange>& e) {
        e->respond(200, {}, std::string(8u << 20, 'x'));
    };
    Caller fresh(io_, address_);
    Caller slow(io_, address_);
    slow.send(PlainRequest);
    io_.run_for(std::chrono::milliseconds(100));
    EXPECT_EQ(server_->busy(), 1u);
    server_->close_idle();
    EXPECT_GT(slow.read().size(), 8u << 20);
    fresh.send(PlainRequest);
    EXPECT_GT(fresh.read().size(), 8u << 20);
}

TEST_F(ServerTest, AConnectionIsIdleAfterItsResponse) {
    serve();
    Caller idle(io_, address_);
    idle.send(PlainRequest);
    io_.run_for(std::chrono::milliseconds(50));
    EXPECT_EQ(server_->connections(), 1u);
    EXPECT_EQ(server_->busy(), 0u);
    server_->close_idle();
    io_.restart();
    io_.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(server_->connections(), 0u);
}

TEST_F(ServerTest, ARequestThatIsBeingReadKeepsTheServerBusy) {
    serve();
    Caller half(io_, address_);
    half.send(PlainRequest.substr(0, PlainRequest.size() - 1));
    io_.run_for(std::chrono::milliseconds(50));
    EXPECT_EQ(server_->busy(), 1u);
    server_->close_idle();
    half.send("a");
    EXPECT_TRUE(half.read().starts_with("HTTP/1.1 200 "));
}

// Time within which the server has to notice that a caller has disconnected.
constexpr auto DisconnectNoticeTime = std::chrono::milliseconds(500);

// Leaves requests unanswered and counts the callers whose disconnect was noticed.
class DisconnectTest : public ServerTest {
  protected:
    void SetUp() override {
        serve();
        handler_ = [this](const std::shared_ptr<HttpExchange>& e) {
            unanswered_.push_back(e);
            e->on_disconnect([this] { ++disconnects_; });
        };
    }
    void run(std::chrono::milliseconds time) {
        io_.restart();
        io_.run_for(time);
    }

    std::vector<std::shared_ptr<HttpExchange>> unanswered_;
    int disconnects_ = 0;
};

TEST_F(DisconnectTest, NoticesACloseBehindManyUnreadBytes) {
    Caller caller(io_, address_);
    caller.send(PlainRequest + "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n");
    for (int n = 0; n < 5; ++n) {
        caller.send(std::string(20u << 10, 'x'));
        run(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(handled_, 1);
    EXPECT_EQ(disconnects_, 0);
    caller.disconnect();
    run(DisconnectNoticeTime);
    EXPECT_EQ(disconnects_, 1);
}

TEST_F(DisconnectTest, ACallerThatClosesItsSendingSideCountsAsDisconnected) {
    Caller caller(io_, address_);
    caller.send(PlainRequest);
    run(std::chrono::milliseconds(20));
    EXPECT_EQ(disconnects_, 0);
    caller.shutdown_sending();
    run(DisconnectNoticeTime);
    EXPECT_EQ(disconnects_, 1);
}

// A response that is given within the call that delivers the request needs no further work, and the
// caller may still read it.
TEST_F(ServerTest, ACallerThatClosesItsSendingSideGetsAResponseThatIsReady) {
    serve();
    Caller caller(io_, address_);
    caller.send(PlainRequest);
    caller.shutdown_sending();
    EXPECT_TRUE(caller.read().starts_with("HTTP/1.1 200 "));
}

TEST_F(DisconnectTest, ACloseRightAfterARequestIsKnownWithTheRequest) {
    int left = 0;
    handler_ = [&](const std::shared_ptr<HttpExchange>& e) {
        left += e->disconnected_at() ? 1 : 0;
    };
    Caller closes(io_, address_);
    closes.send(PlainRequest);
    closes.disconnect();
    Caller half_closes(io_, address_);
    half_closes.send(PlainRequest);
    half_closes.shutdown_sending();
    Caller stays(io_, address_);
    stays.send(PlainRequest + PlainRequest);
    run(std::chrono::milliseconds(50));
    EXPECT_EQ(handled_, 3);
    EXPECT_EQ(left, 2);
}

TEST_F(ServerTest, ACallerThatClosesItsSendingSideGetsTheCompleteResponse) {
    serve();
    handler_ = [](const std::shared_ptr<HttpExchange>& e) {
        e->respond(200, {}, std::string(32u << 20, 'x'));
    };
    Caller caller(io_, address_);
    caller.send(PlainRequest);
    io_.run_for(std::chrono::milliseconds(50));
    caller.shutdown_sending();
    EXPECT_GT(caller.read().size(), 32u << 20);
    EXPECT_EQ(server_->connections(), 0u);
}

TEST_F(ServerTest, SharedStateLivesUntilTheLastPendingHandlerOfTheEventLoop) {
    auto shared = std::make_shared<int>(0);
    const std::weak_ptr<int> watched = shared;
    handler_ = {};
    {
        const asio::ip::tcp::acceptor probe(io_, {asio::ip::make_address("127.0.0.1"), 0});
        address_ = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    }
    server_ = serve_http(io_, address_, {}, [shared](const std::shared_ptr<HttpExchange>& e) {
        e->respond(200, {}, std::to_string(*shared));
    });
    shared.reset();
    Caller caller(io_, address_);
    io_.run_for(std::chrono::milliseconds(20));
    ASSERT_EQ(server_->connections(), 1u);
    server_.reset();
    EXPECT_FALSE(watched.expired());
    io_.restart();
    io_.run_for(std::chrono::milliseconds(600));
    EXPECT_TRUE(watched.expired());
}

TEST_F(ServerTest, HttpOneZeroCallerGetsAStreamWithoutChunks) {
    handler_ = [](const std::shared_ptr<HttpExchange>& e) {
        e->begin(200, {});
        e->write("part", nullptr);
        e->finish();
    };
    serve();
    const std::string got = send_and_receive(
        "GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n", std::chrono::seconds(3));
    EXPECT_TRUE(closed_);
    EXPECT_FALSE(reset_);
    EXPECT_EQ(got.find("chunked"), std::string::npos);
    EXPECT_TRUE(got.ends_with("\r\n\r\npart")) << got;
}

TEST_F(ServerTest, StreamThatBreaksOffNeverLooksCompleteToAnHttpOneZeroCaller) {
    std::shared_ptr<HttpExchange> exchange;
    handler_ = [&](const std::shared_ptr<HttpExchange>& e) {
        exchange = e;
        e->begin(200, {});
        e->write("part", [&](bool) { exchange->abort(); });
    };
    serve();
    send_and_receive("GET / HTTP/1.0\r\nHost: a\r\n\r\n", std::chrono::seconds(3));
    EXPECT_TRUE(closed_);
    EXPECT_TRUE(reset_);
}

// Ends a child process also where a test fails before it does.
class ChildProcess {
  public:
    explicit ChildProcess(pid_t pid) : pid_(pid) {}
    ~ChildProcess() {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

  private:
    pid_t pid_;
};

TEST(ServerProcess, StreamOfAProcessThatDiesNeverLooksCompleteToAnHttpOneZeroCaller) {
    asio::io_context io;
    std::string address;
    {
        const asio::ip::tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
        address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    }
    const pid_t child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
        asio::io_context child_io;
        std::shared_ptr<HttpExchange> exchange;
        const auto server =
            serve_http(child_io, address, {}, [&](const std::shared_ptr<HttpExchange>& e) {
                exchange = e;
                e->begin(200, {});
                e->write("part", [](bool) { std::raise(SIGKILL); });
            });
        child_io.run();
        std::_Exit(1);
    }
    const ChildProcess process(child);
    asio::ip::tcp::socket socket(io);
    asio::error_code error = asio::error::connection_refused;
    for (int n = 0; n < 200 && error; ++n) {
        usleep(10000);
        socket.close();
        socket.connect(parse_address(address).value(), error);
    }
    asio::write(socket, asio::buffer(std::string_view("GET / HTTP/1.0\r\nHost: a\r\n\r\n")));
    std::array<char, 4096> buffer{};
    while (!error)
        socket.read_some(asio::buffer(buffer), error);
    EXPECT_EQ(error, asio::error::connection_reset);
}

} // namespace
} // namespace liftweir
