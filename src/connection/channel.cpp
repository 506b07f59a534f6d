// Sends requests on a client connection and parses the responses with http_parser.

#include "connection/channel.h"

#include "connection/link.h"

#include <algorithm>
#include <array>
#include <climits>
#include <cstdlib>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace liftweir {

namespace {

// Endpoints that send no timeout in Keep-Alive keep an idle connection open at least this long.
constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
// An idle connection is closed this long before the endpoint would close it, so that requests
// rarely race with that close.
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(700);
constexpr std::size_t MaxHeadBytes = 64u << 10;
// A small body is sent in one piece with the head.
constexpr std::size_t MaxCopiedBody = 16u << 10;
// An idle connection keeps a buffer of this size.
constexpr std::size_t MaxKeptBuffer = 4096;
// TCP_USER_TIMEOUT: a peer that has failed acknowledges nothing; a healthy one acknowledges
// within a round trip.
constexpr Duration UnacknowledgedTimeout = std::chrono::milliseconds(8000);

// How long the endpoint keeps an idle connection open: its Keep-Alive timeout, or the default.
Duration keep_alive_of(const HttpResponseHead& head) {
    constexpr std::string_view Timeout = "timeout=";
    const std::string_view value = find_header(head.headers, "keep-alive");
    const auto at = value.find(Timeout);
    if (at == std::string_view::npos)
        return DefaultKeepAlive;
    return std::chrono::seconds(std::atoi(std::string(value.substr(at + Timeout.size())).c_str()));
}

// To be called once the head is complete. http_parser sets the length of a response without one to
// its maximum.
BodyFraming framing_of(const http_parser& parser, bool head_request) {
    const auto status = parser.status_code;
    if (head_request || status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED)
        return BodyFraming::Length;
    if ((parser.flags & F_CHUNKED) != 0)
        return BodyFraming::Chunked;
    return parser.content_length == ULLONG_MAX ? BodyFraming::ConnectionClose : BodyFraming::Length;
}

} // namespace

void Channel::connect(Duration timeout) {
    const auto endpoint = parse_address(address_);
    if (!endpoint) {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this()] { self->end(CallEnd::ConnectFailed); });
        return;
    }
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error && !self->connected_)
            self->end(CallEnd::ConnectFailed);
    });
    socket_.async_connect(*endpoint, [self = shared_from_this()](asio::error_code error) {
        if (self->closed_)
            return;
        self->timer_.cancel();
        if (error) {
            self->end(CallEnd::ConnectFailed);
            return;
        }
        self->connected_ = true;
        asio::error_code ignored;
        self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        set_user_timeout(self->socket_, UnacknowledgedTimeout);
        if (self->events_.on_connected)
            self->events_.on_connected();
        if (self->closed_)
            return;
        self->write_request();
        self->read_more();
    });
}

std::uint64_t Channel::begin(const HttpRequestHead& head, SharedBytes body, CallEvents events) {
    active_ = true;
    ++call_;
    written_ = write_failed_ = message_complete_ = bytes_seen_ = paused_ = false;
    assembler_ = {};
    head_check_ = HeadCheck(HeadKind::Response);
    head_ = {};
    head_bytes_ = 0;
    received_before_head_ = 0;
    events_ = std::move(events);
    head_request_ = head.method == "HEAD";
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    out_ = head.method + " " + head.target + " HTTP/1.1\r\n";
    append_headers(out_, head.headers);
    const std::size_t length = body ? body->size() : 0;
    if (length > 0 || head.method == "POST" || head.method == "PUT" || head.method == "PATCH")
        out_ += "Content-Length: " + std::to_string(length) + "\r\n";
    out_ += "\r\n";
    if (length > MaxCopiedBody)
        body_ = std::move(body);
    else if (length > 0)
        out_ += *body;
    if (connected_)
        write_request();
    return call_;
}

void Channel::write_request() {
    auto on_written = [self = shared_from_this()](asio::error_code error, std::size_t) {
        // The response may have arrived before the error, so reading goes on.
        self->written_ = !error;
        self->write_failed_ = !!error;
        self->body_.reset();
        if (self->out_.capacity() > MaxKeptBuffer)
            self->out_ = {};
    };
    if (body_)
        asio::async_write(socket_,
                          std::array{asio::buffer(std::as_const(out_)), asio::buffer(*body_)},
                          std::move(on_written));
    else
        asio::async_write(socket_, asio::buffer(out_), std::move(on_written));
}

const http_parser_settings& Channel::parser_settings() {
    static const http_parser_settings settings = [] {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            return of(p).on_field({at, n});
        };
        s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            return of(p).on_value({at, n});
        };
        s.on_headers_complete = [](http_parser* p) { return of(p).on_headers_complete(); };
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            Channel& self = of(p);
            if (self.events_.on_body)
                self.events_.on_body({at, n});
            return self.closed_ ? -1 : 0;
        };
        s.on_message_complete = [](http_parser* p) {
            of(p).message_complete_ = true;
            http_parser_pause(p, 1);
            return 0;
        };
        return s;
    }();
    return settings;
}

int Channel::on_field(std::string_view text) {
    assembler_.add_name(head_.headers, text);
    head_bytes_ += text.size();
    return head_bytes_ > MaxHeadBytes ? -1 : 0;
}

