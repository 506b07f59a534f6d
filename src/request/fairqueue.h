// The queue of requests that wait at an endpoint's agent (liftweir-agent).

#ifndef FAIRQUEUE_H_INCLUDED
#define FAIRQUEUE_H_INCLUDED

#include "process/clock.h"
#include "process/failure.h"
#include "version/state.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace liftweir {

// A request in the queue, with the settings that apply to it.
struct QueueItem {
    AttemptId id;
    std::string traffic_class;
    std::string customer;
    std::uint32_t class_weight = 10;
    std::uint32_t customer_weight = 10;
    std::uint32_t shed_order = 50; // lower ones are refused first
    double cost = 1;               // expected work, in the same unit for all items
    Time deadline{};
    bool early_refusal = true;
};

// Whether an item was admitted to the queue, and why not.
struct Admission {
    bool admitted = false;
    FailureKind reason = FailureKind::Overloaded;
    Duration retry_after{};
    std::optional<AttemptId> shed; // an item that was evicted to admit this one
};

// A bounded queue with weighted fair shares by traffic class, then by customer within the class
// (start-time fair queueing on both levels). Refuses at once an item that can not meet its
// deadline. Every class with a weight makes progress, so none starves.
class FairQueue {
  public:
    FairQueue(std::size_t slots, std::size_t capacity) : slots_(slots), capacity_(capacity) {}
    void resize(std::size_t slots, std::size_t capacity);

    Admission offer(const QueueItem& item, Time now);
    // Next item to start, if a slot is free. Items past their deadline are moved to `expired`.
    std::optional<QueueItem> start_next(Time now, std::vector<QueueItem>& expired);
    // An item of this cost ended after `service_time` in its slot.
    void finished(Duration service_time, double cost);
    bool remove(const AttemptId& id);
    std::vector<QueueItem> take_all();

    std::size_t waiting() const { return waiting_; }
    std::size_t running() const { return running_; }
    Duration mean_service() const { return mean_service_; }

  private:
    struct Flow {
        std::deque<QueueItem> items;
        double finish_tag = 0;
    };
    struct Class {
        std::map<std::string, Flow> customers;
        double finish_tag = 0;
        double virtual_time = 0;
        std::uint32_t weight = 10;
        std::size_t waiting = 0;
    };

    Duration expected_wait(const QueueItem& item) const;
    Duration expected_service(const QueueItem& item) const;
    std::optional<AttemptId> shed_for(const QueueItem& item);
    void push(const QueueItem& item);
    QueueItem pop(Class& cls, std::map<std::string, Flow>::iterator flow);

    std::size_t slots_;
    std::size_t capacity_;
    std::map<std::string, Class> classes_;
    double virtual_time_ = 0;
    std::size_t waiting_ = 0;
    std::size_t running_ = 0;
    Duration mean_service_{};
    Duration unit_service_{}; // mean time per unit of cost, over items with a known cost
};

} // namespace liftweir

#endif // FAIRQUEUE_H_INCLUDED
