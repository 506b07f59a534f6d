// A server in the test's process, and callers whose bytes the test chooses.

#ifndef SERVERFIXTURE_H_INCLUDED
#define SERVERFIXTURE_H_INCLUDED

#include "connection/httpserver.h"
#include "connection/link.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>

namespace liftweir {

class ServerTest : public testing::Test {
  protected:
    void serve(HttpServerLimits limits = {}, AddressUse use = AddressUse::Exclusive,
               RequestScreen* screen = nullptr) {
        {
            const asio::ip::tcp::acceptor probe(io_, {asio::ip::make_address("127.0.0.1"), 0});
            address_ = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
        }
        server_ = serve_http(
            io_, address_, limits,
            [this](const std::shared_ptr<HttpExchange>& e) {
                ++handled_;
                last_body_ = e->body();
                last_target_ = e->target();
                handler_(e);
            },
            use, screen);
    }

    // Sends bytes and returns all that is received until the connection closes or the time is over.
    std::string send_and_receive(const std::string& bytes, std::chrono::milliseconds timeout) {
        asio::ip::tcp::socket socket(io_);
        socket.connect(parse_address(address_).value());
        asio::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        std::string got;
        std::array<char, 4096> buffer{};
        bool ended = false;
        std::function<void()> read = [&] {
            socket.async_read_some(asio::buffer(buffer),
                                   [&](asio::error_code error, std::size_t size) {
                                       got.append(buffer.data(), size);
                                       reset_ = error == asio::error::connection_reset;
                                       if (error)
                                           ended = true;
                                       else
                                           read();
                                   });
        };
        read();
        const auto until = std::chrono::steady_clock::now() + timeout;
        while (!ended && std::chrono::steady_clock::now() < until)
            io_.run_for(std::chrono::milliseconds(5));
        closed_ = ended;
        socket.close(ignored);
        io_.poll();
        return got;
    }

    asio::io_context io_;
    std::string address_;
    std::unique_ptr<HttpServer> server_;
    std::function<void(const std::shared_ptr<HttpExchange>&)> handler_ =
        [](const std::shared_ptr<HttpExchange>& e) { e->respond(200, {}, "ok"); };
    int handled_ = 0;
    bool closed_ = false;
    bool reset_ = false;
    std::string last_body_;
    std::string last_target_;
};

// A caller's side of one connection, which sends and reads on command.
class Caller {
  public:
    Caller(asio::io_context& io, const std::string& address) : io_(io), socket_(io) {
        socket_.connect(parse_address(address).value());
    }
    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
    void disconnect() { socket_.close(); }
    void shutdown_sending() { socket_.shutdown(asio::ip::tcp::socket::shutdown_send); }
    // All bytes that arrive until they end with `last`; the connection stays open.
    std::string read_until(std::string_view last) {
        std::string got;
        std::array<char, 4096> buffer{};
        bool ended = false;
        std::function<void()> read = [&] {
            socket_.async_read_some(asio::buffer(buffer),
                                    [&](asio::error_code error, std::size_t size) {
                                        got.append(buffer.data(), size);
                                        ended = error || got.ends_with(last);
                                        if (!ended)
                                            read();
                                    });
        };
        read();
        io_.restart();
        for (int n = 0; n < 200 && !ended; ++n)
            io_.run_for(std::chrono::milliseconds(5));
        if (!ended) {
            socket_.cancel();
            io_.poll();
        }
        return got;
    }
    // All bytes that arrive until the connection closes or is idle for 200 ms.
    std::string read() {
        std::string got;
        std::string buffer(1u << 20, '\0');
        bool ended = false;
        while (!ended) {
            std::size_t size = 0;
            socket_.async_read_some(asio::buffer(buffer),
                                    [&](asio::error_code error, std::size_t n) {
                                        size = n;
                                        ended = ended || error;
                                    });
            io_.restart();
            for (int n = 0; n < 40 && size == 0 && !ended; ++n)
                io_.run_for(std::chrono::milliseconds(5));
            if (size == 0)
                ended = true;
            got.append(buffer, 0, size);
        }
        asio::error_code ignored;
        socket_.close(ignored);
        io_.poll();
        return got;
    }

  private:
    asio::io_context& io_;
    asio::ip::tcp::socket socket_;
};

} // namespace liftweir

#endif // SERVERFIXTURE_H_INCLUDED
