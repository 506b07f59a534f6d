#ifndef PRECEDENCE_H_INCLUDED
#define PRECEDENCE_H_INCLUDED

#include "process/clock.h"

namespace liftweir {

// How far a caller's request has come.
struct CallProgress {
    bool begun = false;      // its caller has the first event
    Duration waited{};       // by the caller, from its first try
    Duration stood_still{};  // since the last event; of a stream that was begun
    Duration latency_goal{}; // for the first event; zero where none is set
    Duration pause_goal{};   // between two events; zero where none is set

    auto operator<=>(const CallProgress&) const = default;
};

// Whether a request will be late whatever is done, and so lets go first what may still be in time.
// Nothing is late without a goal.
bool is_bound_to_be_late(const CallProgress& call);

} // namespace liftweir

#endif // PRECEDENCE_H_INCLUDED
