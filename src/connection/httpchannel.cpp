#include "connection/httpchannel.h"

#include "connection/link.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>

namespace liftweir {

namespace {

constexpr std::size_t ReadBytes = 8192;
// Endpoints that name no time in Keep-Alive are known to keep a connection at least this long.
constexpr Duration DefaultKeep = std::chrono::seconds(4);
// Closed this much before the endpoint would, so that requests seldom meet its close.
constexpr Duration KeepMargin = std::chrono::milliseconds(700);
constexpr std::size_t MaxKeptPerAddress = 64;
constexpr std::size_t MaxHeadBytes = 64u << 10;
// A dead peer acknowledges nothing; a healthy one does so within a round trip.
constexpr Duration SilenceLimit = std::chrono::milliseconds(8000);

// How long the endpoint keeps the connection at rest, by its own word where it gave one.
Duration kept_by_endpoint(const HttpResponseHead& head) {
    constexpr std::string_view Timeout = "timeout=";
    const std::string_view value = find_header(head.headers, "keep-alive");
    const auto at = value.find(Timeout);
    if (at == std::string_view::npos)
        return DefaultKeep;
    return std::chrono::seconds(std::atoi(std::string(value.substr(at + Timeout.size())).c_str()));
}

class Pool;

// One connection to an endpoint, and the call that is under way on it, if any.
class Channel : public std::enable_shared_from_this<Channel> {
  public:
    Channel(asio::io_context& io, std::weak_ptr<Pool> pool, std::string address)
        : socket_(io), timer_(io), pool_(std::move(pool)), address_(std::move(address)) {}

    void connect(Duration timeout);
    // Returns the number of the call, by which it is cancelled.
    std::uint64_t begin(const HttpRequestHead& head, const std::string& body, CallEvents events);
    void cancel(std::uint64_t call);
    void pause() { paused_ = true; }
    void resume();
    void close();
    bool usable(Time now) const { return !closed_ && now < keep_until_; }
    const std::string& address() const { return address_; }

  private:
    static const http_parser_settings& parser_settings();
    static Channel& of(http_parser* parser) { return *static_cast<Channel*>(parser->data); }
    int on_field(std::string_view text);
    int on_value(std::string_view text);
    int on_headers_complete();

    void write_request();
    void read_more();
    void take(std::string_view bytes);
    void on_read_error(asio::error_code error);
    void end(CallEnd how);
    bool reusable() const;

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::weak_ptr<Pool> pool_; // gone when the process ends
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

using ChannelPtr = std::shared_ptr<Channel>;

// The connections that rest between calls, by address; the one used last is taken first.
class Pool : public std::enable_shared_from_this<Pool> {
  public:
    explicit Pool(asio::io_context& io) : io_(io) {}

    std::unique_ptr<HttpCallHandle> start(const std::string& address, const HttpRequestHead& head,
                                          const std::string& body, ChannelOptions options,
                                          CallEvents events);
    void forget(const std::string& address);
    void forget_all();
    std::uint64_t opened() const { return opened_; }

    void keep(const ChannelPtr& channel);
    void drop(const ChannelPtr& channel);

  private:
    ChannelPtr take_kept(const std::string& address);

    asio::io_context& io_;
    std::map<std::string, std::deque<ChannelPtr>> kept_;
    std::uint64_t opened_ = 0;
};

// A caller's hold on its call, which may be over or on another connection by now.
class Handle final : public HttpCallHandle {
  public:
    Handle(const ChannelPtr& channel, std::uint64_t call) : channel_(channel), call_(call) {}
    ~Handle() override {
        if (const auto channel = channel_.lock())
            channel->cancel(call_);
    }
    Handle(const Handle&) = delete;
    Handle& operator=(const Handle&) = delete;

    void cancel() override {
        if (const auto channel = channel_.lock())
            channel->cancel(call_);
        channel_.reset();
    }
    void pause() override {
        if (const auto channel = channel_.lock())
            channel->pause();
    }
    void resume() override {
        if (const auto channel = channel_.lock())
            channel->resume();
    }

  private:
    std::weak_ptr<Channel> channel_;
    std::uint64_t call_;
};

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
        set_silence_limit(self->socket_, SilenceLimit);
        self->write_request();
        self->read_more();
    });
}

std::uint64_t Channel::begin(const HttpRequestHead& head, const std::string& body,
                             CallEvents events) {
    active_ = true;
    ++call_;
    written_ = message_complete_ = bytes_seen_ = paused_ = false;
    assembler_ = {};
    head_ = {};
    head_bytes_ = 0;
    events_ = std::move(events);
    head_request_ = head.method == "HEAD";
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    out_ = head.method + " " + head.target + " HTTP/1.1\r\n";
    append_headers(out_, head.headers);
    if (!body.empty() || head.method == "POST" || head.method == "PUT" || head.method == "PATCH")
        out_ += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out_ += "\r\n";
    out_ += body;
    if (connected_)
        write_request();
    return call_;
}

void Channel::write_request() {
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                          // The reader sees the same break, after what had arrived before it.
                          if (!error)
                              self->written_ = true;
                      });
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
                                self->take({self->in_.data(), bytes});
                                self->read_more();
                            });
}

