#include "process/orderqueue.h"

#include "process/groupname.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace liftweir {

namespace {

std::size_t lane_of(const EndpointOrder& order) {
    if (names_warm_up(order.group))
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

// An order counts as unanswered after a second from when it was given to the network. Too many at
// once would wait here for longer, be given up though they are carried out, and be given again.
void OrderQueue::add(Item item) {
    lanes_[lane_of(item.order)].push_back(std::move(item));
}

std::optional<OrderQueue::Item> OrderQueue::next() {
    if (under_way_ >= MostUnderWay)
        return std::nullopt;
    const auto lane = std::find_if(lanes_.begin(), lanes_.end(),
                                   [](const auto& items) { return !items.empty(); });
    if (lane == lanes_.end())
        return std::nullopt;
    Item item = std::move(lane->front());
    lane->pop_front();
    ++under_way_;
    return item;
}

void OrderQueue::ended() {
    under_way_ -= under_way_ > 0 ? 1 : 0;
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
