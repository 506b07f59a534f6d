// Pings between the members of a group and their timeouts; runs in liftweir-agent.

#include "process/gate.h"

#include <algorithm>

namespace liftweir {

namespace {

// With five pings per timeout, four lost in a row close the gate. Two or three lost datagrams on a
// poor link must not close it.
constexpr int PingsPerTimeout = 5;
// Upper bound for the drift between two clocks; clocks that drift by 200 ppm each stay far below
// it.
constexpr double DriftBound = 0.01;
constexpr std::size_t PendingPingsKept = 16;

} // namespace

// A member may come from a group whose lead has not closed its gate yet. The new group then opens
// one echo timeout after the assignment at the earliest. It need not wait where control knows that
// the old gates are closed.
Gate::Gate(Assignment assignment, HostName self, Incarnation incarnation, Time now)
    : assignment_(std::move(assignment)),
      self_(std::move(self)),
      incarnation_(incarnation),
      opens_at_(assignment_.waits_to_open
                    ? now + std::chrono::milliseconds(assignment_.echo_timeout_ms)
                    : now),
      ping_due_(now) {
    if (!leads())
        return;
    for (const Member& member : assignment_.members)
        if (member.host != self_)
            peers_.push_back({member, {}, {}});
}

bool Gate::leads() const {
    return !assignment_.members.empty() && assignment_.members.front().host == self_;
}

Duration Gate::timeout() const {
    const auto full_timeout = std::chrono::milliseconds(assignment_.echo_timeout_ms);
    return std::chrono::duration_cast<Duration>(full_timeout * (1 - DriftBound));
}

std::vector<DuePing> Gate::due_pings(Time now) {
    std::vector<DuePing> out;
    if (now < ping_due_)
        return out;
    ping_due_ = now + timeout() / PingsPerTimeout;
    for (Peer& peer : peers_) {
        const Ping ping{assignment_.epoch, next_ping_, incarnation_, peer.member.incarnation};
        peer.sent[next_ping_] = now;
        if (peer.sent.size() > PendingPingsKept)
            peer.sent.erase(peer.sent.begin());
        out.push_back({peer.member.ping_address, ping});
    }
    ++next_ping_;
    return out;
}

void Gate::on_ping_reply(const PingReply& reply, Time /*now*/) {
    if (reply.epoch != assignment_.epoch)
        return;
    for (Peer& peer : peers_) {
        if (peer.member.incarnation != reply.from)
            continue;
        const auto sent = peer.sent.find(reply.sequence);
        if (sent == peer.sent.end())
            return;
        peer.newest_replied = std::max(peer.newest_replied, sent->second);
        peer.sent.erase(peer.sent.begin(), std::next(sent));
    }
}

std::optional<PingReply> Gate::answer(const Ping& ping) const {
    if (ping.epoch != assignment_.epoch || ping.to != incarnation_ || !engine_ready_)
        return std::nullopt;
    return PingReply{ping.epoch, ping.sequence, incarnation_};
}

bool Gate::fresh(const Peer& peer, Time now) const {
    return peer.newest_replied != Time{} && now - peer.newest_replied < timeout();
}

bool Gate::open(Time now) const {
    return leads() && engine_ready_ && now >= opens_at_ &&
           std::all_of(peers_.begin(), peers_.end(),
                       [&](const Peer& peer) { return fresh(peer, now); });
}

std::vector<HostName> Gate::missing(Time now) const {
    std::vector<HostName> out;
    for (const Peer& peer : peers_)
        if (!fresh(peer, now))
            out.push_back(peer.member.host);
    return out;
}

} // namespace liftweir
