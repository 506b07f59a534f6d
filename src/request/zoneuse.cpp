// Merges the zones out of use that control hosts report.

#include "request/zoneuse.h"

#include <algorithm>

namespace liftweir {

// A zone returns with a delay: its endpoints may have turned cold meanwhile, and by the next
// heartbeat of each of them this host knows which ones have.
bool ZoneUse::take(const ZonesOutOfUse& zones, Version document, Time now) {
    if (zones.index == current_.index)
        document_ = std::min(document_, document);
    if (zones.index <= current_.index)
        return false;
    document_ = document;
    for (const std::string& zone : current_.zones)
        if (!zones.zones.contains(zone))
            returning_[zone] = now + return_delay_;
    std::erase_if(returning_, [&](const auto& item) {
        return item.second <= now || zones.zones.contains(item.first);
    });
    current_ = zones;
    return true;
}

bool ZoneUse::excludes(const std::string& zone, Time now) const {
    if (current_.zones.contains(zone))
        return true;
    const auto returning = returning_.find(zone);
    return returning != returning_.end() && now < returning->second;
}

// Zones can arrive before the document of the same state. Until that document is here, this host
// has only what its own document came with.
Version ZoneUse::settings_version(Version document) const {
    return document >= document_ ? std::max(document, current_.index) : document;
}

} // namespace liftweir
