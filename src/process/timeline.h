// Events of a process, served at /events for `liftweirctl timeline`.
// Runs in liftweir-control, liftweir-entry and liftweir-agent.

#ifndef TIMELINE_H_INCLUDED
#define TIMELINE_H_INCLUDED

#include <compare>
#include <cstdint>
#include <deque>
#include <json/json.h>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

enum class EventKind : unsigned char {
    ProcessStarted,
    ProcessDraining,
    ProcessStopped,
    LeaderElected,
    LeaderLost,
    SnapshotInstalled,
    VotersChanged,
    HostRegistered,
    HostSilent,
    HostReturned,
    HostModeSet,
    HostReleased,
    DomainDark,
    RepairChosen,
    GroupFormed,
    GroupDissolved,
    GroupDraining,
    GateOpened,
    GateClosed,
    LoadStarted,
    LoadFinished,
    LoadFailed,
    SettingsChanged,
    SettingsInForce,
    SettingsConflict,
    LeaseLost,
    LeaseRegained,
    RequestFailed,
    RequestRetried,
    ClaimUnknown,
    GroupEjected,
    EndpointEnded,
    EndpointBack
};

std::string_view name_of(EventKind kind);

// Hybrid logical time: wall-clock milliseconds, and a counter that orders events within a
// millisecond and keeps an effect after its cause where clocks differ.
struct HybridTime {
    std::int64_t wall_ms = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime&) const = default;
};

struct Event {
    std::uint64_t sequence = 0;
    HybridTime time = {};
    EventKind kind = EventKind::ProcessStarted;
    std::string host = {};
    std::uint64_t group = 0;
    std::string request = {};
    std::string detail = {};
    std::string cause = {};
};

// Bounded ring buffer of the latest events. Thread-safe; not used on the path of a request that
// succeeds.
class Timeline {
  public:
    static Timeline& instance();

    void name(std::string process, std::uint64_t incarnation);
    void add(Event event);
    // Advances the hybrid clock to a time stamp from another process.
    void advance_to(std::int64_t wall_ms);
    // Events after a sequence number, and the number of those that the ring has dropped already.
    Json::Value since(std::uint64_t sequence) const;

  private:
    HybridTime next_time();

    mutable std::mutex mutex_;
    std::deque<Event> ring_;
    std::uint64_t next_ = 1;
    HybridTime last_;
    std::string process_;
    std::uint64_t incarnation_ = 0;
};

// Adds an event to the timeline and to the process log.
void record(Event event);

} // namespace liftweir

#endif // TIMELINE_H_INCLUDED
