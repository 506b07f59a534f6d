// Decides which requests get low priority at an endpoint (liftweir-site-entry).

#ifndef PRECEDENCE_H_INCLUDED
#define PRECEDENCE_H_INCLUDED

#include "process/clock.h"

namespace liftweir {

// Progress of a caller's request.
struct CallProgress {
    bool streaming = false;  // the caller has received the first event
    bool booked = false;     // the caller returns when it was told to, and was probably booked
    Duration waited{};       // since the caller's first attempt
    Duration stalled_for{};  // since the last event, if the stream has begun
    Duration latency_goal{}; // until the first event; zero if none is set
    Duration pause_goal{};   // between two events; zero if none is set

    auto operator<=>(const CallProgress&) const = default;
};

// Whether a request misses its goal in any case, so that requests that can still meet theirs take
// precedence. A request without a goal is never late.
bool is_bound_to_be_late(const CallProgress& call);

} // namespace liftweir

#endif // PRECEDENCE_H_INCLUDED
