// Faulty endpoints: which responses count as complete, and which connections are reused.

#include "connection/httpchannel.h"
#include "connection/link.h"

#include <gtest/gtest.h>

#include <deque>

namespace liftweir {
namespace {

// Answers each request on a connection with scripted bytes.
class ChannelTest : public testing::Test {
  protected:
    struct Script {
        std::string bytes;
        bool close = false;
        bool reset = false;
        bool before_request = false; // the response is sent before the request is read
    };

    void SetUp() override {
        acceptor_.emplace(io_, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        address_ = "127.0.0.1:" + std::to_string(acceptor_->local_endpoint().port());
        accept();
    }

    void accept() {
        acceptor_->async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++accepted_;
            serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
            accept();
        });
    }

    void serve(const std::shared_ptr<asio::ip::tcp::socket>& socket) {
        const auto buffer = std::make_shared<std::array<char, 4096>>();
        socket->async_read_some(asio::buffer(*buffer),
                                [this, socket, buffer](asio::error_code error, std::size_t n) {
                                    if (error)
                                        return;
                                    requests_.append(buffer->data(), n);
                                    if (scripts_.empty())
                                        return;
                                    const Script script = scripts_.front();
                                    scripts_.pop_front();
                                    asio::write(*socket, asio::buffer(script.bytes));
                                    if (script.reset)
                                        socket->set_option(asio::socket_base::linger(true, 0));
                                    if (script.close || script.reset)
                                        socket->close();
                                    else
                                        serve(socket);
                                });
    }

    struct Result {
        std::optional<CallEnd> end;
        int status = 0;
        std::string body;
    };

    Result call(ChannelOptions options = {}) {
        Result result;
        CallEvents events;
        events.on_head = [&](const HttpResponseHead& head) { result.status = head.status; };
        events.on_body = [&](std::string_view bytes) { result.body.append(bytes); };
        events.on_end = [&](CallEnd how, bool) { result.end = how; };
        const auto handle = pool_->start(address_, {"GET", "/", {{"Host", "x"}}}, nullptr, options,
                                         std::move(events));
        for (int i = 0; i < 200 && !result.end; ++i)
            io_.run_for(std::chrono::milliseconds(5));
        return result;
    }

