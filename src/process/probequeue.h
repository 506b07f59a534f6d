// The queue of probes of endpoints. Used by liftweir-site-control.

#ifndef PROBEQUEUE_H_INCLUDED
#define PROBEQUEUE_H_INCLUDED

#include "process/groupcontroller.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace liftweir {

// Limits how many probes are in flight. A probe times out soon after it is handed to the network;
// among thousands its answer would wait in this process for longer than that, and a live endpoint
// would be taken for a lost one. Pure: no I/O, no clock.
class ProbeQueue {
  public:
    using Probe = GroupController::Probe;

    void add(Probe probe) { waiting_.push_back(std::move(probe)); }
    // The next probe to send, or nothing if enough are in flight. Call ended() once it is done.
    std::optional<Probe> next() {
        if (in_flight_ >= MaxInFlight || waiting_.empty())
            return std::nullopt;
        ++in_flight_;
        Probe probe = std::move(waiting_.front());
        waiting_.pop_front();
        return probe;
    }
    void ended() { --in_flight_; }
    std::size_t waiting() const { return waiting_.size(); }
    std::size_t in_flight() const { return in_flight_; }

    static constexpr std::size_t MaxInFlight = 64;

  private:
    std::deque<Probe> waiting_;
    std::size_t in_flight_ = 0;
};

} // namespace liftweir

#endif // PROBEQUEUE_H_INCLUDED
