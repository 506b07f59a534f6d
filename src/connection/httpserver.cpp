#include "connection/httpserver.h"

#include "connection/link.h"

#include <http_parser.h>

#include <algorithm>
#include <set>
#include <sys/socket.h>

namespace liftweir {

namespace {

// Time limits are checked by one timer for all connections: a timer each would cost a wake-up for
// every request.
constexpr Duration SweepEvery = std::chrono::milliseconds(250);
// A caller that takes no byte of its answer for so long is given up.
constexpr Duration WriteTimeout = std::chrono::seconds(60);
// After an error answer the rest of the request is read and dropped for so long: closing with
// unread bytes would reset the connection, and the answer with it.
constexpr Duration LingerTime = std::chrono::seconds(1);
constexpr std::size_t ReadBytes = 4096;
// Bytes of later requests that are kept while one is in work.
constexpr std::size_t MaxHeldBytes = 64u << 10;
constexpr std::size_t MaxHeaderCount = 128;
constexpr int ListenBacklog = 512;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

struct RequestMessage {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
    bool keep_alive = true;
};

class ServerCore;
class Exchange;

enum class Phase : unsigned char { Idle, Head, Body, Working, Lingering, Closed };

// One caller's connection: reads one request at a time and writes its answer.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
  public:
    ServerConnection(asio::ip::tcp::socket socket, ServerCore& core);

    void start();
    void sweep(Time now);
    void close();
    bool idle() const { return phase_ == Phase::Idle; }

    // For the exchange.
    void send_head(int status, const HttpHeaders& headers, std::optional<std::size_t> length);
    void send(std::string bytes, std::function<void(bool)> on_written);
    void send_chunk(std::string bytes, std::function<void(bool)> on_written);
    void answered();
    void watch(std::function<void()> gone) { gone_ = std::move(gone); }
    bool closed() const { return phase_ == Phase::Closed; }

  private:
    struct PendingWrite {
        std::string bytes;
        std::function<void(bool)> on_written;
    };

    static const http_parser_settings& parser_settings();
    static ServerConnection& of(http_parser* parser) {
        return *static_cast<ServerConnection*>(parser->data);
    }
    int on_field(std::string_view text);
    int on_value(std::string_view text);
    int on_headers_complete();
    int on_body(std::string_view bytes);
    int on_message_complete();

    void read_more();
    void take(std::string_view bytes);
    void parse(std::string_view bytes);
    void request_done();
    void refuse(int status);
    void linger();
    void write_next();
    void tell_gone();
    std::size_t head_bytes() const;
    void set_phase(Phase phase, Time deadline);

    asio::ip::tcp::socket socket_;
    ServerCore& core_;
    http_parser parser_{};
    Phase phase_ = Phase::Idle;
    Time deadline_{};
    std::array<char, ReadBytes> in_{};
    std::string held_; // of later requests
    bool reading_ = false;
    RequestMessage message_;
    bool in_value_ = false;
    int refused_ = 0;
    bool complete_ = false;
    bool close_after_ = false;
    bool informed_ = false; // 100 Continue was sent for this request
    std::vector<PendingWrite> queue_;
    std::vector<PendingWrite> writing_;
    std::string wire_;
    bool write_active_ = false;
    Time write_since_{};
    std::function<void()> gone_;
};

using ConnectionPtr = std::shared_ptr<ServerConnection>;

class ServerCore {
  public:
    ServerCore(asio::io_context& io, HttpServerLimits limits, HttpHandler handler)
        : io(io), limits(limits), handler(std::move(handler)) {}

    asio::io_context& io;
    HttpServerLimits limits;
    HttpHandler handler;
    std::set<ConnectionPtr> connections;
    bool closing = false; // every answer ends its connection
};

class Exchange final : public HttpExchange {
  public:
    Exchange(ConnectionPtr connection, RequestMessage message)
        : connection_(std::move(connection)),
          message_(std::move(message)),
          received_(BootClock::now()) {}
    ~Exchange() override {
        // Dropped without an answer: the caller must not wait for one.
        if (!done_)
            connection_->close();
    }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    std::string_view method() const override { return message_.method; }
    std::string_view target() const override { return message_.target; }
    std::string_view path() const override { return target().substr(0, target().find('?')); }
    std::string_view query() const override {
        const auto mark = target().find('?');
        return mark == std::string_view::npos ? std::string_view{} : target().substr(mark + 1);
    }
    std::string_view body() const override { return message_.body; }
    const HttpHeaders& headers() const override { return message_.headers; }
    std::string header(std::string_view name) const override {
        return std::string(find_header(message_.headers, name));
    }
    Time received() const override { return received_; }

