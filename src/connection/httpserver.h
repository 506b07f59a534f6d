#ifndef HTTPSERVER_H_INCLUDED
#define HTTPSERVER_H_INCLUDED

#include "connection/httpmessage.h"
#include "process/clock.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// One request and the way to answer it. All calls on the server's io_context thread.
class HttpExchange {
  public:
    virtual ~HttpExchange() = default;

    virtual std::string_view method() const = 0;
    // Path and query exactly as they were sent.
    virtual std::string_view target() const = 0;
    virtual std::string_view path() const = 0;
    virtual std::string_view query() const = 0;
    virtual std::string_view body() const = 0;
    virtual const HttpHeaders& headers() const = 0;
    // Empty where the header is missing.
    virtual std::string header(std::string_view name) const = 0;
    // When the whole request had arrived.
    virtual Time received() const = 0;
    // Whether an earlier request was answered on the same connection.
    virtual bool on_reused_connection() const = 0;

    // Whole answer at once.
    virtual void respond(int status, const HttpHeaders& headers, std::string body) = 0;
    // Streamed answer, chunked. `on_written` is told when the bytes are with the kernel, or that
    // the connection is gone.
    virtual void begin(int status, const HttpHeaders& headers) = 0;
    virtual void write(std::string bytes, std::function<void(bool)> on_written) = 0;
    virtual void finish() = 0;
    // Closes the connection in the middle: an answer that was begun never looks complete.
    virtual void abort() = 0;
    // When the caller was seen to have ended its connection, or its sending side; empty while it
    // has not. Looks at the socket, so that it knows of a close that is not read yet. Asked before
    // anything is sent on the caller's behalf.
    virtual std::optional<Time> left() const = 0;
    // Told once, when the caller's connection is gone.
    virtual void on_disconnect(std::function<void()> gone) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

// Bounds on what a caller may send and how long it may take. Exceeding one is answered with 431,
// 413 or 408 and a closed connection.
struct HttpServerLimits {
    std::size_t body_bytes = 16u << 20;
    std::size_t header_bytes = 16u << 10;
    std::size_t connections = 16384;
    // From the first byte of a head to its end, and the longest pause within a body.
    Duration header_timeout = std::chrono::seconds(10);
    // How long a kept connection may rest between two requests.
    Duration idle_timeout = std::chrono::seconds(75);
};

// Whether other servers may listen on the same address.
enum class AddressUse : std::uint8_t { Exclusive, Shared };

// HTTP/1.1 server on one io_context. Several servers that share an address, each with its own
// thread, share the load through SO_REUSEPORT.
class HttpServer {
  public:
    virtual ~HttpServer() = default;
    virtual void stop_accepting() = 0;
    // From now on every answer ends its connection.
    virtual void close_after_answers() = 0;
    // Ends connections that rest between two requests. A new one, whose first request may be on its
    // way, is left, and so is one whose answer has not left yet.
    virtual void close_idle() = 0;
    // Connections with a request that is being read or worked on, or an answer that has not left.
    virtual std::size_t busy() const = 0;
    // Takes effect for the next request of every connection.
    virtual void set_limits(const HttpServerLimits& limits) = 0;
    virtual std::size_t connections() const = 0;
};

// Throws std::system_error where the address can not be had.
std::unique_ptr<HttpServer> serve_http(asio::io_context& io, const std::string& address,
                                       const HttpServerLimits& limits, HttpHandler handler,
                                       AddressUse use = AddressUse::Exclusive);

} // namespace liftweir

#endif // HTTPSERVER_H_INCLUDED
