// HTTP/1.1 client over Asio with a pool of persistent connections, for calls from entry hosts.

#ifndef HTTPCHANNEL_H_INCLUDED
#define HTTPCHANNEL_H_INCLUDED

#include "connection/httpmessage.h"
#include "process/clock.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace liftweir {

// Request line and headers of a request to an endpoint.
struct HttpRequestHead {
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers; // must include Host; the connection adds the framing headers
};

// What marks the end of a response's body (RFC 9112, section 6.3).
enum class BodyFraming : unsigned char {
    Length,         // Content-Length, or a response that has no body
    Chunked,        // the last chunk
    ConnectionClose // the end of the connection
};

std::string_view name_of(BodyFraming framing);

// Status, headers and framing of an endpoint's response.
struct HttpResponseHead {
    int status = 0;
    HttpHeaders headers;
    BodyFraming framing = BodyFraming::Length;
};

// How one call ended.
enum class CallEnd : unsigned char {
    Complete,      // the complete response arrived
    ConnectFailed, // no byte of the request was sent
    Broken,        // the connection was closed or reset before the response was complete
    Malformed      // the bytes are not an HTTP response
};

// Callbacks of one call, in the order in which they are invoked. Each may be empty.
struct CallEvents {
    // A new connection is open and nothing has been sent on it: a call that is cancelled here never
    // reaches its endpoint.
    std::function<void()> on_connected;
    std::function<void(const HttpResponseHead&)> on_head;
    std::function<void(std::string_view)> on_body;
    // Last callback. `bytes_seen` is true if any byte of a response arrived.
    std::function<void(CallEnd, bool bytes_seen)> on_end;
};

// One HTTP/1.1 call in progress. Destroying the handle before the call has ended cancels the call:
// its connection is reset, which shows the endpoint that the caller no longer waits.
class HttpCallHandle {
  public:
    virtual ~HttpCallHandle() = default;
    // Resets the connection at once: no further byte of the request is sent and no callback is
    // invoked.
    virtual void cancel() = 0;
    // Stops and restarts reading of the response, as flow control against a fast endpoint.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

// Which connection one call uses.
struct ChannelOptions {
    Duration connect_timeout = std::chrono::milliseconds(400);
    // Opens a new connection even if one is idle. An endpoint may close an idle connection just as
    // the next request is sent, which leaves the outcome of that request unknown, so a request that
    // must not be repeated uses a new connection.
    bool new_connection = false;
    // Largest number of idle connections to this address after the call, its own included.
    std::size_t max_idle_connections = 16;
};

// Persistent connections to endpoints. A connection on which bytes arrived that belong to no
// response, or a response before its request was written, is not used again.
class HttpChannelPool {
  public:
    virtual ~HttpChannelPool() = default;
    // Starts a call on an idle connection or on a new one. No callback is invoked before this
    // returns.
    virtual std::unique_ptr<HttpCallHandle> start(const std::string& address,
                                                  const HttpRequestHead& head,
                                                  const SharedBytes& body, ChannelOptions options,
                                                  CallEvents events) = 0;
    // Closes the idle connections to an address, e.g. after another process has taken it over.
    virtual void forget(const std::string& address) = 0;
    // Number of connections that were opened since the pool was created.
    virtual std::uint64_t opened() const = 0;
};

std::unique_ptr<HttpChannelPool> make_channel_pool(asio::io_context& io);

} // namespace liftweir

#endif // HTTPCHANNEL_H_INCLUDED
