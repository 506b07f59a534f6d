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

// A member's part in one group. On the lead it decides whether the group may serve: only while
// every other member has echoed a ping that was sent less than the echo timeout ago. All times
// are the lead's own, so no clocks are compared.
class Gate {
  public:
    Gate(Assignment assignment, HostName self, Incarnation incarnation, Time now);

    bool leads() const;
    const Assignment& assignment() const { return assignment_; }
    void set_draining(bool draining) { assignment_.draining = draining; }
    // The own engine has loaded the model and holds the group's epoch.
    void set_engine_ready(bool ready) { engine_ready_ = ready; }
    bool engine_ready() const { return engine_ready_; }

    // Pings to send now; empty on members that do not lead.
    std::vector<DuePing> due_pings(Time now);
    void on_ping_reply(const PingReply& echo, Time now);
    // The echo to send back, if this member holds its part.
    std::optional<PingReply> answer(const Ping& ping) const;

    // May work be forwarded to the engine now?
    bool open(Time now) const;
    std::vector<HostName> missing(Time now) const;

  private:
    struct Peer {
        Member member;
        std::map<std::uint64_t, Time> sent; // pings without an echo yet
        Time proved{};                      // newest sending time of an echoed ping
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
