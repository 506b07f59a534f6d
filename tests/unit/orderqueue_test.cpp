// Tests the limit and the priorities of the queue of orders.

#include "process/groupname.h"
#include "process/orderqueue.h"
#include "process/probequeue.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

OrderQueue::Item item(OrderKind kind, const std::string& endpoint) {
    OrderQueue::Item item;
    item.service = "llm";
    item.order.kind = kind;
    item.order.endpoint = endpoint;
    return item;
}

// Sends all of 3,000 queued items, one at a time once as many as allowed are in flight.
template <typename Queue>
void check_in_flight(Queue& queue) {
    std::size_t sent = 0;
    std::size_t most = 0;
    while (queue.waiting() > 0) {
        while (queue.next())
            ++sent;
        most = std::max(most, queue.in_flight());
        queue.ended();
    }
    EXPECT_EQ(sent, 3000u);
    EXPECT_EQ(most, Queue::MaxInFlight);
}

TEST(OrderQueue, LimitsOrdersInFlightAndSendsAllOfThem) {
    OrderQueue queue;
    for (int n = 0; n < 3000; ++n)
        queue.add(item(OrderKind::Join, std::to_string(n)));
    check_in_flight(queue);
}

// Thousands of members are suspected at once. A probe's timeout runs from when it is sent.
TEST(ProbeQueue, LimitsProbesInFlightAndSendsAllOfThem) {
    ProbeQueue queue;
    for (int n = 0; n < 3000; ++n)
        queue.add({"llm", std::to_string(n)});
    check_in_flight(queue);
}

// Orders that open or end a group must not wait behind the preparation of spares.
TEST(OrderQueue, SendsOrdersThatOpenOrEndAGroupFirst) {
    OrderQueue queue;
    queue.add(item(OrderKind::Stage, "a"));
    OrderQueue::Item spare = item(OrderKind::Join, "s");
    spare.order.group = group_name("m", 7, GroupKind::WarmUp);
    queue.add(spare);
    queue.add(item(OrderKind::Join, "b"));
    queue.add(item(OrderKind::Open, "c"));
    queue.add(item(OrderKind::Leave, "d"));
    std::string order;
    while (const auto next = queue.next())
        order += next->order.endpoint.name;
    EXPECT_EQ(order, "cdbas");
}

TEST(OrderQueue, ClearDropsOrdersThatWereNotSent) {
    OrderQueue queue;
    queue.add(item(OrderKind::Join, "a"));
    queue.add(item(OrderKind::Join, "b"));
    ASSERT_TRUE(queue.next());
    queue.clear();
    EXPECT_FALSE(queue.next());
    EXPECT_EQ(queue.in_flight(), 1u);
}

} // namespace
} // namespace liftweir
