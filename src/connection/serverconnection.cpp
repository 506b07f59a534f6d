// Parses callers' requests with http_parser and writes the responses.

#include "connection/serverconnection.h"

#include <algorithm>
#include <climits>
#include <cstdio>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <utility>

namespace liftweir {

namespace {

// The connection is closed if the caller reads no byte of its response for this long.
constexpr Duration WriteTimeout = std::chrono::seconds(60);
// After an error response the rest of the request is read and discarded for this long: a close
// with unread bytes would reset the connection and lose the response.
constexpr Duration LingerTime = std::chrono::seconds(1);
// When memory for requests is short, it is free again once some requests have ended.
constexpr const char* RetryAfterSeconds = "1";
// The kernel holds at most about this many bytes that are not in transit. Without it, it accepts
// megabytes for a caller that does not read, which no limit of this process covers.
constexpr int MaxUnsentInKernel = 128 << 10;
// Larger write buffers are freed after use: an idle connection would keep the size of its largest
// response.
constexpr std::size_t MaxKeptBuffer = 16u << 10;

// A request that is being read, as its screen sees it.
class MessageView final : public RequestView {
  public:
    explicit MessageView(const RequestMessage& message) : message_(message) {}
    std::string_view method() const override { return message_.method; }
    std::string_view target() const override { return message_.target; }
    const HttpHeaders& headers() const override { return message_.headers; }

  private:
    const RequestMessage& message_;
};

using UnsentLimit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

} // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, std::shared_ptr<ServerCore> core)
    : socket_(std::move(socket)),
      core_(std::move(core)),
      id_(++core_->last_id),
      buffered_charge_(core_->requests) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(UnsentLimit(MaxUnsentInKernel), ignored);
}

void ServerConnection::start() {
    sent_last_ = BootClock::now();
    set_phase(Phase::Idle, sent_last_ + core_->limits.idle_timeout);
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
            of(p).head_bytes_ += n;
            return 0;
        };
        s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            return of(p).on_header({at, n}, &HeaderAssembler::add_name);
        };
        s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            return of(p).on_header({at, n}, &HeaderAssembler::add_value);
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

// Trailers follow the body of a request and are not forwarded. A head may hold far more headers
// than it holds bytes of names and values.
int ServerConnection::on_header(std::string_view piece,
                                void (HeaderAssembler::*add)(HttpHeaders&, std::string_view)) {
    if (phase_ == Phase::Body)
        return 0;
    (assembler_.*add)(message_.headers, piece);
    head_bytes_ += piece.size();
    if (message_.headers.size() <= MaxHeaderCount)
        return 0;
    refused_ = 431;
    return -1;
}

int ServerConnection::refusal_of_head() const {
    const bool host_missing =
        count_headers(message_.headers, "host") != 1 && parser_.http_minor >= 1;
    if (host_missing || parser_.http_major != 1 || parser_.upgrade != 0)
        return 400;
    if (is_head_too_large())
        return 431;
    if (parser_.content_length != ULLONG_MAX && parser_.content_length > largest_body())
        return 413;
    return 0;
}

bool ServerConnection::is_head_too_large() const {
    constexpr std::size_t Separators = 4; // of each header
    return head_bytes_ + Separators * message_.headers.size() > core_->limits.header_bytes;
}

bool ServerConnection::is_screened_out() {
    if (core_->screen != nullptr && !std::exchange(screened_, true))
        screened_out_ = core_->screen->refuse(MessageView(message_));
    if (screened_out_)
        refused_ = screened_out_->status;
    return screened_out_.has_value();
}

