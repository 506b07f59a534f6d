// Which leave of an endpoint is known.

#include "version/departures.h"

namespace liftweir {

namespace {

// Four times the endpoints of the largest site, all leaving within a minute. A report is at most a
// few KiB, so a snapshot with all of them still fits into one message.
constexpr std::size_t MaxDepartures = 4096;

} // namespace

// An endpoint that is gone never returns. One that drains may report that it serves again, and then
// that it drains once more.
bool Departures::cover(const EndpointReport& report) const {
    const auto found = all.find(report.id);
    if (found == all.end())
        return false;
    const EndpointReport& known = found->second.report;
    return known.phase == EndpointPhase::Gone ||
           (report.phase == EndpointPhase::Draining && known.sequence >= report.sequence);
}

bool Departures::add(Version at, const EndpointReport& report) {
    if (cover(report))
        return true;
    if (!contains(report.id) && all.size() >= MaxDepartures)
        return false;
    all[report.id] = {at, report};
    return true;
}

} // namespace liftweir
