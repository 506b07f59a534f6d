// Selects the changes of endpoints for peers and for entry hosts.

#include "process/changefeed.h"

namespace liftweir {

// An endpoint that leaves is announced even if this host has never known it as routable: entry
// hosts may have learnt that from another control host.
void ChangeFeed::add_reported(const EndpointReport& report, bool was_routable) {
    for_peers_.push_back(report);
    if (report.routable() || was_routable || report.phase != EndpointPhase::Serving)
        for_entries_.push_back(report);
    if (report.routable())
        announced_.insert(report.id);
    else
        announced_.erase(report.id);
}

// The host that received the report tells entry hosts. One that told them that the endpoint is
// routable withdraws that too, since the other may not have known it.
bool ChangeFeed::add_forwarded(const EndpointReport& report) {
    if (report.routable() || announced_.erase(report.id) == 0)
        return false;
    for_entries_.push_back(report);
    return true;
}

void ChangeFeed::add_for_all(const EndpointReport& report) {
    if (report.routable())
        announced_.insert(report.id);
    else
        announced_.erase(report.id);
    for_peers_.push_back(report);
    for_entries_.push_back(report);
}

} // namespace liftweir