int ServerConnection::on_headers_complete() {
    if (const int refusal = refusal_of_head(); refusal != 0)
        refused_ = refusal;
    if (refused_ == 0 && !hold_head())
        refused_ = 503;
    if (refused_ != 0)
        return -1;
    message_.method = http_method_str(static_cast<http_method>(parser_.method));
    message_.keep_alive = http_should_keep_alive(&parser_) != 0;
    accepts_chunks_ = parser_.http_minor >= 1;
    if (parser_.content_length != ULLONG_MAX && parser_.content_length > MaxUnscreenedBody &&
        is_screened_out())
        return -1;
    sent_last_ = body_began_ = BootClock::now();
    set_phase(Phase::Body, sent_last_ + core_->limits.header_timeout);
    if (has_token(find_header(message_.headers, "expect"), "100-continue") &&
        !std::exchange(continue_sent_, true))
        send("HTTP/1.1 100 Continue\r\n\r\n", nullptr);
    return 0;
}

int ServerConnection::on_body(std::string_view bytes) {
    const std::size_t size = body_bytes_ + bytes.size();
    if (size > largest_body())
        refused_ = 413;
    else if (size > MaxUnscreenedBody && is_screened_out())
        return -1;
    else if (!hold_body(size))
        refused_ = 503;
    if (refused_ != 0)
        return -1;
    message_.body->append(bytes);
    note_body_bytes(bytes.size());
    return 0;
}

int ServerConnection::on_message_complete() {
    complete_ = true;
    http_parser_pause(&parser_, 1);
    return 0;
}

void ServerConnection::read_more() {
    if (reading_ || phase_ == Phase::Closed || buffered_.size() > MaxBufferedBytes)
        return;
    reading_ = true;
    socket_.async_read_some(asio::buffer(in_),
                            [self = shared_from_this()](asio::error_code error, std::size_t bytes) {
                                self->reading_ = false;
                                if (self->phase_ == Phase::Closed)
                                    return;
                                if (error) {
                                    self->on_read_error(error);
                                    return;
                                }
                                self->on_bytes({self->in_.data(), bytes});
                                self->read_more();
                            });
}

// A caller that closed its sending side may still read. A response that is complete needs no
// further work and is written to its end; a request that is still processed is abandoned.
void ServerConnection::on_read_error(asio::error_code error) {
    if (error == asio::error::eof && phase_ != Phase::Working && write_active_)
        close_when_written_ = true;
    else
        close();
}

void ServerConnection::on_bytes(std::string_view bytes) {
    if (phase_ == Phase::Lingering)
        return;
    if (phase_ == Phase::Working) {
        hold_pipelined(bytes);
        return;
    }
    parse(bytes);
}

void ServerConnection::parse(std::string_view bytes) {
    if (phase_ == Phase::Idle) {
        sent_last_ = BootClock::now();
        set_phase(Phase::Head, sent_last_ + core_->limits.header_timeout);
    }
    // A request that two readers could frame differently hides another one (request smuggling),
    // since the endpoint may be one of them.
    if (!head_check_.read(bytes)) {
        refuse(400);
        return;
    }
    const auto parsed =
        http_parser_execute(&parser_, &parser_settings(), bytes.data(), bytes.size());
    if (phase_ == Phase::Head && refused_ == 0) {
        if (is_head_too_large())
            refused_ = 431;
        else if (!hold_head())
            refused_ = 503;
    }
    if (complete_) {
        buffered_.assign(bytes.substr(std::min(parsed, bytes.size())));
        buffered_charge_.set(2 * buffered_.size());
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
    complete_ = false;
    close_after_ = !message_.keep_alive;
    message_.on_reused_connection = std::exchange(reused_, true);
    set_phase(Phase::Working, Time::max());
    core_->on_request(shared_from_this(), std::exchange(message_, RequestMessage{}));
}

void ServerConnection::refuse(int status) {
    close_after_ = true;
    set_phase(Phase::Working, Time::max());
    HttpRefusal refusal{status,
                        {{"Content-Type", "application/json"}},
                        "{\"error\":{\"kind\":\"bad_request\",\"outcome\":\"not-run\"}}\n"};
    if (screened_out_) {
        refusal = *std::exchange(screened_out_, std::nullopt);
    } else if (status == 503) {
        ++core_->refused_for_memory;
        refusal.headers.emplace_back("Retry-After", RetryAfterSeconds);
        refusal.body = "{\"error\":{\"kind\":\"no_memory\",\"outcome\":\"not-run\"}}\n";
    }
    send_head(refusal.status, refusal.headers, refusal.body.size());
    send(std::move(refusal.body), nullptr);
    linger();
}

void ServerConnection::linger() {
    set_phase(Phase::Lingering, BootClock::now() + LingerTime);
    message_ = {};
    buffered_ = {};
    buffered_charge_.set(0);
    read_more();
}

void ServerConnection::send_head(int status, const HttpHeaders& headers,
                                 std::optional<std::size_t> length) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(reason_of(status)).append("\r\n");
    append_headers(head, headers);
    close_delimited_ = !length && !accepts_chunks_;
    close_after_ = close_after_ || close_delimited_;
    if (close_delimited_)
        reset_on_close(true);
    if (!length && accepts_chunks_)
        head += "Transfer-Encoding: chunked\r\n";
    else if (length && status != 204 && status != 304)
        head += "Content-Length: " + std::to_string(*length) + "\r\n";
    close_after_ = close_after_ || core_->closing;
    if (close_after_)
        head += "Connection: close\r\n";
    head += "\r\n";
    send(std::move(head), nullptr);
}

