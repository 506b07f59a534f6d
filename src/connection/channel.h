#ifndef CHANNEL_H_INCLUDED
#define CHANNEL_H_INCLUDED

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

// Keeps connections between calls.
class ChannelKeeper {
  public:
    virtual ~ChannelKeeper() = default;
    // The connection may serve another call.
    virtual void keep(const ChannelPtr& channel) = 0;
    // The connection is closed.
    virtual void drop(const ChannelPtr& channel) = 0;
};

// One connection to an endpoint, and the call that is under way on it, if any.
class Channel : public std::enable_shared_from_this<Channel> {
  public:
    Channel(asio::io_context& io, std::weak_ptr<ChannelKeeper> keeper, std::string address)
        : socket_(io), timer_(io), keeper_(std::move(keeper)), address_(std::move(address)) {}

    // The call that was begun before this is sent once there is a connection.
    void connect(Duration timeout);
    // Returns the number of the call, by which it is cancelled.
    std::uint64_t begin(const HttpRequestHead& head, const std::string& body, CallEvents events);
    // Closes the connection, unless the call is over already.
    void cancel(std::uint64_t call);
    // Stops reading, and goes on with it.
    void pause() { paused_ = true; }
    void resume();
    void close();
    // The endpoint still keeps the connection, by what it has said.
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
    void take(std::string_view bytes);
    void on_read_error(asio::error_code error);
    bool skip_informational();
    void complete(Time keep_until);
    void end(CallEnd how);
    bool reusable() const;

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::weak_ptr<ChannelKeeper> keeper_; // gone when the process ends
    std::string address_;
    std::uint64_t call_ = 0; // calls begun on this connection
    http_parser parser_{};
    std::array<char, ReadBytes> in_{};
    std::string out_;
    HttpResponseHead head_;
    HeaderAssembler assembler_;
    std::size_t head_bytes_ = 0;
    CallEvents events_;
    Time keep_until_{};
    bool connected_ = false;
    bool active_ = false; // a call is under way
    bool written_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool closed_ = false;
    bool message_complete_ = false;
    bool bytes_seen_ = false;
    bool head_request_ = false;
};

} // namespace liftweir

#endif // CHANNEL_H_INCLUDED
