#ifndef TIMELINEVIEW_H_INCLUDED
#define TIMELINEVIEW_H_INCLUDED

#include "ctl/session.h"

#include <cstdint>
#include <map>
#include <string>

namespace liftweir {

// What `liftweirctl timeline` shows.
struct TimelineFilter {
    std::int64_t since_ms = 0; // wall time; 0 for everything
    std::string host;
    std::uint64_t group = 0;
    std::string request;
    bool follow = false;
    bool json = false;
};

// Collects the events of all processes, merges them by hybrid logical time, and says which
// processes could not be reached or have lost events.
int show_timeline(Session& session, const TimelineFilter& filter);

} // namespace liftweir

#endif // TIMELINEVIEW_H_INCLUDED
