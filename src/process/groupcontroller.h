// Runs the group planners of all services. Used by liftweir-site-control.

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

// Holds a planner for each service, the changes that the replicated log must hold before an order
// is sent, and the queue of orders. Every control host observes reports; only the leader plans.
// Pure: no I/O except through the replica, and no clock but the times passed in.
class GroupController {
  public:
    // The term in which this host leads.
    struct Leadership {
        Term term = 0;
        Time since{};
        bool several_recent_leaders = false; // within the last load window

        auto operator<=>(const Leadership&) const = default;
    };
    struct Probe {
        std::string service;
        EndpointId endpoint;

        auto operator<=>(const Probe&) const = default;
    };

    GroupController(GroupPlannerConfig config, bool first_start)
        : config_(config), first_start_(first_start) {}

    // Sets the operators' cost model of the service's engine. A new planner first receives all
    // registered endpoints and the leadership.
    void configure(const std::string& service, const EngineCost& engine, const State& state,
                   const Registry& registry, Time now);

    // Inputs of the planners, on every control host whether it leads or not.
    void observe(const EndpointReport& report, Time now);
    void traffic_began();
    // Endpoints of these zones get no requests.
    void set_zones_out_of_use(const std::set<std::string>& zones);
    void suspect(Epoch epoch, Duration silence, Time now);
    // Sets what callers ask of the models of all services, summed over the entry hosts.
    void set_demand(const std::vector<ModelDemand>& lines);
    // Demand by model, as the number of groups that it keeps busy all the time.
    std::map<std::string, double> demand_work() const;

    // Starts leading. `state` has all entries applied that earlier leaders committed.
    void take_over(const Leadership& leadership, const State& state);
    // Stops leading, and drops the orders that have not been sent.
    void step_down();
    bool leads() const { return leadership_.has_value(); }

    // Runs one round of all planners. True if changes were proposed to the log; the next pump of
    // the replica sends them out.
    bool plan(Replica& replica, const Registry& registry, Time now);
    // Queues the orders that waited for the log. To be called after each pump of the replica.
    void settle(const Registry& registry, Time now);
    // The next order to send, or nothing if enough are in flight. Call answered() with its result.
    std::optional<OrderQueue::Item> next_order() { return queued_.next(); }
    void answered(const OrderQueue::Item& item, OrderAnswer answer, Time now);
    std::size_t orders_waiting() const { return queued_.waiting(); }
    // Endpoints to probe now. Call probed() with each result.
    std::vector<Probe> take_probes();
    void probed(const Probe& probe, ProbeResult result, Time now);
    // Returns the decisions since the last call.
    std::vector<PlanEvent> take_events();

    // What the open groups of all services can serve.
    std::vector<ModelSupply> supplies(const Registry& registry, Time now);
    // Dissolved groups whose leads still serve according to their last reports.
    std::set<Epoch> dissolved(const Registry& registry) const;
    // A line for the log for each service.
    std::map<std::string, std::string> layouts(const Registry& registry, Time now);

  private:
    // Committed changes of one service.
    struct Committed {
        std::string service;
        Term term = 0;
        GroupChanges changes;
    };

    bool propose_changes(Replica& replica, const std::string& service, GroupPlanner& planner);
    void enqueue(const std::string& service, const std::vector<EndpointOrder>& orders);
    GroupPlanner* planner_of(const std::string& service);

    GroupPlannerConfig config_;
    bool first_start_;
    std::optional<Leadership> leadership_;
    std::set<std::string> zones_out_of_use_;
    std::map<std::string, GroupPlanner> planners_; // by service
    std::vector<Committed> committed_;             // committed since the last settle()
    OrderQueue queued_;
};

} // namespace liftweir

#endif // GROUPCONTROLLER_H_INCLUDED
