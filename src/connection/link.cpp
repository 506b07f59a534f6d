// Handshake, framing and reconnection of the links between the system's own processes.

#include "connection/link.h"

#include "connection/codec.h"

#include <algorithm>
#include <cstring>
#include <netinet/tcp.h>
#include <random>

namespace liftweir {

namespace {

// Incremented when a message changes in a way that an older reader can not skip.
constexpr std::uint32_t ProtocolVersion = 2;
constexpr std::string_view Magic = "liftweir";

constexpr std::uint32_t MaxHandshakeBytes = 1024;
// A link is closed once its peer, by not reading, has caused more than this to be queued. Senders
// of large messages bound what they queue; a control host with 256 MB of memory can hold this much
// for several links.
constexpr std::size_t MaxQueuedBytes = 16u << 20;
constexpr std::size_t MaxReadBytes = 64 * 1024;
constexpr Duration HandshakeTimeout = std::chrono::seconds(3);
// The kernel retransmits a lost SYN only after a second; a new connect attempt is faster. The
// timeout is three times the longest round trip between two regions.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
// A host that is up answers a connect within one round trip. An attempt that has taken longer was
// started before the host was up.
constexpr Duration HealthyConnectTime = std::chrono::milliseconds(100);
// Leaves time for several retransmissions between zones, and is well below the time within which a
// network partition must be detected.
constexpr Duration UnacknowledgedTimeout = std::chrono::milliseconds(2500);
// TCP_USER_TIMEOUT covers only unacknowledged data. A link on which an answer is outstanding and no
// byte arrives is closed after the same time: a settings lease of 4.1 s outlasts a lost request,
// this timeout and the first requests on a new link.
constexpr Duration AnswerTimeout = UnacknowledgedTimeout;
// Bytes that arrive while an answer is outstanding may precede it in the peer's send queue; copies
// of 1 MB at 640 KB/s take a fifth of this time. A single message that takes longer is waited for.
constexpr Duration MaxAnswerDelay = std::chrono::seconds(10);
constexpr Duration MinReconnectDelay = std::chrono::milliseconds(50);
// After a loss of power the control hosts restart within half a second of each other; a longer
// delay would make up most of the time until they have elected a leader.
constexpr Duration MaxReconnectDelay = std::chrono::milliseconds(400);

struct HelloFrame {
    std::string magic;
    std::uint32_t protocol = 0;
    std::string nonce;
    Identity identity;
    MSGPACK_DEFINE(magic, protocol, nonce, identity)
};

struct ProofFrame {
    std::string mac;
    MSGPACK_DEFINE(mac)
};

Duration jittered(Duration delay) {
    thread_local std::minstd_rand random(std::random_device{}());
    std::uniform_int_distribution<Duration::rep> pick(delay.count() / 2, delay.count());
    return Duration(pick(random));
}

std::string describe(const Identity& identity) {
    return std::to_string(static_cast<int>(identity.role)) + "|" + identity.name + "|" +
           std::to_string(identity.incarnation);
}

} // namespace

LinkCounters& link_counters() {
    static LinkCounters counters;
    return counters;
}

void set_user_timeout(asio::ip::tcp::socket& socket, Duration timeout) {
    const auto millis = static_cast<unsigned>(to_millis(timeout));
    // Best effort: if the system lacks the option, the owner's own timeouts still apply.
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis,
                       sizeof millis);
}

Expected<asio::ip::tcp::endpoint> parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return fail(FailureKind::BadSettings, "'" + address + "' is not ip:port");
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    const int port = std::atoi(address.c_str() + colon + 1);
    if (error || port < 0 || port > 65535 || address.size() == colon + 1)
        return fail(FailureKind::BadSettings, "'" + address + "' is not ip:port");
    return asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

Link::Link(asio::ip::tcp::socket socket, const Identity& self, const ClusterKeys& keys, bool dialed)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      self_(self),
      keys_(keys),
      dialed_(dialed),
      nonce_(random_bytes(NonceBytes)) {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    set_user_timeout(socket_, UnacknowledgedTimeout);
}

void Link::start(OnUp on_up, OnMessage on_message, OnDown on_down) {
    on_up_ = std::move(on_up);
    on_message_ = std::move(on_message);
    on_down_ = std::move(on_down);
    arm_handshake_timer();
    send_frame(encode_struct(HelloFrame{std::string(Magic), ProtocolVersion, nonce_, self_}));
    read_more();
}

void Link::arm_handshake_timer() {
    timer_.expires_after(HandshakeTimeout);
    timer_.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error && !self->up_)
            self->refuse();
    });
}

EncodedMessage::EncodedMessage(const WireMessage& message)
    : kind_(message.index()), body_(encode(message)) {}

void Link::send(const WireMessage& message) {
    if (!closed_)
        send(EncodedMessage(message));
}

void Link::send(const EncodedMessage& message) {
    if (closed_)
        return;
    link_counters().messages_out.fetch_add(1, std::memory_order_relaxed);
    link_counters().sent[message.kind()].fetch_add(message.body().size(),
                                                   std::memory_order_relaxed);
    send_frame(message.body());
}

