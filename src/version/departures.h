// The endpoints that leave, as the replicated log holds them.

#ifndef DEPARTURES_H_INCLUDED
#define DEPARTURES_H_INCLUDED

#include "version/endpointreport.h"
#include "version/settings.h"

#include <compare>
#include <cstdint>
#include <map>
#include <msgpack.hpp>

namespace liftweir {

// Tells one leave of an endpoint from another.
struct LeaveId {
    EndpointId endpoint;
    EndpointPhase phase = EndpointPhase::Gone;
    std::uint64_t sequence = 0; // of the report
    auto operator<=>(const LeaveId&) const = default;
    MSGPACK_DEFINE(endpoint, phase, sequence)
};

inline LeaveId leave_of(const EndpointReport& report) {
    return {report.id, report.phase, report.sequence};
}

// The last report of an endpoint that leaves, with the index of the log entry that recorded it.
struct Departure {
    Version index = 0;
    EndpointReport report; // draining or gone
    auto operator<=>(const Departure&) const = default;
    MSGPACK_DEFINE(index, report)
};

// The endpoints whose leave was acknowledged and that may still serve or send reports.
struct Departures {
    Version index = 0; // of the log entry that last changed them
    std::map<EndpointId, Departure> all;
    Version forgotten = 0; // index of the log entry that last removed some
    auto operator<=>(const Departures&) const = default;
    MSGPACK_DEFINE(index, all, forgotten)

    bool contains(const EndpointId& id) const { return all.contains(id); }
    // Whether it is known that the endpoint left with this report or with a later one.
    bool cover(const EndpointReport& report) const;
    // Returns false where there are too many to take another endpoint, whose leave must then not be
    // acknowledged.
    bool add(Version at, const EndpointReport& report);
};

} // namespace liftweir

#endif // DEPARTURES_H_INCLUDED
