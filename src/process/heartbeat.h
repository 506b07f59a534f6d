// Times that follow from the interval between an endpoint's heartbeats. Used by the programs of
// deployments whose endpoints register themselves.

#ifndef HEARTBEAT_H_INCLUDED
#define HEARTBEAT_H_INCLUDED

#include "process/clock.h"

#include <compare>

namespace liftweir {

// How late an endpoint's report may arrive.
constexpr Duration HeartbeatSlack = std::chrono::milliseconds(400);

struct HeartbeatTimes {
    Duration interval = std::chrono::milliseconds(1200);

    auto operator<=>(const HeartbeatTimes&) const = default;

    // Every live endpoint has sent a report within this time, even if one report was lost.
    Duration all_reported() const { return 2 * interval + interval / 2; }
    // An endpoint without a report for this long has missed two.
    Duration two_missed() const { return 2 * interval + HeartbeatSlack; }
    // An endpoint whose reports span this time sends them now. Late reports of a dead one arrive
    // all at once.
    Duration keeps_reporting() const { return interval * 5 / 6; }
    // An endpoint that has not reported for this long sends no more reports.
    Duration stopped() const { return 4 * interval + HeartbeatSlack / 2; }
};

} // namespace liftweir

#endif // HEARTBEAT_H_INCLUDED
