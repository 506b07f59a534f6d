#ifndef ENDPOINTORDER_H_INCLUDED
#define ENDPOINTORDER_H_INCLUDED

#include "process/registry.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// What an endpoint is told to do.
enum class OrderKind : std::uint8_t {
    Join,  // hold a part of a group; loads the weights where they are missing
    Open,  // the lead puts the group into service
    Close, // the lead finishes what it has and takes nothing new
    Leave, // give the part up at once
    Stage  // fetch weights onto the host without joining
};

// The order's word in the log and on the wire.
std::string_view name_of(OrderKind kind);

// One order to an endpoint. The fence rises from order to order and from leader to leader, so an
// endpoint refuses what is delivered late.
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

// What became of an order, as far as the one who gave it knows.
enum class OrderAnswer : std::uint8_t {
    Taken,     // begun, or holds already
    Unfit,     // does not fit the endpoint's state
    Stale,     // a higher fence or epoch was seen
    Elsewhere, // another endpoint has the address
    Silent     // no answer: it may still be carried out, seconds later
};

// The answer's word in the log.
std::string_view name_of(OrderAnswer answer);

} // namespace liftweir

#endif // ENDPOINTORDER_H_INCLUDED