    asio::io_context io_;
    std::optional<asio::ip::tcp::acceptor> acceptor_;
    std::string address_;
    std::unique_ptr<HttpChannelPool> pool_ = make_channel_pool(io_);
    std::deque<Script> scripts_;
    std::string requests_;
    int accepted_ = 0;
};

const std::string Good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST_F(ChannelTest, ReusesAConnectionForTheNextCall) {
    scripts_ = {{Good}, {Good}};
    EXPECT_EQ(call().end, CallEnd::Complete);
    EXPECT_EQ(call().body, "ok");
    EXPECT_EQ(accepted_, 1);
}

TEST_F(ChannelTest, EndlessInformationalHeadsAreNoResponse) {
    std::string heads;
    while (heads.size() < 200'000)
        heads += "HTTP/1.1 100 Continue\r\n\r\n";
    scripts_ = {{heads}, {Good}};
    EXPECT_EQ(call().end, CallEnd::Malformed);
    EXPECT_EQ(call().end, CallEnd::Complete);
    EXPECT_EQ(accepted_, 2);
}

// Guards against a connection that nothing refers to while it is paused: it was closed without a
// word, and its call never ended.
TEST_F(ChannelTest, APausedCallGoesOnWhenItIsResumed) {
    const std::string body(100000, 'x');
    scripts_ = {{"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + body}};
    std::size_t got = 0;
    std::optional<CallEnd> end;
    std::unique_ptr<HttpCallHandle> handle;
    CallEvents events;
    events.on_body = [&](std::string_view bytes) {
        if (got == 0)
            handle->pause();
        got += bytes.size();
    };
    events.on_end = [&](CallEnd how, bool) { end = how; };
    handle = pool_->start(address_, {"GET", "/", {{"Host", "x"}}}, nullptr, {}, std::move(events));
    io_.run_for(std::chrono::milliseconds(50));
    EXPECT_GT(got, 0u);
    EXPECT_LT(got, body.size());
    EXPECT_FALSE(end);
    handle->resume();
    for (int i = 0; i < 200 && !end; ++i)
        io_.run_for(std::chrono::milliseconds(5));
    EXPECT_EQ(end, CallEnd::Complete);
    EXPECT_EQ(got, body.size());
}

// An endpoint accepts a bounded number of connections from all entry hosts, idle ones included.
TEST_F(ChannelTest, KeepsNoMoreIdleConnectionsThanAllowed) {
    scripts_ = {{Good}, {Good}};
    EXPECT_EQ(call({.max_idle_connections = 0}).end, CallEnd::Complete);
    EXPECT_EQ(call({.max_idle_connections = 0}).end, CallEnd::Complete);
    EXPECT_EQ(accepted_, 2);
}

TEST_F(ChannelTest, OpensANewConnectionOnRequest) {
    scripts_ = {{Good}, {Good}};
    EXPECT_EQ(call().end, CallEnd::Complete);
    EXPECT_EQ(call({.new_connection = true}).end, CallEnd::Complete);
    EXPECT_EQ(accepted_, 2);
}

TEST_F(ChannelTest, ClosesAConnectionWithBytesAfterTheResponse) {
    scripts_ = {{Good + Good}, {Good}};
    const Result first = call();
    EXPECT_EQ(first.end, CallEnd::Complete);
    EXPECT_EQ(first.body, "ok");
    EXPECT_EQ(call().body, "ok");
    EXPECT_EQ(accepted_, 2);
}

TEST_F(ChannelTest, ClosesAConnectionWithUnsolicitedBytes) {
    scripts_ = {{Good}, {Good}};
    EXPECT_EQ(call().end, CallEnd::Complete);
    io_.run_for(std::chrono::milliseconds(10));
    scripts_.push_front({Good});
    EXPECT_EQ(call().body, "ok");
}

TEST_F(ChannelTest, AResponseWithoutLengthEndsWithAnOrderlyClose) {
    scripts_ = {{"HTTP/1.1 200 OK\r\n\r\nall", true}};
    const Result result = call();
    EXPECT_EQ(result.end, CallEnd::Complete);
    EXPECT_EQ(result.body, "all");
}

TEST_F(ChannelTest, AResponseWithoutLengthThatIsResetIsBroken) {
    scripts_ = {{"HTTP/1.1 200 OK\r\n\r\npart", false, true}};
    EXPECT_EQ(call().end, CallEnd::Broken);
}

TEST_F(ChannelTest, ATruncatedResponseIsBroken) {
    scripts_ = {{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true}};
    EXPECT_EQ(call().end, CallEnd::Broken);
    scripts_ = {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true}};
    EXPECT_EQ(call().end, CallEnd::Broken);
}

TEST_F(ChannelTest, BytesThatAreNoResponseAreMalformed) {
    scripts_ = {{"what is this\r\n\r\n"}};
    const Result result = call();
    EXPECT_EQ(result.end, CallEnd::Malformed);
    EXPECT_EQ(result.status, 0);
}

TEST_F(ChannelTest, ReportsAFailedConnectIfTheEndpointDoesNotListen) {
    acceptor_->close();
    EXPECT_EQ(call().end, CallEnd::ConnectFailed);
}

TEST_F(ChannelTest, ADestroyedHandleClosesTheConnection) {
    scripts_ = {};
    {
        const auto handle =
            pool_->start(address_, {"GET", "/", {{"Host", "x"}}}, nullptr, {}, CallEvents{});
        io_.run_for(std::chrono::milliseconds(20));
    }
    io_.run_for(std::chrono::milliseconds(20));
    scripts_ = {{Good}};
    EXPECT_EQ(call().end, CallEnd::Complete);
    EXPECT_EQ(accepted_, 2);
}

TEST_F(ChannelTest, ACancelledCallIsResetAndSendsNothingMore) {
    asio::ip::tcp::acceptor slow(io_, {asio::ip::make_address("127.0.0.1"), 0});
    const std::string address = "127.0.0.1:" + std::to_string(slow.local_endpoint().port());
    const HttpRequestHead head{"POST", "/", {{"Host", "x"}}};
    auto handle = pool_->start(address, head, std::make_shared<const std::string>(16u << 20, 'b'),
                               {}, CallEvents{});
    io_.run_for(std::chrono::milliseconds(50));
    asio::ip::tcp::socket endpoint = slow.accept();
    io_.run_for(std::chrono::milliseconds(50));
    const std::size_t arrived = endpoint.available();
    EXPECT_GT(arrived, 0u);
    handle.reset();
    io_.run_for(std::chrono::milliseconds(50));
    std::string buffer(1u << 20, '\0');
    std::size_t got = 0;
    asio::error_code error;
    while (!error)
        got += endpoint.read_some(asio::buffer(buffer), error);
    EXPECT_EQ(error, asio::error::connection_reset);
    EXPECT_EQ(got, arrived);
}

TEST_F(ChannelTest, ACallThatIsCancelledOnConnectSendsNothing) {
    std::unique_ptr<HttpCallHandle> handle;
    CallEvents events;
    events.on_connected = [&] { handle->cancel(); };
    handle = pool_->start(address_, {"GET", "/", {{"Host", "x"}}}, nullptr, {}, std::move(events));
    io_.run_for(std::chrono::milliseconds(50));
    EXPECT_EQ(accepted_, 1);
    EXPECT_EQ(requests_, "");
}

} // namespace
} // namespace liftweir