    void respond(int status, const HttpHeaders& headers, std::string body) override {
        if (std::exchange(done_, true))
            return;
        connection_->send_head(status, headers, body.size());
        if (!body.empty() && message_.method != "HEAD")
            connection_->send(std::move(body), nullptr);
        connection_->answered();
    }
    void begin(int status, const HttpHeaders& headers) override {
        connection_->send_head(status, headers, std::nullopt);
    }
    void write(std::string bytes, std::function<void(bool)> on_written) override {
        connection_->send_chunk(std::move(bytes), std::move(on_written));
    }
    void finish() override {
        if (std::exchange(done_, true))
            return;
        connection_->send("0\r\n\r\n", nullptr);
        connection_->answered();
    }
    void abort() override {
        done_ = true;
        connection_->close();
    }
    void on_gone(std::function<void()> gone) override { connection_->watch(std::move(gone)); }

  private:
    ConnectionPtr connection_;
    RequestMessage message_;
    Time received_;
    bool done_ = false;
};

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, ServerCore& core)
    : socket_(std::move(socket)), core_(core) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void ServerConnection::start() {
    set_phase(Phase::Idle, BootClock::now() + core_.limits.idle_timeout);
    read_more();
}

void ServerConnection::set_phase(Phase phase, Time deadline) {
    phase_ = phase;
    deadline_ = deadline;
}

const http_parser_settings& ServerConnection::parser_settings() {
    static const http_parser_settings settings = [] {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_url = [](http_parser* p, const char* at, std::size_t n) {
            of(p).message_.target.append(at, n);
            return 0;
        };
        s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            return of(p).on_field({at, n});
        };
        s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            return of(p).on_value({at, n});
        };
        s.on_headers_complete = [](http_parser* p) { return of(p).on_headers_complete(); };
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            return of(p).on_body({at, n});
        };
        s.on_message_complete = [](http_parser* p) { return of(p).on_message_complete(); };
        return s;
    }();
    return settings;
}

int ServerConnection::on_field(std::string_view text) {
    if (in_value_ || message_.headers.empty())
        message_.headers.emplace_back();
    in_value_ = false;
    message_.headers.back().first.append(text);
    return 0;
}

int ServerConnection::on_value(std::string_view text) {
    in_value_ = true;
    message_.headers.back().second.append(text);
    return 0;
}

// A request that two readers could frame in two ways is refused: one of them may be an endpoint.
int ServerConnection::on_headers_complete() {
    std::size_t hosts = 0;
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    for (const auto& [name, value] : message_.headers) {
        hosts += same_name(name, "host") ? 1 : 0;
        lengths += same_name(name, "content-length") ? 1 : 0;
        encodings += same_name(name, "transfer-encoding") ? 1 : 0;
    }
    const bool ambiguous = lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0);
    const bool host_missing = hosts != 1 && parser_.http_minor >= 1;
    if (ambiguous || host_missing || parser_.http_major != 1 || parser_.upgrade != 0)
        refused_ = 400;
    else if (message_.headers.size() > MaxHeaderCount)
        refused_ = 431;
    else if (lengths > 0 && parser_.content_length != ULLONG_MAX &&
             parser_.content_length > core_.limits.body_bytes)
        refused_ = 413;
    if (refused_ != 0)
        return -1;
    message_.method = http_method_str(static_cast<http_method>(parser_.method));
    message_.keep_alive = http_should_keep_alive(&parser_) != 0;
    set_phase(Phase::Body, BootClock::now() + core_.limits.header_timeout);
    if (has_token(find_header(message_.headers, "expect"), "100-continue") &&
        !std::exchange(informed_, true))
        send("HTTP/1.1 100 Continue\r\n\r\n", nullptr);
    return 0;
}

int ServerConnection::on_body(std::string_view bytes) {
    if (message_.body.size() + bytes.size() > core_.limits.body_bytes) {
        refused_ = 413;
        return -1;
    }
    message_.body.append(bytes);
    deadline_ = BootClock::now() + core_.limits.header_timeout;
    return 0;
}

int ServerConnection::on_message_complete() {
    complete_ = true;
    http_parser_pause(&parser_, 1);
    return 0;
}

