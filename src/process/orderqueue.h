// The queue of orders to endpoints. Used by liftweir-site-control.

#ifndef ORDERQUEUE_H_INCLUDED
#define ORDERQUEUE_H_INCLUDED

#include "process/endpointorder.h"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace liftweir {

// Holds orders until they can be sent and limits how many are in flight. Orders that open or end a
// group go first, then those that form one, then those that prepare spares. Pure: no I/O, no clock.
class OrderQueue {
  public:
    struct Item {
        std::string service;
        EndpointOrder order;

        auto operator<=>(const Item&) const = default;
    };

    void add(Item item);
    // The next order to send, or nothing if enough are in flight. Call ended() once it is done.
    std::optional<Item> next();
    // An order that was sent has been answered or has timed out.
    void ended();
    // Drops the orders that have not been sent.
    void clear();

    std::size_t waiting() const;
    std::size_t in_flight() const { return in_flight_; }

    static constexpr std::size_t MaxInFlight = 64;

  private:
    std::array<std::deque<Item>, 3> lanes_; // the most urgent first
    std::size_t in_flight_ = 0;
};

} // namespace liftweir

#endif // ORDERQUEUE_H_INCLUDED
