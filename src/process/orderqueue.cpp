// Queues orders in three lanes by urgency.

#include "process/orderqueue.h"

#include "process/groupname.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace liftweir {

namespace {

std::size_t lane_of(const EndpointOrder& order) {
    if (kind_of_group(order.group) == GroupKind::WarmUp)
        return 2;
    switch (order.kind) {
    case OrderKind::Open:
    case OrderKind::Close:
    case OrderKind::Leave:
        return 0;
    case OrderKind::Join:
        return 1;
    case OrderKind::Stage:
        return 2;
    }
    return 2;
}

} // namespace

// An order times out one second after it is handed to the network. With too many in flight, orders
// would wait locally for longer than that: they would time out, be carried out nevertheless, and be
// sent again.
void OrderQueue::add(Item item) {
    lanes_[lane_of(item.order)].push_back(std::move(item));
}

std::optional<OrderQueue::Item> OrderQueue::next() {
    if (in_flight_ >= MaxInFlight)
        return std::nullopt;
    const auto lane = std::find_if(lanes_.begin(), lanes_.end(),
                                   [](const auto& items) { return !items.empty(); });
    if (lane == lanes_.end())
        return std::nullopt;
    Item item = std::move(lane->front());
    lane->pop_front();
    ++in_flight_;
    return item;
}

void OrderQueue::ended() {
    in_flight_ -= in_flight_ > 0 ? 1 : 0;
}

void OrderQueue::clear() {
    for (auto& lane : lanes_)
        lane.clear();
}

std::size_t OrderQueue::waiting() const {
    return std::accumulate(lanes_.begin(), lanes_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& lane) { return sum + lane.size(); });
}

} // namespace liftweir