void ServerConnection::read_more() {
    if (reading_ || phase_ == Phase::Closed || held_.size() > MaxHeldBytes)
        return;
    reading_ = true;
    socket_.async_read_some(asio::buffer(in_),
                            [self = shared_from_this()](asio::error_code error, std::size_t bytes) {
                                self->reading_ = false;
                                if (self->phase_ == Phase::Closed)
                                    return;
                                if (error) {
                                    self->close();
                                    return;
                                }
                                self->take({self->in_.data(), bytes});
                                self->read_more();
                            });
}

void ServerConnection::take(std::string_view bytes) {
    if (phase_ == Phase::Lingering)
        return;
    if (phase_ == Phase::Working) {
        held_.append(bytes);
        return;
    }
    parse(bytes);
}

std::size_t ServerConnection::head_bytes() const {
    std::size_t bytes = message_.target.size();
    for (const auto& [name, value] : message_.headers)
        bytes += name.size() + value.size() + 4;
    return bytes;
}

void ServerConnection::parse(std::string_view bytes) {
    if (phase_ == Phase::Idle)
        set_phase(Phase::Head, BootClock::now() + core_.limits.header_timeout);
    const auto parsed =
        http_parser_execute(&parser_, &parser_settings(), bytes.data(), bytes.size());
    if (phase_ == Phase::Head && head_bytes() > core_.limits.header_bytes)
        refused_ = 431;
    if (complete_) {
        held_.assign(bytes.substr(std::min(parsed, bytes.size())));
        request_done();
        return;
    }
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (refused_ == 0 && error == HPE_HEADER_OVERFLOW)
        refused_ = 431;
    if (refused_ == 0 && error != HPE_OK)
        refused_ = 400;
    if (refused_ != 0)
        refuse(refused_);
}

void ServerConnection::request_done() {
    if (head_bytes() > core_.limits.header_bytes) {
        refuse(431);
        return;
    }
    complete_ = false;
    close_after_ = !message_.keep_alive;
    set_phase(Phase::Working, Time::max());
    core_.handler(
        std::make_shared<Exchange>(shared_from_this(), std::exchange(message_, RequestMessage{})));
}

void ServerConnection::refuse(int status) {
    close_after_ = true;
    set_phase(Phase::Working, Time::max());
    const std::string body = "{\"error\":{\"kind\":\"bad_request\",\"outcome\":\"not-run\"}}\n";
    send_head(status, {{"Content-Type", "application/json"}}, body.size());
    send(body, nullptr);
    linger();
}

void ServerConnection::linger() {
    set_phase(Phase::Lingering, BootClock::now() + LingerTime);
    held_.clear();
    read_more();
}

void ServerConnection::send_head(int status, const HttpHeaders& headers,
                                 std::optional<std::size_t> length) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(reason_of(status)).append("\r\n");
    for (const auto& [name, value] : headers)
        head.append(name).append(": ").append(value).append("\r\n");
    if (!length)
        head += "Transfer-Encoding: chunked\r\n";
    else if (status != 204 && status != 304)
        head += "Content-Length: " + std::to_string(*length) + "\r\n";
    close_after_ = close_after_ || core_.closing;
    if (close_after_)
        head += "Connection: close\r\n";
    head += "\r\n";
    send(std::move(head), nullptr);
}

void ServerConnection::send_chunk(std::string bytes, std::function<void(bool)> on_written) {
    char size[20];
    const int length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    bytes.insert(0, size, static_cast<std::size_t>(length));
    bytes += "\r\n";
    send(std::move(bytes), std::move(on_written));
}

void ServerConnection::send(std::string bytes, std::function<void(bool)> on_written) {
    if (phase_ == Phase::Closed) {
        if (on_written)
            asio::post(core_.io, [on_written = std::move(on_written)] { on_written(false); });
        return;
    }
    queue_.push_back({std::move(bytes), std::move(on_written)});
    if (std::exchange(write_active_, true))
        return;
    // What one turn of the loop produces leaves in one packet.
    asio::post(core_.io, [self = shared_from_this()] { self->write_next(); });
}

void ServerConnection::write_next() {
    if (phase_ == Phase::Closed || queue_.empty()) {
        write_active_ = false;
        write_since_ = {};
        return;
    }
    writing_ = std::exchange(queue_, {});
    wire_.clear();
    for (const PendingWrite& item : writing_)
        wire_ += item.bytes;
    write_since_ = BootClock::now();
    asio::async_write(socket_, asio::buffer(wire_),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                          const auto written = std::exchange(self->writing_, {});
                          if (error)
                              self->close();
                          for (const PendingWrite& item : written)
                              if (item.on_written)
                                  item.on_written(!error);
                          self->write_next();
                      });
}

