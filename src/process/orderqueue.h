#ifndef ORDERQUEUE_H_INCLUDED
#define ORDERQUEUE_H_INCLUDED

#include "process/endpointorder.h"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace liftweir {

// Orders that wait to be sent, so many under way at once. What ends or opens a group goes before
// what forms one, and that before what only prepares. Pure: no I/O, no clock.
class OrderQueue {
  public:
    struct Item {
        std::string service;
        EndpointOrder order;

        auto operator<=>(const Item&) const = default;
    };

    void add(Item item);
    // The next one to be sent, to be followed by ended(); nothing while enough are under way.
    std::optional<Item> next();
    // An order that was sent has been answered, or given up.
    void ended();
    // Forgets what was not sent.
    void clear();

    std::size_t waiting() const;
    std::size_t under_way() const { return under_way_; }

    static constexpr std::size_t MostUnderWay = 64;

  private:
    std::array<std::deque<Item>, 3> lanes_; // the most urgent first
    std::size_t under_way_ = 0;
};

} // namespace liftweir

#endif // ORDERQUEUE_H_INCLUDED