void ServerConnection::send_chunk(std::string bytes, std::function<void(bool)> on_written) {
    if (close_delimited_) {
        send(std::move(bytes), std::move(on_written));
        return;
    }
    char size[20];
    const int length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    bytes.insert(0, size, static_cast<std::size_t>(length));
    bytes += "\r\n";
    send(std::move(bytes), std::move(on_written));
}

void ServerConnection::end_body() {
    if (!close_delimited_) {
        send("0\r\n\r\n", nullptr);
        return;
    }
    send({}, [this](bool written) {
        if (!written)
            return;
        reset_on_close(false);
        asio::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    });
}

// An orderly close would end a response that has neither a length nor chunks. The kernel does the
// same as this process if the process dies.
void ServerConnection::reset_on_close(bool on) {
    asio::error_code ignored;
    socket_.set_option(asio::socket_base::linger(on, 0), ignored);
}

void ServerConnection::send(std::string bytes, std::function<void(bool)> on_written) {
    if (phase_ == Phase::Closed) {
        if (on_written)
            asio::post(core_->io, [on_written = std::move(on_written)] { on_written(false); });
        return;
    }
    set_held(held_ + bytes.size());
    queue_.push_back({std::move(bytes), std::move(on_written)});
    if (std::exchange(write_active_, true))
        return;
    // What one iteration of the event loop produces is sent in one packet.
    asio::post(core_->io, [self = shared_from_this()] { self->write_next(); });
}

void ServerConnection::write_next() {
    if (phase_ == Phase::Closed || queue_.empty()) {
        write_active_ = false;
        read_last_ = {};
        if (close_when_written_)
            close();
        return;
    }
    writing_ = std::exchange(queue_, {});
    wire_.clear();
    for (PendingWrite& item : writing_)
        wire_ += std::exchange(item.bytes, {});
    wire_sent_ = 0;
    if (read_last_ == Time{})
        read_last_ = BootClock::now();
    write_rest();
}

void ServerConnection::write_rest() {
    socket_.async_write_some(
        asio::buffer(wire_) + wire_sent_,
        [self = shared_from_this()](asio::error_code error, std::size_t bytes) {
            self->wire_sent_ += bytes;
            self->accepted_ += bytes;
            const bool complete = self->wire_sent_ == self->wire_.size();
            if (!error && !complete && self->phase_ != Phase::Closed) {
                self->write_rest();
                return;
            }
            if (error)
                self->close();
            self->on_batch_written(complete);
        });
}

void ServerConnection::on_batch_written(bool complete) {
    const auto written = std::exchange(writing_, {});
    set_held(held_ - wire_.size());
    wire_.clear();
    if (wire_.capacity() > MaxKeptBuffer)
        wire_.shrink_to_fit();
    for (const PendingWrite& item : written)
        if (item.on_written)
            item.on_written(complete);
    write_next();
}

void ServerConnection::set_held(std::size_t bytes) {
    core_->held_bytes += bytes - held_;
    held_ = bytes;
}

