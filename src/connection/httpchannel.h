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

// What a request begins with, as it goes to an endpoint.
struct HttpRequestHead {
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers; // with Host; framing headers are added
};

// What an endpoint's answer begins with.
struct HttpResponseHead {
    int status = 0;
    HttpHeaders headers;
};

// How one call over a channel ended.
enum class CallEnd : unsigned char {
    Complete,      // the whole answer arrived
    ConnectFailed, // no byte of the request left
    Broken,        // closed or reset before the answer was whole
    Malformed      // the bytes are not an HTTP answer
};

// What a call tells whoever started it, in this order. Each may be left empty.
struct CallEvents {
    // A new connection is there, and nothing has left on it: a call that is cancelled here never
    // reaches its endpoint.
    std::function<void()> on_connected;
    std::function<void(const HttpResponseHead&)> on_head;
    std::function<void(std::string_view)> on_body;
    // Last event. `bytes_seen` tells whether any byte of an answer had arrived.
    std::function<void(CallEnd, bool bytes_seen)> on_end;
};

// One HTTP/1.1 call in progress. Dropping it without an end cancels the call: its connection is
// reset, which is how an endpoint learns that nobody waits any more.
class HttpCallHandle {
  public:
    virtual ~HttpCallHandle() = default;
    // Resets the connection at once: nothing of the request leaves any more. No event follows.
    virtual void cancel() = 0;
    // Stops and restarts reading of the answer, to hold a fast endpoint back.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

// How one call gets its connection.
struct ChannelOptions {
    Duration connect_timeout = std::chrono::milliseconds(400);
    // An endpoint may close a resting connection just as the next request leaves. What may not be
    // repeated then has an unknown outcome, so it takes a connection of its own.
    bool fresh = false;
    // So many connections to this address may rest afterwards, this one among them.
    std::size_t max_idle_connections = 16;
};

// Connections to endpoints over Asio, kept between calls. A connection that brought more bytes
// than its answers, or an answer before its request was read, is not used again.
class HttpChannelPool {
  public:
    virtual ~HttpChannelPool() = default;
    // Begins a call on a kept connection, or on a new one. No event comes before this returns.
    virtual std::unique_ptr<HttpCallHandle> start(const std::string& address,
                                                  const HttpRequestHead& head,
                                                  const std::string& body, ChannelOptions options,
                                                  CallEvents events) = 0;
    // Drops kept connections to an address, e.g. when another process has taken it over.
    virtual void forget(const std::string& address) = 0;
    // Connections opened since the start.
    virtual std::uint64_t opened() const = 0;
};

std::unique_ptr<HttpChannelPool> make_channel_pool(asio::io_context& io);

} // namespace liftweir

#endif // HTTPCHANNEL_H_INCLUDED
