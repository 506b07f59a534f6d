// What endpoints that register themselves report.

#ifndef ENDPOINTREPORT_H_INCLUDED
#define ENDPOINTREPORT_H_INCLUDED

#include "version/endpointid.h"
#include "version/epoch.h"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// No host offers more request slots.
constexpr std::uint32_t MaxEndpointSlots = 1'000'000;

// State of a member in its group, as the member reports it.
enum class MemberState : std::uint8_t {
    Joining, // loads the model or warms up
    Ready,   // has loaded its part of the model; the group does not serve yet
    Open,    // the lead takes requests
    Closing, // the lead only finishes the requests it has
    Broken   // was stalled for too long; the lead rejects all requests
};

// The state's name in log messages.
std::string_view name_of(MemberState state);

// The group that an endpoint belongs to, as the endpoint reports it.
struct Membership {
    std::string group;
    Epoch epoch = NoEpoch;
    std::uint32_t rank = 0; // 0 is the lead; below MaxGroupMembers
    MemberState state = MemberState::Joining;

    auto operator<=>(const Membership&) const = default;
    MSGPACK_DEFINE(group, epoch, rank, state)
};

// Serving: takes requests. Draining: only finishes the requests it has. Gone: its process has
// ended.
enum class EndpointPhase : std::uint8_t { Serving, Draining, Gone };

// What an endpoint reports about itself when it registers. Later reports have higher sequence
// numbers.
struct EndpointReport {
    EndpointId id;
    std::string service;
    std::string address; // ip:port
    std::string zone;
    std::string domain; // fabric domain; empty for plain services
    EndpointPhase phase = EndpointPhase::Serving;
    std::uint32_t slots = 0;         // at most MaxEndpointSlots
    std::vector<std::string> staged; // models whose weights are on the host's disk
    Membership membership;           // epoch is NoEpoch outside a group
    std::uint64_t sequence = 0;
    bool cold = false; // still slow after its start, with less capacity than later

    auto operator<=>(const EndpointReport&) const = default;
    MSGPACK_DEFINE(id, service, address, zone, domain, phase, slots, staged, membership, sequence,
                   cold)

    bool grouped() const { return membership.epoch != NoEpoch; }
    // True for the lead of a group in service; requests for the group go to this endpoint.
    bool leads_open_group() const {
        return phase == EndpointPhase::Serving && grouped() && membership.rank == 0 &&
               membership.state == MemberState::Open;
    }
    // True for an endpoint that requests may be sent to: a plain one, or the lead of a group in
    // service.
    bool routable() const {
        return domain.empty() ? phase == EndpointPhase::Serving : leads_open_group();
    }
    // Equal except for the sequence number.
    bool same_content(const EndpointReport& other) const;
};

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::MemberState)
MSGPACK_ADD_ENUM(liftweir::EndpointPhase)

#endif // ENDPOINTREPORT_H_INCLUDED
