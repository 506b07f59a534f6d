// Bytes of an engine that are no valid response, as the agents' client takes them.

#include "connection/httpclient.h"

#include <asio.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace liftweir {
namespace {

// Answers each request with the same bytes as soon as its head has arrived, then resets or ends the
// connection.
class BadEngine {
  public:
    BadEngine(asio::io_context& io, std::string bytes, bool reset)
        : io_(io),
          listener_(io, {asio::ip::make_address("127.0.0.1"), 0}),
          bytes_(std::move(bytes)),
          reset_(reset) {
        accept();
    }
    std::string url() const {
        return "http://127.0.0.1:" + std::to_string(listener_.local_endpoint().port()) + "/";
    }

  private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    void accept() {
        const auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
        listener_.async_accept(*socket, [this, socket](asio::error_code error) {
            if (error)
                return;
            answer(socket);
            accept();
        });
    }
    void answer(const Socket& socket) {
        const auto head = std::make_shared<std::string>();
        asio::async_read_until(*socket, asio::dynamic_buffer(*head), "\r\n\r\n",
                               [this, socket, head](asio::error_code error, std::size_t) {
                                   if (error)
                                       return;
                                   asio::write(*socket, asio::buffer(bytes_));
                                   if (reset_)
                                       socket->set_option(asio::socket_base::linger(true, 0));
                                   else
                                       socket->shutdown(asio::ip::tcp::socket::shutdown_send);
                                   if (reset_)
                                       socket->close();
                               });
    }

    asio::io_context& io_;
    asio::ip::tcp::acceptor listener_;
    std::string bytes_;
    bool reset_;
};

// Status of a complete response; 0 for a failure. Empty if the call does not end.
std::optional<int> call(const std::string& bytes, const std::string& body = "",
                        bool reset = false) {
    asio::io_context io;
    BadEngine engine(io, bytes, reset);
    const auto client = make_http_client(io);
    HttpCall call;
    call.method = "POST";
    call.url = engine.url();
    call.body = body;
    call.repeatable = false;
    call.timeout = std::chrono::seconds(2);
    std::optional<int> end;
    client->start(call, {nullptr, [](std::string_view) { return true; },
                         [&](const Expected<int>& status, bool) { end = status.value_or(0); }});
    for (int i = 0; i < 500 && !end; ++i)
        io.run_one_for(std::chrono::milliseconds(10));
    return end;
}

TEST(HttpClient, TakesValidResponses) {
    EXPECT_EQ(call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), 200);
    EXPECT_EQ(call("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 X\r\n\r\nall"), 404);
    EXPECT_EQ(call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n"), 200);
}

TEST(HttpClient, StatusLinesOfNoResponseFail) {
    for (const std::string status :
         {"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 20 X", "HTTP/1.1 0200 OK",
          "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/9.9 200 OK", "HTTP/1.1  200 OK"})
        EXPECT_EQ(call(status + "\r\nContent-Length: 2\r\n\r\nok"), 0) << status;
}

TEST(HttpClient, MalformedHeaderLinesFail) {
    for (const std::string line :
         {"X Y: a", "X-A : a", "Content-Length : 3", "X\x01Y: a", "X: a\x01", "no colon"}) {
        EXPECT_EQ(call("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nok"), 0) << line;
        const std::string interim = "HTTP/1.1 103 X\r\n" + line + "\r\n\r\n";
        EXPECT_EQ(call(interim + "HTTP/1.1 200 OK\r\n\r\nok"), 0) << line;
    }
    for (const std::string lines :
         {"Content-Length: 3\r\nContent-Length: 2", "Transfer-Encoding: gzip"})
        EXPECT_EQ(call("HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\nok"), 0) << lines;
}

// The error of the connection may reach the write of the request and not the read of the response.
TEST(HttpClient, AResponseThatIsResetDuringTheUploadFails) {
    const std::string upload(4u << 20, 'x');
    for (int round = 0; round < 20; ++round)
        EXPECT_EQ(call("HTTP/1.1 200 OK\r\n\r\npart", upload, true), 0);
}

} // namespace
} // namespace liftweir
