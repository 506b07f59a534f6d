// Client side of one HTTP/1.1 connection to an endpoint. The pool in httpchannel.h owns these.

#ifndef CHANNEL_H_INCLUDED
#define CHANNEL_H_INCLUDED

#include "connection/headcheck.h"
#include "connection/httpchannel.h"
#include "connection/httpmessage.h"
#include "process/clock.h"

#include <asio.hpp>
#include <http_parser.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace liftweir {

class Channel;
using ChannelPtr = std::shared_ptr<Channel>;

// Owner of the idle connections.
class ChannelOwner {
  public:
    virtual ~ChannelOwner() = default;
    // The connection has become idle and may be used for another call.
    virtual void on_idle(const ChannelPtr& channel) = 0;
    // The connection was closed and must not be used any more.
    virtual void on_closed(const ChannelPtr& channel) = 0;
};

// One connection to an endpoint and the call in progress on it, if any.
class Channel : public std::enable_shared_from_this<Channel> {
  public:
    Channel(asio::io_context& io, std::weak_ptr<ChannelOwner> owner, std::string address)
        : socket_(io), timer_(io), owner_(std::move(owner)), address_(std::move(address)) {}

    // Opens the connection. A call that was started before is sent once it is open.
    void connect(Duration timeout);
    // Starts a call and returns its number, which identifies it for cancel().
    std::uint64_t begin(const HttpRequestHead& head, SharedBytes body, CallEvents events);
    // Closes the connection, unless the call has already ended.
    void cancel(std::uint64_t call);
    // Stops and restarts reading of the response.
    void pause() { paused_ = true; }
    void resume();
    void close();
    // True if, by its Keep-Alive header, the endpoint has not yet closed the idle connection.
    bool usable(Time now) const { return !closed_ && now < keep_until_; }
    const std::string& address() const { return address_; }

  private:
    static constexpr std::size_t ReadBytes = 8192;

    static const http_parser_settings& parser_settings();
    static Channel& of(http_parser* parser) { return *static_cast<Channel*>(parser->data); }
    int on_field(std::string_view text);
    int on_value(std::string_view text);
    int on_headers_complete();

    void write_request();
    void read_more();
    void on_bytes(std::string_view bytes);
    void on_read_error(asio::error_code error);
    bool was_reset();
    bool skip_informational();
    void complete(Time keep_until);
    void end(CallEnd how);
    bool reusable() const;

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::weak_ptr<ChannelOwner> owner_; // expired once the pool is destroyed
    std::string address_;
    std::uint64_t call_ = 0; // number of the last call that was started here
    http_parser parser_{};
    std::array<char, ReadBytes> in_{};
    std::string out_;  // the head of the request, and a small body
    SharedBytes body_; // a larger one
    HttpResponseHead head_;
    HeaderAssembler assembler_;
    HeadCheck head_check_{HeadKind::Response};
    std::size_t head_bytes_ = 0;           // names and values of headers and trailers
    std::size_t received_before_head_ = 0; // until the final head was complete
    CallEvents events_;
    Time keep_until_{};
    bool connected_ = false;
    bool active_ = false;       // a call is in progress
    bool written_ = false;      // the whole request
    bool write_failed_ = false; // the connection was reset while the request was written
    bool reading_ = false;
    bool paused_ = false;
    bool closed_ = false;
    bool message_complete_ = false;
    bool bytes_seen_ = false;
    bool head_request_ = false;
};

} // namespace liftweir

#endif // CHANNEL_H_INCLUDED
