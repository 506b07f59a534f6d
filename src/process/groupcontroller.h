#ifndef GROUPCONTROLLER_H_INCLUDED
#define GROUPCONTROLLER_H_INCLUDED

#include "process/groupplanner.h"
#include "process/orderqueue.h"
#include "process/replica.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace liftweir {

// What a control host has for the groups of all services: a planner for each, what the replicated
// log has to hold before an order goes out, and the orders that wait. Every control host observes;
// only the leader plans. Pure: no I/O but through the replica, no clock but the times it is given.
class GroupController {
  public:
    // How a control host came to lead.
    struct Leadership {
        Term term = 0;
        Time since{};
        bool several_recent_leaders =
            false; // leaders within the last window in which loads are counted

        auto operator<=>(const Leadership&) const = default;
    };
    struct Probe {
        std::string service;
        EndpointId endpoint;

        auto operator<=>(const Probe&) const = default;
    };

    GroupController(GroupPlannerConfig bounds, bool first_start)
        : bounds_(bounds), first_start_(first_start) {}

    // The operators' figures for the service's engine. A planner that begins later than the
    // endpoints is told of them, and of the leadership.
    void configure(const std::string& service, const EngineCost& engine, const State& state,
                   const Registry& registry, Time now);

    // What is heard, whether this host leads or not.
    void observe(const EndpointReport& report, Time now);
    void traffic_began();
    void suspect(Epoch epoch, Time now);

    // This host leads from now on, with everything applied that was committed before.
    void take_over(const Leadership& leadership, const State& state);
    // It leads no more: what was not sent is forgotten.
    void step_down();
    bool leads() const { return leadership_.has_value(); }

    // One round of all planners. True where the log was asked for something, which the next pump of
    // the replica hands out.
    bool plan(Replica& replica, const Registry& registry, Time now);
    // After each pump: the orders that waited for the log.
    void settle(const Registry& registry, Time now);
    // The next order to be sent, to be followed by answered(); nothing while enough are under way.
    std::optional<OrderQueue::Item> next_order() { return queued_.next(); }
    void answered(const OrderQueue::Item& item, OrderAnswer answer, Time now);
    std::size_t orders_waiting() const { return queued_.waiting(); }
    // Endpoints that should be asked for a sign of life, each to be followed by probed().
    std::vector<Probe> take_probes();
    void probed(const Probe& probe, bool alive, Time now);
    // Decisions since the last call.
    std::vector<PlanEvent> take_events();

    // Groups given up whose leads, by their last reports, still serve.
    std::set<Epoch> dissolved(const Registry& registry) const;
    // For the log: a line for each service.
    std::map<std::string, std::string> layouts(const Registry& registry, Time now);

  private:
    // Changes of one service that the log holds now.
    struct Recorded {
        std::string service;
        Term term = 0;
        GroupChanges changes;
    };

    bool record(Replica& replica, const std::string& service, GroupPlanner& planner);
    void queue(const std::string& service, const std::vector<EndpointOrder>& orders);
    GroupPlanner* planner_of(const std::string& service);

    GroupPlannerConfig bounds_;
    bool first_start_;
    std::optional<Leadership> leadership_;
    std::map<std::string, GroupPlanner> planners_; // by service
    std::vector<Recorded> recorded_;               // committed since the last settle()
    OrderQueue queued_;
};

} // namespace liftweir

#endif // GROUPCONTROLLER_H_INCLUDED