int Channel::on_value(std::string_view text) {
    assembler_.add_value(head_.headers, text);
    head_bytes_ += text.size();
    return head_bytes_ > MaxHeadBytes ? -1 : 0;
}

int Channel::on_headers_complete() {
    if (status_class(static_cast<int>(parser_.status_code)) == 1) {
        head_ = {};
        assembler_ = {};
        return 0;
    }
    head_.status = static_cast<int>(parser_.status_code);
    head_.framing = framing_of(parser_, head_request_);
    if (events_.on_head)
        events_.on_head(head_);
    if (closed_)
        return -1;
    return head_request_ ? 1 : 0;
}

void Channel::read_more() {
    if (reading_ || closed_ || paused_)
        return;
    reading_ = true;
    socket_.async_read_some(asio::buffer(in_),
                            [self = shared_from_this()](asio::error_code error, std::size_t bytes) {
                                self->reading_ = false;
                                if (self->closed_)
                                    return;
                                if (error) {
                                    self->on_read_error(error);
                                    return;
                                }
                                self->on_bytes({self->in_.data(), bytes});
                                self->read_more();
                            });
}

void Channel::resume() {
    paused_ = false;
    read_more();
}

// Bytes that arrive while no call is in progress belong to no response. A later response could not
// be told from them, so the connection is closed.
void Channel::on_bytes(std::string_view bytes) {
    if (!active_) {
        close();
        return;
    }
    bytes_seen_ = true;
    if (head_.status == 0)
        received_before_head_ += bytes.size();
    const auto self = shared_from_this();
    while (!bytes.empty() && !closed_ && active_) {
        // Before the parser, which would report an invalid head as a response.
        if (!head_check_.read(bytes)) {
            end(CallEnd::Malformed);
            return;
        }
        const auto parsed =
            http_parser_execute(&parser_, &parser_settings(), bytes.data(), bytes.size());
        if (closed_)
            return;
        bytes.remove_prefix(std::min(parsed, bytes.size()));
        if (skip_informational())
            continue;
        if (message_complete_) {
            complete(bytes.empty() ? BootClock::now() + keep_alive_of(head_) - KeepAliveMargin
                                   : Time{});
            return;
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
            end(CallEnd::Malformed);
            return;
        }
    }
    // The parser bounds each head, but not how many informational ones precede the final one.
    if (active_ && head_.status == 0 && received_before_head_ > MaxHeadBytes)
        end(CallEnd::Malformed);
}

// Skips an informational (1xx) head; the final response follows it.
bool Channel::skip_informational() {
    if (!message_complete_ || status_class(static_cast<int>(parser_.status_code)) != 1)
        return false;
    message_complete_ = false;
    head_check_ = HeadCheck(HeadKind::Response);
    http_parser_pause(&parser_, 0);
    return true;
}

void Channel::complete(Time keep_until) {
    keep_until_ = keep_until;
    end(CallEnd::Complete);
}

// The kernel reports the reset of a connection once. If the write of the request has got the error,
// a read that follows returns the end of the connection, like after an orderly close. That write
// may have been made and not have been handled yet, but the kernel's state tells the two apart.
bool Channel::was_reset() {
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool known =
        getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return write_failed_ || (!written_ && known && info.tcpi_state == TCP_CLOSE);
}

// The end of the connection ends a response without a length, but only if it is an orderly close:
// after a reset, part of the response may be missing. An endpoint may close its sending side in
// order while it still reads the request.
void Channel::on_read_error(asio::error_code error) {
    if (!active_) {
        close();
        return;
    }
    const bool orderly = error == asio::error::eof && !was_reset();
    if (orderly && head_.status != 0) {
        http_parser_execute(&parser_, &parser_settings(), nullptr, 0);
        if (closed_)
            return;
        if (message_complete_) {
            complete({});
            return;
        }
    }
    end(CallEnd::Broken);
}

bool Channel::reusable() const {
    return written_ && http_should_keep_alive(&parser_) != 0 &&
           !has_token(find_header(head_.headers, "connection"), "close") &&
           keep_until_ > BootClock::now();
}

void Channel::end(CallEnd how) {
    if (!std::exchange(active_, false))
        return;
    const auto self = shared_from_this();
    const CallEvents events = std::exchange(events_, {});
    const auto owner = owner_.lock();
    if (how == CallEnd::Complete && reusable() && owner)
        owner->on_idle(self);
    else
        close();
    if (events.on_end)
        events.on_end(how, bytes_seen_);
}

// The number guards against a connection that already serves the next call when the last one is
// cancelled. The reset discards what waits in this host's send buffer, and unlike a half close it
// can not leave the endpoint working on the request.
void Channel::cancel(std::uint64_t call) {
    if (call != call_ || !std::exchange(active_, false))
        return;
    asio::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    // Released in a later iteration of the event loop: this may run within one of the callbacks.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->events_ = {}; });
    close();
}

void Channel::close() {
    if (std::exchange(closed_, true))
        return;
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    if (const auto owner = owner_.lock())
        owner->on_closed(shared_from_this());
}

} // namespace liftweir
