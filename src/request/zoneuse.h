// The availability zones out of use, as one entry host knows them. Runs in liftweir-site-entry.

#ifndef ZONEUSE_H_INCLUDED
#define ZONEUSE_H_INCLUDED

#include "process/clock.h"
#include "version/state.h"

#include <map>
#include <string>

namespace liftweir {

// Decides which zones' endpoints get no new requests. Control hosts may be behind each other, so
// the state with the highest log index counts, whichever host sent it. Does no I/O.
class ZoneUse {
  public:
    // Endpoints of a zone that is back in use get no requests for this long.
    void set_return_delay(Duration delay) { return_delay_ = delay; }
    // Takes the zones of a replicated state whose document has the index `document`. False where
    // they are not newer than the known ones.
    bool take(const ZonesOutOfUse& zones, Version document, Time now);
    const ZonesOutOfUse& current() const { return current_; }
    // Whether the zone's endpoints get no new requests.
    bool excludes(const std::string& zone, Time now) const;
    // Log index up to which this host has every document and every zone's use, where `document` is
    // the index of its own document.
    Version settings_version(Version document) const;

  private:
    ZonesOutOfUse current_;
    Version document_ = 0; // lowest index of a document that was in force together with current_
    Duration return_delay_{};
    std::map<std::string, Time> returning_; // zones back in use, and until when they are excluded
};

} // namespace liftweir

#endif // ZONEUSE_H_INCLUDED
