// HTTP/1.1 server that accepts callers' and operators' requests.

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

// Number of a connection, unique within its server.
using ConnectionId = std::uint64_t;

// What is held of the responses on one connection.
struct HeldResponse {
    ConnectionId connection = 0;
    std::size_t bytes = 0; // in this process and, not acknowledged yet, in the kernel's send buffer
    std::uint64_t acknowledged = 0; // bytes, by the caller's host since the connection was opened

    auto operator<=>(const HeldResponse&) const = default;
};

// The head of a request.
class RequestView {
  public:
    virtual ~RequestView() = default;

    virtual std::string_view method() const = 0;
    // Path and query exactly as received.
    virtual std::string_view target() const = 0;
    virtual const HttpHeaders& headers() const = 0;
    virtual std::string_view path() const { return target().substr(0, target().find('?')); }
    virtual std::string_view query() const;
    // Empty if the header is missing.
    virtual std::string header(std::string_view name) const {
        return std::string(find_header(headers(), name));
    }
};

// A response to a request that was not run.
struct HttpRefusal {
    int status = 0;
    HttpHeaders headers;
    std::string body;

    auto operator<=>(const HttpRefusal&) const = default;
};

// Decides by its head whether a request is refused before its body is read.
class RequestScreen {
  public:
    virtual ~RequestScreen() = default;
    // Empty if the body is to be read.
    virtual std::optional<HttpRefusal> refuse(const RequestView& head) = 0;
};

// One request and the means to respond to it. All calls are made on the server's io_context thread.
class HttpExchange : public RequestView {
  public:
    virtual std::string_view body() const = 0;
    // The body, to be kept for longer than the exchange.
    virtual SharedBytes shared_body() const {
        return body().empty() ? nullptr : std::make_shared<const std::string>(body());
    }
    // Time at which the complete request had arrived.
    virtual Time received() const = 0;
    // True if an earlier request was answered on the same connection.
    virtual bool on_reused_connection() const = 0;
    virtual ConnectionId connection() const = 0;
    // Names the request in what the server reports about its connection.
    virtual void set_label(std::string label) = 0;

    // Sends a complete response.
    virtual void respond(int status, const HttpHeaders& headers, std::string body) = 0;
    // Sends a response of unknown length piece by piece. `on_written` is called with true once the
    // kernel has the bytes, or with false if the connection is closed.
    virtual void begin(int status, const HttpHeaders& headers) = 0;
    virtual void write(std::string bytes, std::function<void(bool)> on_written) = 0;
    virtual void finish() = 0;
    // Closes the connection, so that a response that was started never looks complete.
    virtual void abort() = 0;
    // Time at which the caller's close of its connection or of its sending side was noticed; empty
    // if there was none. Polls the socket, so that a close behind unread bytes counts. Called
    // before anything is sent to an endpoint on the caller's behalf.
    virtual std::optional<Time> disconnected_at() const = 0;
    // Sets a callback that is invoked once, when the caller's connection is closed.
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

// Bounds on what callers may send and how long it may take. A request that exceeds one is answered
// with 431, 413, 408 or 503, and its connection is closed.
struct HttpServerLimits {
    std::size_t body_bytes = 16u << 20; // no more than half of request_bytes
    std::size_t header_bytes = 16u << 10;
    // Heads, bodies and pipelined bytes on all connections. If they need more, requests whose
    // callers have stalled are refused, then the one that needs more.
    std::size_t request_bytes = 64u << 20;
    // At this number of connections, idle ones are closed to accept a new one, then those whose
    // callers have sent nothing for longest.
    std::size_t connections = 16384;
    // Longest time from the first byte of a head to its end, and longest pause within a body. A
    // whole body may take four times as long, and a second more for each 512 bytes.
    Duration header_timeout = std::chrono::seconds(10);
    // How long a connection may be idle between two requests.
    Duration idle_timeout = std::chrono::seconds(75);
};

// Whether other servers may listen on the same address (SO_REUSEPORT).
enum class AddressUse : std::uint8_t { Exclusive, Shared };

// HTTP/1.1 server on one io_context. Several servers with a thread each can listen on one shared
// address; the kernel then distributes the connections among them.
class HttpServer {
  public:
    virtual ~HttpServer() = default;
    virtual void stop_accepting() = 0;
    // Closes every connection after its next response.
    virtual void close_after_answers() = 0;
    // Closes connections that are idle between two requests. A new connection, whose first request
    // may be in transit, stays open, and so does one whose response is not fully written.
    virtual void close_idle() = 0;
    // Number of connections with a request that is being read or processed, or with a response that
    // is not fully written.
    virtual std::size_t busy() const = 0;
    // Takes effect with the next request on every connection.
    virtual void set_limits(const HttpServerLimits& limits) = 0;
    virtual std::size_t connections() const = 0;
    // Bytes of responses that this process holds on all connections, without the kernel's.
    virtual std::size_t held_bytes() const = 0;
    // Bytes of requests that this process holds on all connections.
    virtual std::size_t request_bytes() const = 0;
    // Requests refused since the start because the memory for requests was short.
    virtual std::uint64_t refused_for_memory() const = 0;
    // Connections closed since the start, at the limit of connections, to accept new ones.
    virtual std::uint64_t closed_for_others() const = 0;
    // The connections with a response in progress, or not fully passed to the kernel, of which
    // bytes are held.
    virtual std::vector<HeldResponse> held_responses() const = 0;
    // Closes a connection and discards what the kernel holds for it. Returns the label of its last
    // request; empty if there is none.
    virtual std::string reset(ConnectionId connection) = 0;
};

// Throws std::system_error if the address can not be bound. The screen, if any, sees the heads of
// requests with large bodies; it must live as long as the server.
std::unique_ptr<HttpServer> serve_http(asio::io_context& io, const std::string& address,
                                       const HttpServerLimits& limits, HttpHandler handler,
                                       AddressUse use = AddressUse::Exclusive,
                                       RequestScreen* screen = nullptr);

} // namespace liftweir

#endif // HTTPSERVER_H_INCLUDED