// Updates the number of queued bytes of this link and of all links.
void Link::update_queued() {
    const std::size_t queued = closed_ ? 0 : pending_.size() + writing_.size();
    link_counters().queued.fetch_add(queued - queued_bytes_, std::memory_order_relaxed);
    queued_bytes_ = queued;
}

void Link::send_frame(const std::string& body) {
    if (queued_bytes_ > MaxQueuedBytes) {
        close();
        return;
    }
    const auto length = static_cast<std::uint32_t>(body.size());
    char header[sizeof length];
    std::memcpy(header, &length, sizeof length);
    pending_.append(header, sizeof header);
    pending_ += body;
    update_queued();
    // Writes once per iteration of the event loop, so that messages that are sent in one iteration
    // share a packet.
    if (!write_active_) {
        write_active_ = true;
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->write_next(); });
    }
}

void Link::write_next() {
    if (closed_ || pending_.empty()) {
        write_active_ = false;
        return;
    }
    writing_.clear();
    writing_.swap(pending_);
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](asio::error_code error, std::size_t bytes) {
                          link_counters().bytes_out.fetch_add(bytes, std::memory_order_relaxed);
                          if (error) {
                              self->close();
                              return;
                          }
                          self->writing_.clear();
                          // Releases the memory of a large message; otherwise every link would
                          // keep a buffer of that size.
                          if (self->writing_.capacity() > MaxReadBytes)
                              self->writing_.shrink_to_fit();
                          self->update_queued();
                          self->write_next();
                      });
}

// Reads the available bytes and processes all complete frames. Most links are idle, and a control
// host has one for each agent, so the buffer is small and grows only on links that fill it.
void Link::read_more() {
    const std::size_t had = in_.size();
    in_.resize(had + read_size_);
    socket_.async_read_some(
        asio::buffer(in_.data() + had, read_size_),
        [self = shared_from_this(), had](asio::error_code error, std::size_t bytes) {
            if (error || self->closed_) {
                self->close();
                return;
            }
            self->in_.resize(had + bytes);
            self->last_received_ = BootClock::now();
            link_counters().bytes_in.fetch_add(bytes, std::memory_order_relaxed);
            if (bytes == self->read_size_)
                self->read_size_ = std::min(2 * bytes, MaxReadBytes);
            self->process_frames();
        });
}

void Link::process_frames() {
    std::size_t at = 0;
    while (!closed_) {
        std::uint32_t length = 0;
        if (in_.size() - at < sizeof length)
            break;
        std::memcpy(&length, in_.data() + at, sizeof length);
        if (length > (up_ ? MaxMessageBytes : MaxHandshakeBytes)) {
            refuse();
            return;
        }
        if (in_.size() - at - sizeof length < length)
            break;
        on_frame(std::string_view(in_).substr(at + sizeof length, length));
        at += sizeof length + length;
    }
    if (closed_)
        return;
    in_.erase(0, at);
    within_message_ = !in_.empty();
    if (in_.empty() && read_size_ > MinReadBytes && in_.capacity() > MaxReadBytes) {
        in_.shrink_to_fit();
        read_size_ = MinReadBytes;
    }
    read_more();
}

void Link::on_frame(std::string_view body) {
    if (!hello_received_) {
        on_hello(body);
    } else if (!up_) {
        on_proof(body);
    } else if (auto message = decode<WireMessage>(body)) {
        link_counters().messages_in.fetch_add(1, std::memory_order_relaxed);
        on_message_(shared_from_this(), std::move(*message));
    } else {
        refuse();
    }
}

// The direction is part of the signed text, so that a proof can not be reflected to its sender.
std::string Link::proof_text(bool of_dialer) const {
    const bool own = of_dialer == dialed_;
    return std::string(of_dialer ? "dialer|" : "acceptor|") + describe(own ? self_ : peer_) + "|" +
           (own ? nonce_ : peer_nonce_) + (own ? peer_nonce_ : nonce_);
}

void Link::on_hello(std::string_view body) {
    const auto hello = decode_struct<HelloFrame>(body);
    if (!hello || hello->magic != Magic || hello->protocol != ProtocolVersion ||
        hello->nonce.size() != NonceBytes) {
        refuse();
        return;
    }
    hello_received_ = true;
    peer_ = hello->identity;
    peer_nonce_ = hello->nonce;
    send_frame(encode_struct(ProofFrame{keys_.sign(proof_text(dialed_))}));
}

void Link::on_proof(std::string_view body) {
    const auto proof = decode_struct<ProofFrame>(body);
    if (!proof || proof->mac.size() != MacBytes ||
        !keys_.verify(proof_text(!dialed_), proof->mac)) {
        refuse();
        return;
    }
    up_ = true;
    timer_.cancel();
    on_up_(shared_from_this());
}

void Link::refuse() {
    link_counters().refused.fetch_add(1, std::memory_order_relaxed);
    close();
}

