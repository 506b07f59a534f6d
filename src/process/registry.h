#ifndef REGISTRY_H_INCLUDED
#define REGISTRY_H_INCLUDED

#include "process/clock.h"
#include "version/state.h"

#include <compare>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// A number drawn anew at each start of an endpoint: one incarnation, never reused.
using EndpointId = std::string;

// How far a member is in its group, by its own word.
enum class MemberState : std::uint8_t {
    Joining, // loads or warms up
    Ready,   // holds its part; the group is not in service
    Open,    // the lead takes requests
    Closing, // the lead finishes what it has
    Broken   // stood still too long; the lead refuses everything
};

// The state's word in the log.
std::string_view name_of(MemberState state);

// An endpoint's own word about the group that it belongs to.
struct Membership {
    std::string group;
    Epoch epoch = NoEpoch;
    std::uint32_t rank = 0; // 0 leads
    MemberState state = MemberState::Joining;

    auto operator<=>(const Membership&) const = default;
    MSGPACK_DEFINE(group, epoch, rank, state)
};

// Whether an endpoint takes requests, finishes what it has, or has ended.
enum class EndpointPhase : std::uint8_t { Serving, Draining, Gone };

// What an endpoint says of itself when it registers. Later reports have higher sequences.
struct EndpointReport {
    EndpointId id;
    std::string service;
    std::string address; // ip:port
    std::string zone;
    std::string domain; // fabric domain; empty for plain services
    EndpointPhase phase = EndpointPhase::Serving;
    std::uint32_t slots = 0;
    std::vector<std::string> staged; // models whose weights lie on its host
    Membership membership;           // epoch NoEpoch: in no group
    std::uint64_t sequence = 0;

    auto operator<=>(const EndpointReport&) const = default;
    MSGPACK_DEFINE(id, service, address, zone, domain, phase, slots, staged, membership, sequence)

    bool grouped() const { return membership.epoch != NoEpoch; }
    // Its group serves, and requests for it go to this endpoint.
    bool leads_open_group() const {
        return phase == EndpointPhase::Serving && grouped() && membership.rank == 0 &&
               membership.state == MemberState::Open;
    }
    // Equal but for the sequence.
    bool same_content(const EndpointReport& other) const;
};

// All endpoints that have registered, as one process knows them. Soft state: reports are merged
// by their sequence, in any order and from any side, and every copy ends up the same.
class Registry {
  public:
    struct Item {
        EndpointReport report;
        Time heard{}; // last sign of life, from whichever side
    };

    // `heard` is when the endpoint showed the sign of life that the report stems from. True where
    // the content changed; the change is then to be passed on.
    bool merge(EndpointReport report, Time heard);
    // Adds what was known before a restart, unless something newer is known of the endpoint or of
    // its address. True where it was added.
    bool remember(const EndpointReport& report, Time now);
    void forget(const EndpointId& id) { items_.erase(id); }
    // The endpoint has ended, or will without another word. Final.
    bool mark_gone(const EndpointId& id, Time now);
    // A sign of life, without a report.
    void heard(const EndpointId& id, Time now);
    // Forgets endpoints that are gone or have been silent for long.
    void expire(Time now);

    const std::map<EndpointId, Item>& items() const { return items_; }
    // Null where the endpoint is not known.
    const Item* find(const EndpointId& id) const;
    // Two registries of equal digest hold the same content.
    std::uint64_t digest() const;

  private:
    void retire_address(const EndpointReport& newer, Time now);

    std::map<EndpointId, Item> items_;
};

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::MemberState)
MSGPACK_ADD_ENUM(liftweir::EndpointPhase)

#endif // REGISTRY_H_INCLUDED