void Channel::resume() {
    paused_ = false;
    read_more();
}

// Bytes while no call is under way belong to no answer: whatever follows them could not be told
// apart, so the connection goes.
void Channel::take(std::string_view bytes) {
    if (!active_) {
        close();
        return;
    }
    bytes_seen_ = true;
    const auto self = shared_from_this();
    while (!bytes.empty() && !closed_ && active_) {
        const auto parsed =
            http_parser_execute(&parser_, &parser_settings(), bytes.data(), bytes.size());
        if (closed_)
            return;
        bytes.remove_prefix(std::min(parsed, bytes.size()));
        const bool informational =
            message_complete_ && status_class(static_cast<int>(parser_.status_code)) == 1;
        if (informational) {
            message_complete_ = false;
            http_parser_pause(&parser_, 0);
            continue;
        }
        if (message_complete_) {
            keep_until_ =
                bytes.empty() ? BootClock::now() + kept_by_endpoint(head_) - KeepMargin : Time{};
            end(CallEnd::Complete);
            return;
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
            end(CallEnd::Malformed);
            return;
        }
    }
}

// An answer without a length ends with its connection, but only with a proper close: after a
// reset, part of it may be missing.
void Channel::on_read_error(asio::error_code error) {
    if (!active_) {
        close();
        return;
    }
    if (error == asio::error::eof && head_.status != 0) {
        http_parser_execute(&parser_, &parser_settings(), nullptr, 0);
        if (closed_)
            return;
        if (message_complete_) {
            keep_until_ = {};
            end(CallEnd::Complete);
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
    const auto pool = pool_.lock();
    if (how == CallEnd::Complete && reusable() && pool)
        pool->keep(self);
    else
        close();
    if (events.on_end)
        events.on_end(how, bytes_seen_);
}

// A connection may serve the next call already when the last one is cancelled.
void Channel::cancel(std::uint64_t call) {
    if (call != call_ || !std::exchange(active_, false))
        return;
    // Released from the loop: this may run within one of the call's own events.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->events_ = {}; });
    close();
}

void Channel::close() {
    if (std::exchange(closed_, true))
        return;
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    if (const auto pool = pool_.lock())
        pool->drop(shared_from_this());
}

ChannelPtr Pool::take_kept(const std::string& address) {
    const auto found = kept_.find(address);
    if (found == kept_.end())
        return nullptr;
    const Time now = BootClock::now();
    while (!found->second.empty()) {
        ChannelPtr channel = found->second.back();
        found->second.pop_back();
        if (channel->usable(now))
            return channel;
        channel->close();
    }
    return nullptr;
}

std::unique_ptr<HttpCallHandle> Pool::start(const std::string& address, const HttpRequestHead& head,
                                            const std::string& body, ChannelOptions options,
                                            CallEvents events) {
    ChannelPtr channel = options.fresh ? nullptr : take_kept(address);
    const bool kept = channel != nullptr;
    if (!kept) {
        channel = std::make_shared<Channel>(io_, weak_from_this(), address);
        ++opened_;
    }
    const std::uint64_t call = channel->begin(head, body, std::move(events));
    if (!kept)
        channel->connect(options.connect_timeout);
    return std::make_unique<Handle>(channel, call);
}

void Pool::keep(const ChannelPtr& channel) {
    auto& channels = kept_[channel->address()];
    channels.push_back(channel);
    if (channels.size() <= MaxKeptPerAddress)
        return;
    const ChannelPtr oldest = channels.front();
    channels.pop_front();
    oldest->close();
}

void Pool::drop(const ChannelPtr& channel) {
    const auto found = kept_.find(channel->address());
    if (found != kept_.end())
        std::erase(found->second, channel);
}

void Pool::forget(const std::string& address) {
    const auto found = kept_.find(address);
    if (found == kept_.end())
        return;
    const auto channels = std::move(found->second);
    kept_.erase(found);
    for (const ChannelPtr& channel : channels)
        channel->close();
}

void Pool::forget_all() {
    for (const auto& [address, channels] : std::exchange(kept_, {}))
        for (const ChannelPtr& channel : channels)
            channel->close();
}

// Channels outlive their calls' owner by a turn of the loop, so they only know the pool weakly.
class SharedPool final : public HttpChannelPool {
  public:
    explicit SharedPool(asio::io_context& io) : pool_(std::make_shared<Pool>(io)) {}
    ~SharedPool() override { pool_->forget_all(); }
    SharedPool(const SharedPool&) = delete;
    SharedPool& operator=(const SharedPool&) = delete;

    std::unique_ptr<HttpCallHandle> start(const std::string& address, const HttpRequestHead& head,
                                          const std::string& body, ChannelOptions options,
                                          CallEvents events) override {
        return pool_->start(address, head, body, options, std::move(events));
    }
    void forget(const std::string& address) override { pool_->forget(address); }
    std::uint64_t opened() const override { return pool_->opened(); }

  private:
    std::shared_ptr<Pool> pool_;
};

} // namespace

std::unique_ptr<HttpChannelPool> make_channel_pool(asio::io_context& io) {
    return std::make_unique<SharedPool>(io);
}

} // namespace liftweir
