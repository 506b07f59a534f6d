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

// Who a process is, as it says in the handshake.
struct Identity {
    ProcessRole role = ProcessRole::Agent;
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Identity&) const = default;
    MSGPACK_DEFINE(role, name, incarnation)
};

// Counts for the budget of control traffic, and for what waits to leave.
struct LinkCounters {
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> bytes_out{0};
    std::atomic<std::uint64_t> messages_in{0};
    std::atomic<std::uint64_t> messages_out{0};
    std::atomic<std::uint64_t> refused{0}; // failed handshakes and undecodable frames
    std::atomic<std::uint64_t> queued{0};  // bytes that wait in the send queues of all links
    std::array<std::atomic<std::uint64_t>, MessageNames.size()> sent{}; // bytes by kind of message
};

LinkCounters& link_counters();

// A message as it is on the wire, encoded once for all links that it is sent over.
class EncodedMessage {
  public:
    explicit EncodedMessage(const WireMessage& message);

    std::size_t kind() const { return kind_; } // place among the alternatives of WireMessage
    const std::string& body() const { return body_; }

  private:
    std::size_t kind_;
    std::string body_;
};

// One authenticated TCP connection that carries length-framed messages both ways. Lives on one
// io_context thread. Both sides prove knowledge of a cluster key over the other's nonce before
// any message is taken.
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
    // When bytes came last.
    Time heard() const { return heard_; }
    // A part of a message has come, and the rest not yet.
    bool within_message() const { return within_message_; }
    std::size_t queued_bytes() const { return queued_bytes_; }
    // So much waits already that copies of what can be asked for again had better wait, too.
    bool backed_up() const { return queued_bytes_ > BackedUpBytes; }

  private:
    static constexpr std::size_t SmallestRead = 2048;
    // A fifth of a second on a link of 40 Mbit/s.
    static constexpr std::size_t BackedUpBytes = 1u << 20;

    void send_frame(const std::string& body);
    void note_queued();
    void write_next();
    void read_more();
    void take_frames();
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
    bool greeted_ = false;
    bool up_ = false;
    bool closed_ = false;
    OnUp on_up_;
    OnMessage on_message_;
    OnDown on_down_;
    std::string in_;
    std::size_t read_size_ = SmallestRead;
    Time heard_ = BootClock::now();
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

// Keeps one link to an address, and dials again with growing, jittered pauses.
class Dialer {
  public:
    Dialer(asio::io_context& io, std::string address, const Identity& self,
           const ClusterKeys& keys);
    ~Dialer();
    Dialer(const Dialer&) = delete;
    Dialer& operator=(const Dialer&) = delete;

    void start(Link::OnUp on_up, Link::OnMessage on_message, Link::OnDown on_down);
    bool up() const { return link_ && link_->up(); }
    // False where no link is up: the message was not sent and never will be.
    bool send(const WireMessage& message);
    bool send(const EncodedMessage& message);
    // Bytes that wait to leave.
    std::size_t queued_bytes() const { return link_ ? link_->queued_bytes() : 0; }
    bool backed_up() const { return link_ && link_->backed_up(); }
    const std::string& address() const { return address_; }
    // The other side is known to be there: dials at once if it is waiting to, or if an attempt has
    // gone unanswered for longer than a sound one takes.
    void retry_now();
    // The other side owes an answer from now on, if it does not already.
    void expect_reply(Time now);
    void answered() { owed_since_.reset(); }
    // Ends the link, to dial anew, where an answer has been owed for too long.
    void close_if_unresponsive(Time now);

  private:
    bool silent(Time now) const;
    void dial();
    void dial_later();
    void connect_failed();
    void connected(asio::ip::tcp::socket socket);

    asio::io_context& io_;
    std::string address_;
    const Identity& self_;
    const ClusterKeys& keys_;
    asio::steady_timer timer_;
    Duration pause_;
    Link::Ptr link_;
    std::shared_ptr<bool> alive_;
    std::shared_ptr<asio::ip::tcp::socket> connecting_;
    Time connecting_since_{};
    std::optional<Time> owed_since_; // an answer, over the present link
    bool hurried_ = false;           // the attempt under way was given up for a new one
    bool resting_ = false;           // between two attempts
    Link::OnUp on_up_;
    Link::OnMessage on_message_;
    Link::OnDown on_down_;
};

// Ends a connection whose peer has acknowledged nothing for so long. A host without power, or
// behind a cut, sends no reset: without this, writes to it succeed for minutes.
void set_silence_limit(asio::ip::tcp::socket& socket, Duration limit);

// Splits "ip:port". Fails with BadSettings.
Expected<asio::ip::tcp::endpoint> parse_address(const std::string& address);

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::ProcessRole)

#endif // LINK_H_INCLUDED