// Bytes that the kernel has accepted and the caller's host has not acknowledged.
std::size_t ServerConnection::unacknowledged() {
    int bytes = 0;
    if (phase_ == Phase::Closed || ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) != 0)
        return 0;
    return std::min<std::uint64_t>(static_cast<std::uint64_t>(std::max(bytes, 0)), accepted_);
}

HeldResponse ServerConnection::held() {
    if (phase_ != Phase::Working && !write_active_)
        return {id_, 0, 0};
    const std::size_t in_kernel = unacknowledged();
    return {id_, held_ + in_kernel, accepted_ - in_kernel};
}

// The complete response is in the write queue; the next request may be parsed.
void ServerConnection::answered() {
    on_disconnect_ = nullptr;
    if (phase_ != Phase::Working)
        return;
    if (close_after_) {
        linger();
        return;
    }
    http_parser_init(&parser_, HTTP_REQUEST);
    continue_sent_ = false;
    assembler_ = {};
    head_check_ = HeadCheck(HeadKind::Request);
    head_bytes_ = body_bytes_ = unnoted_bytes_ = 0;
    screened_ = false;
    sent_last_ = BootClock::now();
    set_phase(Phase::Idle, sent_last_ + core_->limits.idle_timeout);
    if (buffered_.empty()) {
        read_more();
        return;
    }
    // Deferred to the event loop: the handler may have responded within the call that delivered
    // the request.
    asio::post(core_->io, [self = shared_from_this()] {
        if (self->phase_ != Phase::Idle || self->buffered_.empty())
            return;
        const std::string bytes = std::exchange(self->buffered_, {});
        self->buffered_charge_.set(0);
        self->parse(bytes);
        self->read_more();
    });
}

// Polls instead of reading, since a read returns the end only after all bytes before it. A half
// close counts too: it can not be told from a close until bytes are sent, and an endpoint must not
// work for a caller that has disconnected.
std::optional<Time> ServerConnection::disconnected_at() {
    if (disconnected_at_ || phase_ == Phase::Closed)
        return disconnected_at_;
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    if (poll(&state, 1, 0) > 0)
        disconnected_at_ = BootClock::now();
    return disconnected_at_;
}

void ServerConnection::sweep(Time now) {
    // Without this check the close would go unnoticed: reading stops once enough bytes of the
    // caller's later requests are buffered.
    if (phase_ == Phase::Working && !reading_ && disconnected_at()) {
        close();
        return;
    }
    if (write_active_ && !reads(now)) {
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
    else if (!write_active_ && (phase_ == Phase::Idle || phase_ == Phase::Lingering))
        close();
}

// Whether the caller's host has acknowledged any byte within the time limit. The kernel accepts
// further bytes only once much of its buffer is free, so a slow caller shows here first.
bool ServerConnection::reads(Time now) {
    const std::uint64_t acked = accepted_ - unacknowledged();
    if (acked != last_acked_ || read_last_ == Time{})
        read_last_ = now;
    last_acked_ = acked;
    return now - read_last_ <= WriteTimeout;
}

void ServerConnection::reset() {
    reset_on_close(true);
    close();
}

void ServerConnection::notify_disconnect() {
    if (const auto callback = std::exchange(on_disconnect_, nullptr))
        callback();
}

void ServerConnection::close() {
    if (phase_ == Phase::Closed)
        return;
    const auto self = shared_from_this();
    phase_ = Phase::Closed;
    if (!disconnected_at_)
        disconnected_at_ = BootClock::now();
    asio::error_code ignored;
    socket_.close(ignored);
    asio::post(core_->io, [self] {
        self->core_->connections.erase(self);
        self->message_ = {};
        self->buffered_ = {};
        self->buffered_charge_.set(0);
        for (const PendingWrite& item : std::exchange(self->queue_, {})) {
            self->set_held(self->held_ - item.bytes.size());
            if (item.on_written)
                item.on_written(false);
        }
        self->notify_disconnect();
    });
}

} // namespace liftweir
