#ifndef TIMELINEVIEW_H_INCLUDED
#define TIMELINEVIEW_H_INCLUDED

#include "ctl/session.h"

#include <cstdint>
#include <map>
#include <string>

namespace liftweir {

// Which events `liftweirctl timeline` shows, and in which form.
struct TimelineFilter {
    std::int64_t since_ms = 0; // wall time of the oldest event to show; 0 for all
    std::string host;
    std::uint64_t group = 0;
    std::string request;
    bool follow = false;
    bool json = false;
};

// Collects the events of all processes, prints them in the order of their hybrid logical clocks,
// and reports the processes that could not be reached or have lost events. Returns the exit code.
int show_timeline(Session& session, const TimelineFilter& filter);

} // namespace liftweir

#endif // TIMELINEVIEW_H_INCLUDED
