// Admission check of a serving group: whether its lead may forward requests to the engine.
// Runs in liftweir-agent.

#ifndef GATE_H_INCLUDED
#define GATE_H_INCLUDED

#include "connection/wire.h"
#include "process/clock.h"

#include <map>
#include <string>
#include <vector>

namespace liftweir {

struct DuePing {
    std::string address;
    Ping ping;
};

// State of one member in one group. The lead's gate is open only while every other member has
// replied to a ping that was sent less than the echo timeout ago. All times are from the lead's
// clock, so clocks of different hosts are never compared.
class Gate {
  public:
    Gate(Assignment assignment, HostName self, Incarnation incarnation, Time now);

    bool leads() const;
    const Assignment& assignment() const { return assignment_; }
    void set_draining(bool draining) { assignment_.draining = draining; }
    // This host's engine has loaded the model and holds the group's epoch.
    void set_engine_ready(bool ready) { engine_ready_ = ready; }
    bool engine_ready() const { return engine_ready_; }

    // Pings to send now; none on a member that is not the lead.
    std::vector<DuePing> due_pings(Time now);
    void on_ping_reply(const PingReply& reply, Time now);
    // The reply to send back; nullopt if the engine is not ready, or if the ping is for another
    // epoch or incarnation.
    std::optional<PingReply> answer(const Ping& ping) const;

    // Whether requests may be forwarded to the engine now.
    bool open(Time now) const;
    // Members without a recent reply.
    std::vector<HostName> missing(Time now) const;

  private:
    struct Peer {
        Member member;
        std::map<std::uint64_t, Time> sent; // send times of pings without a reply
        Time newest_replied{};              // send time of the newest ping with a reply
    };

    Duration timeout() const;
    bool fresh(const Peer& peer, Time now) const;

    Assignment assignment_;
    HostName self_;
    Incarnation incarnation_;
    Time opens_at_;
    bool engine_ready_ = false;
    std::uint64_t next_ping_ = 1;
    Time ping_due_{};
    std::vector<Peer> peers_;
};

} // namespace liftweir

#endif // GATE_H_INCLUDED
