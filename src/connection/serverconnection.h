// Server side of one HTTP/1.1 connection from a caller.

#ifndef SERVERCONNECTION_H_INCLUDED
#define SERVERCONNECTION_H_INCLUDED

#include "connection/httpmessage.h"
#include "connection/httpserver.h"
#include "process/clock.h"

#include <asio.hpp>
#include <http_parser.h>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// One complete request.
struct RequestMessage {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
    bool keep_alive = true;
    bool on_reused_connection = false; // an earlier request was answered on it
};

class ServerConnection;
using ConnectionPtr = std::shared_ptr<ServerConnection>;
using ServerConnections = std::set<ConnectionPtr>;

// State that all connections of one server share.
struct ServerCore {
    asio::io_context& io;
    HttpServerLimits limits;
    // Called when a connection has read a complete request and waits for the response.
    std::function<void(const ConnectionPtr&, RequestMessage&&)> on_request;
    ServerConnections connections{};
    bool closing = false; // connections are closed after their next response
};

// One caller's connection: reads one request at a time and writes its response.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
  public:
    ServerConnection(asio::ip::tcp::socket socket, std::shared_ptr<ServerCore> core);

    void start();
    // Applies the server's time limits.
    void sweep(Time now);
    void close();
    // True between two requests, with nothing left to send.
    bool idle() const { return phase_ == Phase::Idle && reused_ && !write_active_; }
    // True while a request is being read or processed, or a response is not fully written.
    bool busy() const {
        const bool reads = phase_ == Phase::Head || phase_ == Phase::Body;
        return phase_ != Phase::Closed && (reads || phase_ == Phase::Working || write_active_);
    }

    // Starts the response to the request that was read last; chunked if `length` is empty.
    void send_head(int status, const HttpHeaders& headers, std::optional<std::size_t> length);
    void send(std::string bytes, std::function<void(bool)> on_written);
    void send_chunk(std::string bytes, std::function<void(bool)> on_written);
    // The response is complete.
    void answered();
    // Time at which the caller's close of its connection or of its sending side was noticed. Polls
    // the socket, since a close may be queued behind bytes that were not read yet.
    std::optional<Time> disconnected_at();
    // Sets a callback that is invoked once if the connection closes before the response is
    // complete.
    void set_on_disconnect(std::function<void()> callback) { on_disconnect_ = std::move(callback); }

  private:
    static constexpr std::size_t ReadBytes = 4096;

    enum class Phase : unsigned char { Idle, Head, Body, Working, Lingering, Closed };

    struct PendingWrite {
        std::string bytes;
        std::function<void(bool)> on_written;
    };

    static const http_parser_settings& parser_settings();
    static ServerConnection& of(http_parser* parser) {
        return *static_cast<ServerConnection*>(parser->data);
    }
    int on_headers_complete();
    int on_body(std::string_view bytes);
    int on_message_complete();

    void read_more();
    void on_read_error(asio::error_code error);
    void on_bytes(std::string_view bytes);
    int refusal_of_head() const;
    void parse(std::string_view bytes);
    void request_done();
    void refuse(int status);
    void linger();
    void write_next();
    void notify_disconnect();
    std::size_t head_bytes() const;
    void set_phase(Phase phase, Time deadline);

    asio::ip::tcp::socket socket_;
    // Outlives the server while this connection has pending handlers in the event loop.
    std::shared_ptr<ServerCore> core_;
    http_parser parser_{};
    Phase phase_ = Phase::Idle;
    Time deadline_{};
    std::array<char, ReadBytes> in_{};
    std::string buffered_; // bytes of later requests
    bool reading_ = false;
    RequestMessage message_;
    HeaderAssembler assembler_;
    int refused_ = 0;                 // status of the refusal; 0 if the request is valid so far
    bool complete_ = false;           // the request was read completely
    bool close_after_ = false;        // the response to the current request is the last one
    bool close_when_written_ = false; // the caller has closed its sending side
    bool reused_ = false;             // an earlier request was answered on this connection
    bool continue_sent_ = false;      // 100 Continue was sent for this request
    std::vector<PendingWrite> queue_;
    std::vector<PendingWrite> writing_;
    std::string wire_;
    bool write_active_ = false;
    Time write_since_{};
    std::optional<Time> disconnected_at_; // when the caller's close was noticed
    std::function<void()> on_disconnect_;
};

} // namespace liftweir

#endif // SERVERCONNECTION_H_INCLUDED
