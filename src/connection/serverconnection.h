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

// One whole request as it was read.
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

// What all connections of one server share.
struct ServerCore {
    asio::io_context& io;
    HttpServerLimits limits;
    // A connection has read a whole request, and waits for its answer.
    std::function<void(const ConnectionPtr&, RequestMessage&&)> on_request;
    ServerConnections connections{};
    bool closing = false; // every answer ends its connection
};

// One caller's connection: reads one request at a time and writes its answer.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
  public:
    ServerConnection(asio::ip::tcp::socket socket, std::shared_ptr<ServerCore> core);

    void start();
    // Ends what has gone on for longer than the server's limits allow.
    void sweep(Time now);
    void close();
    // Between two requests, with nothing left to send.
    bool resting() const { return phase_ == Phase::Idle && kept_ && !write_active_; }
    // A request is being read or worked on, or an answer has not left yet.
    bool busy() const {
        const bool reads = phase_ == Phase::Head || phase_ == Phase::Body;
        return phase_ != Phase::Closed && (reads || phase_ == Phase::Working || write_active_);
    }

    // The answer to the request that was read last. Chunked where `length` is missing.
    void send_head(int status, const HttpHeaders& headers, std::optional<std::size_t> length);
    void send(std::string bytes, std::function<void(bool)> on_written);
    void send_chunk(std::string bytes, std::function<void(bool)> on_written);
    // The answer is whole.
    void answered();
    // When the caller was seen to have closed its connection or its sending side; looks at the
    // socket, where a close may stand behind bytes that were not read yet.
    std::optional<Time> left();
    // Told once, when the connection is gone before the answer is whole.
    void watch(std::function<void()> gone) { gone_ = std::move(gone); }

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
    void take(std::string_view bytes);
    int refusal_of_head() const;
    void parse(std::string_view bytes);
    void request_done();
    void refuse(int status);
    void linger();
    void write_next();
    void tell_gone();
    std::size_t head_bytes() const;
    void set_phase(Phase phase, Time deadline);

    asio::ip::tcp::socket socket_;
    // Outlives the server while a connection has work left in the loop.
    std::shared_ptr<ServerCore> core_;
    http_parser parser_{};
    Phase phase_ = Phase::Idle;
    Time deadline_{};
    std::array<char, ReadBytes> in_{};
    std::string held_; // of later requests
    bool reading_ = false;
    RequestMessage message_;
    HeaderAssembler assembler_;
    int refused_ = 0;       // status of the refusal; zero where nothing is wrong
    bool complete_ = false; // the request is whole
    bool close_after_ = false;
    bool close_when_written_ = false; // no more bytes come from the caller
    bool kept_ = false;               // a request was answered before
    bool informed_ = false;           // 100 Continue was sent for this request
    std::vector<PendingWrite> queue_;
    std::vector<PendingWrite> writing_;
    std::string wire_;
    bool write_active_ = false;
    Time write_since_{};
    std::optional<Time> left_; // when the connection was seen to be gone
    std::function<void()> gone_;
};

} // namespace liftweir

#endif // SERVERCONNECTION_H_INCLUDED