// The answer stands in the write queue; the next request may be taken.
void ServerConnection::answered() {
    gone_ = nullptr;
    if (phase_ != Phase::Working)
        return;
    if (close_after_) {
        linger();
        return;
    }
    http_parser_init(&parser_, HTTP_REQUEST);
    informed_ = false;
    in_value_ = false;
    set_phase(Phase::Idle, BootClock::now() + core_.limits.idle_timeout);
    if (held_.empty()) {
        read_more();
        return;
    }
    // From the loop: an answer may have been given within the call that delivered the request.
    asio::post(core_.io, [self = shared_from_this()] {
        if (self->phase_ != Phase::Idle || self->held_.empty())
            return;
        const std::string bytes = std::exchange(self->held_, {});
        self->parse(bytes);
        self->read_more();
    });
}

void ServerConnection::sweep(Time now) {
    if (write_active_ && write_since_ != Time{} && now - write_since_ > WriteTimeout) {
        close();
        return;
    }
    if (phase_ == Phase::Lingering && !write_active_) {
        asio::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    if (now < deadline_)
        return;
    if (phase_ == Phase::Head || phase_ == Phase::Body)
        refuse(408);
    else if (phase_ == Phase::Idle || (phase_ == Phase::Lingering && !write_active_))
        close();
}

void ServerConnection::tell_gone() {
    if (const auto gone = std::exchange(gone_, nullptr))
        gone();
}

void ServerConnection::close() {
    if (phase_ == Phase::Closed)
        return;
    const auto self = shared_from_this();
    phase_ = Phase::Closed;
    asio::error_code ignored;
    socket_.close(ignored);
    asio::post(core_.io, [self] {
        self->core_.connections.erase(self);
        for (const PendingWrite& item : std::exchange(self->queue_, {}))
            if (item.on_written)
                item.on_written(false);
        self->tell_gone();
    });
}

class AsioServer final : public HttpServer {
  public:
    AsioServer(asio::io_context& io, const std::string& address, const HttpServerLimits& limits,
               HttpHandler handler)
        : core_(io, limits, std::move(handler)), acceptor_(io), sweeper_(io) {
        const auto endpoint = parse_address(address).value();
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        acceptor_.set_option(ReusePort(true));
        acceptor_.bind(endpoint);
        acceptor_.listen(ListenBacklog);
        accept();
        sweep_later();
    }
    ~AsioServer() override {
        for (const ConnectionPtr& connection : std::set<ConnectionPtr>(core_.connections))
            connection->close();
    }
    AsioServer(const AsioServer&) = delete;
    AsioServer& operator=(const AsioServer&) = delete;

    void stop_accepting() override {
        asio::error_code ignored;
        acceptor_.close(ignored);
    }
    void close_after_answers() override { core_.closing = true; }
    void close_idle() override {
        for (const ConnectionPtr& connection : std::set<ConnectionPtr>(core_.connections))
            if (connection->idle())
                connection->close();
    }
    void set_limits(const HttpServerLimits& limits) override { core_.limits = limits; }
    std::size_t connections() const override { return core_.connections.size(); }

  private:
    void accept() {
        acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted || !acceptor_.is_open())
                return;
            // Beyond the bound a new connection is closed at once: its caller tries another host.
            if (!error && core_.connections.size() < core_.limits.connections) {
                // cppcheck-suppress accessMoved
                const auto connection =
                    std::make_shared<ServerConnection>(std::move(socket), core_);
                core_.connections.insert(connection);
                connection->start();
            }
            accept();
        });
    }
    void sweep_later() {
        sweeper_.expires_after(SweepEvery);
        sweeper_.async_wait([this](asio::error_code error) {
            if (error)
                return;
            const Time now = BootClock::now();
            for (const ConnectionPtr& connection : std::set<ConnectionPtr>(core_.connections))
                connection->sweep(now);
            sweep_later();
        });
    }

    ServerCore core_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer sweeper_;
};

} // namespace

std::unique_ptr<HttpServer> serve_http(asio::io_context& io, const std::string& address,
                                       const HttpServerLimits& limits, HttpHandler handler) {
    return std::make_unique<AsioServer>(io, address, limits, std::move(handler));
}

} // namespace liftweir
