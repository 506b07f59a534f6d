// Authenticated TCP connections between the system's own processes: the listener, the dialer that
// reconnects, and the connection itself.

#ifndef LINK_H_INCLUDED
#define LINK_H_INCLUDED

#include "connection/secret.h"
#include "connection/wire.h"
#include "process/clock.h"

#include <asio.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace liftweir {

enum class ProcessRole : std::uint8_t { Control, Entry, Agent };

// Identity of a process, which it sends in the handshake.
struct Identity {
    ProcessRole role = ProcessRole::Agent;
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Identity&) const = default;
    MSGPACK_DEFINE(role, name, incarnation)
};

// Counters for the metrics of control traffic and of queued bytes.
struct LinkCounters {
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> bytes_out{0};
    std::atomic<std::uint64_t> messages_in{0};
    std::atomic<std::uint64_t> messages_out{0};
    std::atomic<std::uint64_t> refused{0}; // failed handshakes and undecodable frames
    std::atomic<std::uint64_t> queued{0};  // bytes in the send queues of all links
    std::array<std::atomic<std::uint64_t>, MessageNames.size()> sent{}; // bytes by kind of message
};

LinkCounters& link_counters();

// A message that is encoded once and sent over any number of links.
class EncodedMessage {
  public:
    explicit EncodedMessage(const WireMessage& message);

    std::size_t kind() const { return kind_; } // index of the alternative in WireMessage
    const std::string& body() const { return body_; }

  private:
    std::size_t kind_;
    std::string body_;
};

// One authenticated TCP connection that carries length-prefixed messages in both directions, used
// on one io_context thread. Before any message is accepted, each side proves knowledge of a cluster
// key with a MAC over the other side's nonce.
class Link : public std::enable_shared_from_this<Link> {
  public:
    using Ptr = std::shared_ptr<Link>;
    using OnUp = std::function<void(const Ptr&)>;
    using OnMessage = std::function<void(const Ptr&, WireMessage&&)>;
    using OnDown = std::function<void(const Ptr&)>;

    Link(asio::ip::tcp::socket socket, const Identity& self, const ClusterKeys& keys, bool dialed);

    void start(OnUp on_up, OnMessage on_message, OnDown on_down);
    void send(const WireMessage& message);
    void send(const EncodedMessage& message);
    void close();

    bool up() const { return up_; }
    const Identity& peer() const { return peer_; }
    // Time at which bytes were last received.
    Time last_received() const { return last_received_; }
    // True while only a part of the next message has been received.
    bool within_message() const { return within_message_; }
    std::size_t queued_bytes() const { return queued_bytes_; }
    // True if the send queue is so long that data which the peer can request again should not be
    // sent yet.
    bool backed_up() const { return queued_bytes_ > BackedUpBytes; }

  private:
    static constexpr std::size_t MinReadBytes = 2048;
    // Takes a fifth of a second on a link of 40 Mbit/s.
    static constexpr std::size_t BackedUpBytes = 1u << 20;

    void send_frame(const std::string& body);
    void update_queued();
    void write_next();
    void read_more();
    void process_frames();
    void on_frame(std::string_view body);
    void on_hello(std::string_view body);
    void on_proof(std::string_view body);
    std::string proof_text(bool of_dialer) const;
    void arm_handshake_timer();
    void refuse();

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    const Identity& self_;
    const ClusterKeys& keys_;
    const bool dialed_;
    std::string nonce_;
    std::string peer_nonce_;
    Identity peer_;
    bool hello_received_ = false;
    bool up_ = false;
    bool closed_ = false;
    OnUp on_up_;
    OnMessage on_message_;
    OnDown on_down_;
    std::string in_;
    std::size_t read_size_ = MinReadBytes;
    Time last_received_ = BootClock::now();
    bool within_message_ = false;
    std::string writing_;
    std::string pending_;
    bool write_active_ = false;
    std::size_t queued_bytes_ = 0;
};

// Accepts links on one address.
class LinkListener {
  public:
    LinkListener(asio::io_context& io, const std::string& address, const Identity& self,
                 const ClusterKeys& keys);
    void start(Link::OnUp on_up, Link::OnMessage on_message, Link::OnDown on_down);
    void stop();

  private:
    void accept();

    asio::ip::tcp::acceptor acceptor_;
    const Identity& self_;
    const ClusterKeys& keys_;
    Link::OnUp on_up_;
    Link::OnMessage on_message_;
    Link::OnDown on_down_;
};

// Maintains one link to an address and reconnects after an exponential delay with jitter.
class Dialer {
  public:
    Dialer(asio::io_context& io, std::string address, const Identity& self,
           const ClusterKeys& keys);
    ~Dialer();
    Dialer(const Dialer&) = delete;
    Dialer& operator=(const Dialer&) = delete;

    void start(Link::OnUp on_up, Link::OnMessage on_message, Link::OnDown on_down);
    bool up() const { return link_ && link_->up(); }
    // Returns false if no link is up: the message was not sent and never will be.
    bool send(const WireMessage& message);
    bool send(const EncodedMessage& message);
    // Bytes in the send queue.
    std::size_t queued_bytes() const { return link_ ? link_->queued_bytes() : 0; }
    bool backed_up() const { return link_ && link_->backed_up(); }
    const std::string& address() const { return address_; }
    // Called when the peer is known to be reachable. Connects at once if the next attempt is still
    // delayed, or if the current attempt has had no response for longer than a healthy one takes.
    void retry_now();
    // The caller has sent a message that the peer has to answer. Starts the answer timeout unless
    // it already runs.
    void expect_reply(Time now);
    void answered() { awaiting_since_.reset(); }
    // Closes the link, to reconnect, if an answer has been outstanding for too long.
    void close_if_unresponsive(Time now);

  private:
    bool answer_timed_out(Time now) const;
    void dial();
    void dial_later();
    void connect_failed();
    void connected(asio::ip::tcp::socket socket);

    asio::io_context& io_;
    std::string address_;
    const Identity& self_;
    const ClusterKeys& keys_;
    asio::steady_timer timer_;
    Duration reconnect_delay_;
    Link::Ptr link_;
    std::shared_ptr<bool> alive_;
    std::shared_ptr<asio::ip::tcp::socket> connecting_;
    Time connecting_since_{};
    std::optional<Time> awaiting_since_; // an answer is outstanding on the current link
    bool retry_at_once_ = false;         // the current attempt was aborted in favour of a new one
    bool delayed_ = false;               // waiting for the next attempt
    Link::OnUp on_up_;
    Link::OnMessage on_message_;
    Link::OnDown on_down_;
};

// Sets TCP_USER_TIMEOUT: the kernel closes the connection if sent data stays unacknowledged for
// this long. A host that has lost power or is partitioned sends no reset, and without the timeout,
// writes to it would succeed for minutes.
void set_user_timeout(asio::ip::tcp::socket& socket, Duration timeout);

// Splits "ip:port". Fails with BadSettings.
Expected<asio::ip::tcp::endpoint> parse_address(const std::string& address);

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::ProcessRole)

#endif // LINK_H_INCLUDED
