// Server side of one HTTP/1.1 connection from a caller.

#ifndef SERVERCONNECTION_H_INCLUDED
#define SERVERCONNECTION_H_INCLUDED

#include "connection/headcheck.h"
#include "connection/httpmessage.h"
#include "connection/httpserver.h"
#include "connection/memorybudget.h"
#include "connection/requestbody.h"
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
    std::shared_ptr<RequestBody> body; // null while it is empty
    bool keep_alive = true;
    bool on_reused_connection = false; // an earlier request was answered on it
    MemoryCharge head_charge;
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
    std::shared_ptr<MemoryBudget> requests; // what requests hold on all connections
    RequestScreen* screen = nullptr;        // null without one, and once the server is gone
    ServerConnections connections{};
    bool closing = false; // connections are closed after their next response
    ConnectionId last_id = 0;
    std::size_t held_bytes = 0; // of responses, on all connections
    std::uint64_t refused_for_memory = 0;
    std::uint64_t closed_for_others = 0;
};

// One caller's connection: reads one request at a time and writes its response.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
  public:
    ServerConnection(asio::ip::tcp::socket socket, std::shared_ptr<ServerCore> core);

    void start();
    // Applies the server's time limits.
    void sweep(Time now);
    void close();
    // Closes the connection and discards what the kernel holds for it.
    void reset();
    ConnectionId id() const { return id_; }
    const std::string& label() const { return label_; }
    void set_label(std::string label) { label_ = std::move(label); }
    // What is held of a response that is in progress or not fully passed to the kernel.
    HeldResponse held();
    // True between two requests, with nothing left to send.
    bool idle() const { return phase_ == Phase::Idle && reused_ && !write_active_; }
    // True while the next bytes of a request are waited for, and of a body for longer than a caller
    // that sends lets pass.
    bool stalled() const;
    // When the caller last sent a request or a considerable part of one.
    Time sent_last() const { return sent_last_; }
    // True while a request is being read or processed, or a response is not fully written.
    bool busy() const {
        const bool reads = phase_ == Phase::Head || phase_ == Phase::Body;
        return phase_ != Phase::Closed && (reads || phase_ == Phase::Working || write_active_);
    }

    // Starts the response to the request that was read last. If `length` is empty, the response is
    // chunked, or ends with the connection where the caller does not know chunks (HTTP/1.0).
    void send_head(int status, const HttpHeaders& headers, std::optional<std::size_t> length);
    void send(std::string bytes, std::function<void(bool)> on_written);
    void send_chunk(std::string bytes, std::function<void(bool)> on_written);
    // Ends a response without a length.
    void end_body();
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
    static constexpr std::size_t MaxHeaderCount = 128;
    // Once more bytes of later requests are buffered while one is processed, reading stops.
    static constexpr std::size_t MaxBufferedBytes = 16u << 10;
    // The body of a request that is refused by its head is read and discarded up to this size, so
    // that the connection can be kept.
    static constexpr std::size_t MaxUnscreenedBody = 16u << 10;

    enum class Phase : unsigned char { Idle, Head, Body, Working, Lingering, Closed };

    struct PendingWrite {
        std::string bytes;
        std::function<void(bool)> on_written;
    };

    void reset_on_close(bool on);
    void set_held(std::size_t bytes);
    std::size_t unacknowledged();
    bool reads(Time now);
    void write_rest();
    void on_batch_written(bool complete);

    static const http_parser_settings& parser_settings();
    static ServerConnection& of(http_parser* parser) {
        return *static_cast<ServerConnection*>(parser->data);
    }
    int on_header(std::string_view piece,
                  void (HeaderAssembler::*add)(HttpHeaders&, std::string_view));
    int on_headers_complete();
    int on_body(std::string_view bytes);
    int on_message_complete();

    void read_more();
    void on_read_error(asio::error_code error);
    void on_bytes(std::string_view bytes);
    int refusal_of_head() const;
    bool is_head_too_large() const;
    bool is_screened_out();
    std::size_t largest_body() const;
    bool hold_head();
    bool hold_body(std::size_t size);
    void hold_pipelined(std::string_view bytes);
    void drop_pipelined();
    bool make_room(std::size_t before, std::size_t after);
    double idle_memory(Time now) const;
    void give_way();
    void note_body_bytes(std::size_t count);
    void parse(std::string_view bytes);
    void request_done();
    void refuse(int status);
    void linger();
    void write_next();
    void notify_disconnect();
    void set_phase(Phase phase, Time deadline);

    asio::ip::tcp::socket socket_;
    // Outlives the server while this connection has pending handlers in the event loop.
    std::shared_ptr<ServerCore> core_;
    ConnectionId id_;
    std::string label_; // of the last request
    http_parser parser_{};
    Phase phase_ = Phase::Idle;
    Time deadline_{};
    std::array<char, ReadBytes> in_{};
    std::string buffered_; // bytes of later requests
    MemoryCharge buffered_charge_;
    bool drops_buffered_ = false; // later requests are not read, and the connection closes
    bool reading_ = false;
    RequestMessage message_;
    std::size_t head_bytes_ = 0; // of the target, and of names and values
    Time sent_last_{};
    Time body_began_{};
    std::size_t body_bytes_ = 0;
    std::size_t unnoted_bytes_ = 0; // of the body, since sent_last_
    HeaderAssembler assembler_;
    HeadCheck head_check_{HeadKind::Request};
    int refused_ = 0;       // status of the refusal; 0 if the request is valid so far
    bool screened_ = false; // the head was shown to the screen
    std::optional<HttpRefusal> screened_out_;
    bool complete_ = false;           // the request was read completely
    bool close_after_ = false;        // the response to the current request is the last one
    bool close_when_written_ = false; // the caller has closed its sending side
    bool accepts_chunks_ = true;      // the caller knows the chunked coding
    bool close_delimited_ = false;    // the response in progress ends with the connection
    bool reused_ = false;             // an earlier request was answered on this connection
    bool continue_sent_ = false;      // 100 Continue was sent for this request
    std::vector<PendingWrite> queue_;
    std::vector<PendingWrite> writing_; // their bytes are in wire_
    std::string wire_;
    std::size_t wire_sent_ = 0;    // bytes of wire_ that the kernel has accepted
    std::size_t held_ = 0;         // bytes in queue_ and wire_
    std::uint64_t accepted_ = 0;   // bytes that the kernel has accepted since the start
    std::uint64_t last_acked_ = 0; // at the last sweep
    bool write_active_ = false;
    Time read_last_{}; // when the caller's host was last seen to acknowledge bytes
    std::optional<Time> disconnected_at_; // when the caller's close was noticed
    std::function<void()> on_disconnect_;
};

} // namespace liftweir

#endif // SERVERCONNECTION_H_INCLUDED