void Link::close() {
    if (std::exchange(closed_, true))
        return;
    up_ = false;
    update_queued();
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    // Notifies the owner from the event loop, since it may be in the middle of a call to this link.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        const auto on_down = std::exchange(self->on_down_, nullptr);
        self->on_up_ = nullptr;
        self->on_message_ = nullptr;
        if (on_down)
            on_down(self);
    });
}

LinkListener::LinkListener(asio::io_context& io, const std::string& address, const Identity& self,
                           const ClusterKeys& keys)
    : acceptor_(io, parse_address(address).value()), self_(self), keys_(keys) {}

void LinkListener::start(Link::OnUp on_up, Link::OnMessage on_message, Link::OnDown on_down) {
    on_up_ = std::move(on_up);
    on_message_ = std::move(on_message);
    on_down_ = std::move(on_down);
    accept();
}

void LinkListener::stop() {
    asio::error_code ignored;
    acceptor_.close(ignored);
}

void LinkListener::accept() {
    acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open())
            return;
        if (!error)
            // cppcheck-suppress accessMoved
            std::make_shared<Link>(std::move(socket), self_, keys_, false)
                ->start(on_up_, on_message_, on_down_);
        accept();
    });
}

Dialer::Dialer(asio::io_context& io, std::string address, const Identity& self,
               const ClusterKeys& keys)
    : io_(io),
      address_(std::move(address)),
      self_(self),
      keys_(keys),
      timer_(io),
      reconnect_delay_(MinReconnectDelay),
      alive_(std::make_shared<bool>(true)) {}

Dialer::~Dialer() {
    *alive_ = false;
    if (connecting_)
        connecting_->close();
    if (link_)
        link_->close();
}

void Dialer::start(Link::OnUp on_up, Link::OnMessage on_message, Link::OnDown on_down) {
    on_up_ = std::move(on_up);
    on_message_ = std::move(on_message);
    on_down_ = std::move(on_down);
    dial();
}

bool Dialer::send(const WireMessage& message) {
    return up() && send(EncodedMessage(message));
}

bool Dialer::send(const EncodedMessage& message) {
    if (!up())
        return false;
    link_->send(message);
    return true;
}

void Dialer::dial() {
    const auto endpoint = parse_address(address_);
    if (!endpoint)
        return;
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    connecting_ = socket;
    connecting_since_ = BootClock::now();
    timer_.expires_after(ConnectTimeout);
    timer_.async_wait([alive = alive_, socket](asio::error_code error) {
        if (!error && *alive)
            socket->close();
    });
    socket->async_connect(*endpoint, [this, alive = alive_, socket](asio::error_code error) {
        if (!*alive)
            return;
        connecting_.reset();
        timer_.cancel();
        if (error)
            connect_failed();
        else
            connected(std::move(*socket));
    });
}

void Dialer::connect_failed() {
    if (std::exchange(retry_at_once_, false))
        dial();
    else
        dial_later();
}

void Dialer::connected(asio::ip::tcp::socket socket) {
    retry_at_once_ = false;
    awaiting_since_.reset();
    link_ = std::make_shared<Link>(std::move(socket), self_, keys_, true);
    link_->start(
        [this, alive = alive_](const Link::Ptr& link) {
            if (!*alive)
                return;
            reconnect_delay_ = MinReconnectDelay;
            on_up_(link);
        },
        [this, alive = alive_](const Link::Ptr& link, WireMessage&& message) {
            if (*alive)
                on_message_(link, std::move(message));
        },
        [this, alive = alive_](const Link::Ptr& link) {
            if (!*alive)
                return;
            link_.reset();
            on_down_(link);
            dial_later();
        });
}

// The jitter keeps hundreds of agents from connecting to a restarted control host at the same time.
void Dialer::dial_later() {
    timer_.expires_after(jittered(reconnect_delay_));
    reconnect_delay_ = std::min(reconnect_delay_ * 2, MaxReconnectDelay);
    delayed_ = true;
    timer_.async_wait([this, alive = alive_](asio::error_code error) {
        if (error || !*alive)
            return;
        delayed_ = false;
        dial();
    });
}

void Dialer::expect_reply(Time now) {
    if (up() && !awaiting_since_)
        awaiting_since_ = now;
}

bool Dialer::answer_timed_out(Time now) const {
    if (!up() || !awaiting_since_)
        return false;
    if (now - std::max(*awaiting_since_, link_->last_received()) > AnswerTimeout)
        return true;
    return now - *awaiting_since_ > MaxAnswerDelay && !link_->within_message();
}

void Dialer::close_if_unresponsive(Time now) {
    if (answer_timed_out(now))
        link_->close();
}

void Dialer::retry_now() {
    if (connecting_ && BootClock::now() - connecting_since_ > HealthyConnectTime) {
        retry_at_once_ = true;
        connecting_->close();
        return;
    }
    if (!std::exchange(delayed_, false))
        return;
    reconnect_delay_ = MinReconnectDelay;
    timer_.cancel();
    dial();
}

} // namespace liftweir
