// Orders and probes to endpoints whose open connections stop responding, or that have restarted.

#include "platform/workers.h"

#include <gtest/gtest.h>

#include <optional>
#include <sstream>
#include <thread>
#include <vector>

namespace liftweir::platform {
namespace {

using std::chrono::milliseconds;

// Answers the first request of each connection, and never answers a later one.
struct EndpointWithUnresponsiveConnections : testing::Test {
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    EndpointWithUnresponsiveConnections() { accept(); }

    void accept() {
        acceptor.async_accept([this](asio::error_code error, asio::ip::tcp::socket accepted) {
            if (error)
                return;
            sockets.push_back(std::make_shared<asio::ip::tcp::socket>(std::move(accepted)));
            const Socket socket = sockets.back();
            const auto in = std::make_shared<std::array<char, 4096>>();
            socket->async_read_some(asio::buffer(*in),
                                    [this, socket, in](asio::error_code broken, auto) {
                                        if (!broken)
                                            write_answer(socket);
                                    });
            accept();
        });
    }

    void write_answer(const Socket& socket) {
        const auto bytes = std::make_shared<std::string>(answer());
        asio::async_write(*socket, asio::buffer(*bytes),
                          [this, socket, bytes](asio::error_code, auto) {
                              asio::error_code ignored;
                              if (framing == BodyFraming::ConnectionClose)
                                  socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
                          });
    }

    std::string answer() const {
        if (framing == BodyFraming::ConnectionClose)
            return "HTTP/1.1 200 OK\r\n\r\n" + body;
        if (framing == BodyFraming::Chunked)
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

    template <typename Answer>
    Answer wait_for(std::optional<Answer>& answer) {
        const Time end = BootClock::now() + milliseconds(3000);
        while (!answer && BootClock::now() < end) {
            io.restart();
            io.run_for(milliseconds(2));
        }
        return answer.value();
    }
    // Probes the endpoint, and does nothing else for `busy` after that.
    bool probe(Duration busy = {}) {
        EndpointReport endpoint;
        endpoint.id = endpoint_id;
        endpoint.address = address();
        std::optional<bool> answer;
        orders.probe(endpoint, [&](bool alive) { answer = alive; });
        std::this_thread::sleep_for(busy);
        return wait_for(answer);
    }
    OrderAnswer order() {
        EndpointOrder order;
        order.kind = OrderKind::Open;
        order.endpoint = endpoint_id;
        order.address = address();
        std::optional<OrderAnswer> answer;
        orders.send(order, [&](OrderAnswer given) { answer = given; });
        return wait_for(answer);
    }
    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    asio::io_context io;
    asio::ip::tcp::acceptor acceptor{
        io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    std::vector<Socket> sockets;
    EndpointId endpoint_id = "i-1";
    std::string body = R"({"busy":false})"; // of each response, with its chunk headers if any
    BodyFraming framing = BodyFraming::Length;
    HttpEndpointOrders orders{io};
};

TEST_F(EndpointWithUnresponsiveConnections,
       ProbeDoesNotReportMemberLostOverUnresponsiveConnection) {
    EXPECT_EQ(order(), OrderAnswer::Taken);
    EXPECT_TRUE(probe());
    EXPECT_TRUE(probe());
}

TEST_F(EndpointWithUnresponsiveConnections, OrderDoesNotWaitOnUnresponsiveConnection) {
    EXPECT_TRUE(probe());
    EXPECT_EQ(order(), OrderAnswer::Taken);
}

// This process was busy for longer than the timeout while the answer waited in its socket.
TEST_F(EndpointWithUnresponsiveConnections, ABusyProcessDoesNotTakeALiveMemberForLost) {
    EXPECT_TRUE(probe(milliseconds(400)));
}

TEST_F(EndpointWithUnresponsiveConnections, ASilentMemberIsLostAlsoForABusyProcess) {
    acceptor.cancel();
    EXPECT_FALSE(probe(milliseconds(400)));
}

// A restarted endpoint compares only its name: it answers calls that were meant for its previous
// incarnation, with its own start time in the body.
struct RestartedEndpoint : EndpointWithUnresponsiveConnections {
    RestartedEndpoint() { body = R"({"busy":false,"sequence":0,"born":1700000002000})"; }
};

TEST_F(RestartedEndpoint, DoesNotAnswerForItsPreviousIncarnation) {
    endpoint_id = {"i-1", 1700000001000};
    EXPECT_FALSE(probe());
    EXPECT_EQ(order(), OrderAnswer::Elsewhere);
    endpoint_id = {"i-1", 1700000002000};
    EXPECT_TRUE(probe());
    EXPECT_EQ(order(), OrderAnswer::Taken);
}

struct EndpointWithUnreadableResponse : EndpointWithUnresponsiveConnections {
    EndpointWithUnreadableResponse() { endpoint_id = {"i-1", 7}; }
};

TEST_F(EndpointWithUnreadableResponse, ReportThatIsBrokenOffDoesNotShowALiveMember) {
    framing = BodyFraming::ConnectionClose;
    for (const std::string part : {R"({"born":99)", R"({"born":7)", ""}) {
        body = part;
        EXPECT_FALSE(probe()) << part;
    }
    body = R"({"born":7})";
    EXPECT_TRUE(probe());
}

TEST_F(EndpointWithUnreadableResponse, ReportThatIsNoObjectDoesNotShowALiveMember) {
    for (const std::string other : {"", "ok", "7", "[]", R"({"born":7}x)"}) {
        body = other;
        EXPECT_FALSE(probe()) << other;
    }
    endpoint_id = "i-1";
    EXPECT_FALSE(probe()) << "a member without a start time";
}

TEST_F(EndpointWithUnreadableResponse, ReportWithAMalformedStartTimeDoesNotShowALiveMember) {
    for (const std::string other : {R"({"born":"7"})", R"({"born":7.5})", R"({"born":null})"}) {
        body = other;
        EXPECT_FALSE(probe()) << other;
    }
}

TEST_F(EndpointWithUnreadableResponse, ReportWithoutAStartTimeShowsALiveMember) {
    body = R"({"busy":false})";
    EXPECT_TRUE(probe());
}

TEST_F(EndpointWithUnreadableResponse, ReportThatIsTooLargeIsNotReadWithoutItsMiddle) {
    const auto chunk = [](const std::string& bytes) {
        std::ostringstream out;
        out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
        return out.str();
    };
    framing = BodyFraming::Chunked;
    body = chunk(R"({"born":7,"text":")" + std::string(65000, 'x')) +
           chunk(std::string(1000, 'y')) + chunk("\"}") + chunk("");
    EXPECT_FALSE(probe());
}

TEST_F(EndpointWithUnreadableResponse, StatusAloneShowsWhetherAnOrderIsTaken) {
    for (const std::string other : {"", "ok", R"({"born":99)"}) {
        body = other;
        EXPECT_EQ(order(), OrderAnswer::Taken) << other;
    }
}

} // namespace
} // namespace liftweir::platform
