#include "process/gate.h"

#include <algorithm>

namespace liftweir {

namespace {

// Five pings within one timeout: four lost in a row close the gate, which two or three lost
// datagrams on a poor link must not do.
constexpr int PingsPerTimeout = 5;
// Two clocks that drift by 200 ppm each stay far inside one part in a hundred.
constexpr double DriftBound = 0.01;
constexpr std::size_t OpenPingsKept = 16;

} // namespace

// A new group opens no earlier than one echo timeout after its members were free, if the lead of a
// group that one of them left may not have closed its gate yet. Where control knows that it has,
// nothing is waited for.
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
    const auto whole = std::chrono::milliseconds(assignment_.echo_timeout_ms);
    return std::chrono::duration_cast<Duration>(whole * (1 - DriftBound));
}

std::vector<DuePing> Gate::due_pings(Time now) {
    std::vector<DuePing> out;
    if (now < ping_due_)
        return out;
    ping_due_ = now + timeout() / PingsPerTimeout;
    for (Peer& peer : peers_) {
        const Ping ping{assignment_.epoch, next_ping_, incarnation_, peer.member.incarnation};
        peer.sent[next_ping_] = now;
        if (peer.sent.size() > OpenPingsKept)
            peer.sent.erase(peer.sent.begin());
        out.push_back({peer.member.ping_address, ping});
    }
    ++next_ping_;
    return out;
}

void Gate::on_ping_reply(const PingReply& echo, Time /*now*/) {
    if (echo.epoch != assignment_.epoch)
        return;
    for (Peer& peer : peers_) {
        if (peer.member.incarnation != echo.from)
            continue;
        const auto sent = peer.sent.find(echo.sequence);
        if (sent == peer.sent.end())
            return;
        peer.proved = std::max(peer.proved, sent->second);
        peer.sent.erase(peer.sent.begin(), std::next(sent));
    }
}

std::optional<PingReply> Gate::answer(const Ping& ping) const {
    if (ping.epoch != assignment_.epoch || ping.to != incarnation_ || !engine_ready_)
        return std::nullopt;
    return PingReply{ping.epoch, ping.sequence, incarnation_};
}

bool Gate::fresh(const Peer& peer, Time now) const {
    return peer.proved != Time{} && now - peer.proved < timeout();
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
