// Orders from the leading control host to endpoints. Used by liftweir-site-control.

#ifndef ENDPOINTORDER_H_INCLUDED
#define ENDPOINTORDER_H_INCLUDED

#include "process/registry.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// What an order asks an endpoint to do.
enum class OrderKind : std::uint8_t {
    Join,  // become a member of a group; loads the weights if they are missing
    Open,  // the lead puts the group into service
    Close, // the lead finishes its requests and takes no new ones
    Leave, // leave the group at once
    Stage  // fetch weights onto the host without joining
};

// The name of the kind in the log and on the wire.
std::string_view name_of(OrderKind kind);

// One order to an endpoint. Fences increase from order to order and from leader to leader, so an
// endpoint refuses an order that arrives after a newer one.
struct EndpointOrder {
    OrderKind kind = OrderKind::Join;
    EndpointId endpoint;
    std::string address;
    std::string group;
    Epoch epoch = NoEpoch;
    std::string model;
    std::vector<EndpointId> members; // the lead first
    std::uint64_t fence = 0;

    auto operator<=>(const EndpointOrder&) const = default;
};

// The result of an order, as far as the sender knows.
enum class OrderAnswer : std::uint8_t {
    Taken,     // in progress, or done already
    Unfit,     // not valid in the state of the endpoint
    Stale,     // the endpoint has seen a higher fence or epoch
    Elsewhere, // another endpoint has the address
    Silent     // no answer; the order may still be carried out seconds later
};

// The name of the answer in the log.
std::string_view name_of(OrderAnswer answer);

// What a probe has shown about an endpoint.
enum class ProbeResult : std::uint8_t {
    Alive,
    Silent, // no answer came in time, or another incarnation answered
    Unknown // this host has not yet received a report that names the endpoint's address
};

} // namespace liftweir

#endif // ENDPOINTORDER_H_INCLUDED
