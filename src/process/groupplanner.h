// Plans the serving groups of one service whose endpoints register themselves: which hosts form a
// group, when it opens and when it is dissolved. Run by liftweir-site-control.

#ifndef GROUPPLANNER_H_INCLUDED
#define GROUPPLANNER_H_INCLUDED

#include "process/capacityplan.h"
#include "process/endpointorder.h"
#include "process/firstlayout.h"
#include "process/groupname.h"
#include "process/heartbeat.h"
#include "process/loadbudget.h"
#include "process/modelsupply.h"
#include "process/registry.h"
#include "request/modeldemand.h"
#include "version/deployment.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace liftweir {

// One decision of the planner, for the log.
struct PlanEvent {
    std::string what; // formed, opened, dissolved, staged, ...
    std::string group;
    EndpointId endpoint;
    std::string why;

    auto operator<=>(const PlanEvent&) const = default;
};

// The settings that the planner uses.
struct GroupPlannerConfig {
    Duration heartbeat_interval = std::chrono::milliseconds(1200);
    Duration load_window = std::chrono::seconds(5);
    bool plan_by_demand = false; // otherwise by the shares of the document alone
    bool spread_models = false;  // no model may depend on a single domain at the first layout
    // Endpoints end a stalled group by themselves after this time.
    Duration stall_timeout = std::chrono::seconds(5);

    auto operator<=>(const GroupPlannerConfig&) const = default;
};

// Groups that the planner asks the replicated log to record or to remove.
struct GroupChanges {
    PlannedGroups formed;     // no order goes to a member before this is committed
    std::vector<Epoch> ended; // bind no member any more

    auto operator<=>(const GroupChanges&) const = default;
    bool empty() const { return formed.empty() && ended.empty(); }
};

// Decides which endpoints form groups and issues fenced orders to them. The replicated log holds
// every group that may exist and the reports of endpoints give the state of each, so any control
// host can continue where the previous leader stopped. Pure: no I/O, and no clock but the times
// passed in.
class GroupPlanner {
  public:
    GroupPlanner(std::string service, GroupPlannerConfig config, bool first_start);

    // Sets the operators' cost model of the engine. Nothing is planned before the first call.
    void configure(const EngineCost& engine);
    // Takes a changed report. Called on every control host, whether it leads or not.
    void observe(const EndpointReport& report, Time now);
    // Starts leading. A higher term gives higher epochs and fences. `recorded` holds all groups
    // that earlier leaders may have ordered. `several_recent_leaders` is true if more than one
    // leader may have started loads within the last load window.
    void take_over(std::uint64_t term, Time now, const PlannedGroups& recorded = {},
                   bool several_recent_leaders = false);
    // Callers have begun to send requests. From now on loads are slow, have a price and are
    // limited.
    void traffic_began() { traffic_started_ = true; }
    // Endpoints of these zones get no requests.
    void set_zones_out_of_use(std::set<std::string> zones) { zones_out_of_use_ = std::move(zones); }
    // Sets what callers ask of the service's models, summed over the entry hosts.
    void set_demand(std::vector<ModelDemand> lines) { demand_ = std::move(lines); }
    // Demand by model, as the number of groups that it keeps busy all the time.
    std::map<std::string, double> demand_work() const { return work_by_model(demand_, engine_); }
    // An entry host reports that all streams of a group are stalled.
    void suspect(Epoch epoch, Duration silence, Time now);

    // Runs one planning round and returns the orders to send. Call answered() for each of them.
    std::vector<EndpointOrder> plan(const Registry& registry, Time now);
    // Changes of the last round that belong in the log. Call recorded() once they are committed.
    GroupChanges take_changes() { return std::exchange(changes_, {}); }
    // The changes are committed. Returns the orders that waited for them.
    std::vector<EndpointOrder> recorded(const GroupChanges& changes, const Registry& registry,
                                        Time now);
    // Endpoints to probe now. Call probed() with each result.
    std::vector<EndpointId> take_probes();
    // Takes the result of an order, or of a probe.
    void answered(const EndpointOrder& order, OrderAnswer answer, Time now);
    void probed(const EndpointId& id, ProbeResult result, Time now);
    // Returns the decisions since the last call.
    std::vector<PlanEvent> take_events() { return std::exchange(events_, {}); }

    // Dissolved groups whose leads still serve according to their last reports.
    std::vector<Epoch> dissolved(const Registry& registry) const;
    // A line for the log: open groups per model, and free hosts per domain by the staged model.
    std::string layout(const Registry& registry, Time now);
    // Open groups by model that take requests, and when the next one is expected to open.
    std::vector<ModelSupply> supply(const Registry& registry, Time now);

  private:
    enum class Phase : std::uint8_t {
        Proposed, // no order is sent before the log holds it
        Forming,
        Open,
        Closing,
        Dissolved
    };
    using Hosts = std::vector<const EndpointReport*>;

    struct Group {
        Epoch epoch = NoEpoch;
        std::string name;
        std::string model;
        std::vector<EndpointId> members; // by rank; empty ids where not yet known
        Phase phase = Phase::Forming;
        Time since{};             // start of the phase
        bool formed_here = false; // formed by this host in this term
        bool warm_up = false;     // a single host that only loads the weights into its memory
        bool may_have_opened = true;
        bool consolidating = false; // closes to be replaced by a group within one domain
        bool closed = false;        // was in service; its lead reports that it has closed
        bool in_log = false;
        bool removal_proposed = false;       // from the log
        std::set<EndpointId> reported;       // members whose reports have named the group
        std::set<EndpointId> departed;       // members that have left for good
        Time open_retry_due{};               // the order to open is repeated after this time
        Time close_retry_due{};              // set if the order to close was not answered
        Time expected_ready{};               // when a forming group should be ready
        Time suspected{};                    // last report of stalled streams
        Time probed{};                       // start of the last round of probes
        std::set<EndpointId> pending_probes; // probes whose result is awaited
        std::map<EndpointId, int> unanswered_probes; // consecutive ones, by member
        Duration silence{};                          // longest one reported of the present stall
    };

    // Counts of the live groups of one model, by the domain of the lead.
    struct LiveGroups {
        std::size_t all = 0;
        std::map<std::string, std::size_t> by_domain;
    };

    struct Host {
        std::string warm;          // model whose weights are in its memory
        Time unresponsive_until{}; // did not answer an order or a probe
        Time staging_until{};
        std::string staging;
        bool order_in_flight = false;
        Epoch highest_epoch = NoEpoch; // that it has joined; it refuses lower ones
    };

    Group& group_of(const Membership& membership, Time now);
    Group& adopt(Epoch epoch, const PlannedGroup& recorded, Time now);
    void record_departures(const EndpointReport& report);
    void record_membership(const EndpointId& id, Epoch epoch);
    void forget_old_groups(Time now);
    void begin_round(const Registry& registry, Time now);

    // progress of groups
    void advance(Group& group, Time now);
    void advance_forming(Group& group, Time now);
    void advance_inherited(Group& group, Time now);
    void advance_open(Group& group, Time now);
    void advance_dissolved(Group& group, Time now);
    // An endpoint that left an order or a probe unanswered is taken for lost for so long, unless it
    // reports.
    static constexpr Duration UnresponsivePeriod = std::chrono::milliseconds(3000);
    // Whether entry hosts report that the group's streams stall.
    static bool is_suspected(const Group& group, Time now);
    void probe_if_suspected(Group& group, Time now);
    void on_unanswered_probe(Group& group, const EndpointId& id, Time now);
    void dissolve(Group& group, const std::string& why, Time now);
    void dissolve_if_replaced(Group& group, Time now);
    Time forming_due(const Group& group, const ModelShape& model) const;
    bool replaceable(const Group& group, Time now) const;
    void open(Group& group, const EndpointReport& lead, Time now);
    void close(Group& group, const EndpointReport& lead, const std::string& why, Time now);
    void on_close_answered(Group& group, OrderAnswer answer, Time now);
    // Repeats an order to close that was not answered.
    void retry_close(Group& group, const EndpointReport* lead, Time now);
    void close_if_leaving(Group& group, const EndpointReport* lead, Time now);
    void consolidate(Group& group, Time now);
    bool spans_domains(const Group& group) const;

    // formation
    void form_groups(Time now);
    const ModelShape* least_supplied(const std::set<std::string>& unformable) const;
    bool form_one(const ModelShape& model, Time now);
    Hosts best_domain(const ModelShape& model, Time now) const;
    Duration join_time(const EndpointReport& report, const ModelShape& model) const;
    Hosts across_domains(const ModelShape& model, Time now) const;
    void form(const ModelShape& shape, const Hosts& hosts, const std::string& why, Time now);
    static GroupKind kind_of(const Hosts& hosts, const ModelShape& model);
    void join_members(Group& group, Time now);
    void end_settled_groups(Time now);
    void stage_spares(Time now);
    void restage_stranded(Time now);
    double supply_ratio(const ModelShape& model) const;
    bool is_restaging(const std::string& domain, Time now) const;
    bool restage(const ModelShape& model, const Hosts& free, Time now);
    void stage(const EndpointReport& report, const ModelShape& model, const std::string& why,
               Time now);
    bool is_staging(const EndpointId& id, const std::string& model, Time now) const;
    void warm_spares(Time now);
    bool is_warming(const EndpointId& id) const;

    // moves of hosts between models
    void update_demand(Time now);
    ModelNeed need_of(const ModelShape& model) const;
    std::vector<ModelNeed> smoothed_needs() const;
    GroupCounts live_counts() const;
    void update_targets(Time now);
    void move_hosts(Time now);
    bool move_in_progress(Time now);
    Group* group_to_move(const std::string& model);
    void stage_moved(Time now);
    bool is_moved_to_other(const EndpointReport& report, const std::string& model) const;
    std::string model_to_stage(const EndpointReport& report, Time now) const;
    double staging_score(const EndpointReport& report, const ModelShape& model, Time now) const;
    std::size_t other_spares(const EndpointReport& report, const std::string& model,
                             Time now) const;
    std::vector<ColdHost> cold_hosts(Time now) const;
    bool assigned(const EndpointReport& report, const std::string& model) const;

    // queries
    bool has_left(const Group& group, const EndpointId& member) const;
    bool has_exited(const EndpointId& id, Time now) const;
    bool lead_stopped(const Group& group) const;
    bool binds_no_member(const Group& group, Time now) const;
    bool binds(const Group& group, const EndpointReport& member) const;
    bool alive(const EndpointId& id, Time now) const;
    bool is_free(const EndpointReport& report, Time now) const;
    bool staged(const EndpointReport& report, const std::string& model) const;
    const std::map<std::string, Hosts>& free_by_domain(Time now) const;
    Hosts free_hosts(Time now) const;
    const std::map<std::string, Hosts>& eligible_by_domain(const ModelShape& model, Time now) const;
    void remove_from_free(const EndpointReport& report);
    void reset_counts();
    const Hosts& hosts_in_domain(const std::string& domain) const;
    std::size_t target(const ModelShape& shape) const;
    static bool is_live(const Group& group, const std::string& model);
    bool is_out_of_use(const EndpointReport& report) const {
        return zones_out_of_use_.contains(report.zone);
    }
    bool wholly_out_of_use(const Group& group) const;
    bool is_leaving(const EndpointReport& report) const;
    const LiveGroups& live(const std::string& model) const;
    std::size_t live_groups(const std::string& model) const;
    std::size_t live_groups(const std::string& model, const std::string& domain) const;
    bool is_consolidating(const std::string& model) const;
    const ModelShape* shape(const std::string& model) const;

    EndpointOrder& order(OrderKind kind, const EndpointReport& report, const Group* group);
    const EndpointReport* report_of(const EndpointId& id) const;
    std::uint64_t next_number() { return (term_ << CounterBits) | ++counter_; }
    void add_event(std::string what, const std::string& group, const EndpointId& endpoint,
                   std::string why);

    // Hosts that start together register within one heartbeat interval of each other. The first
    // layout waits until no new one has registered for this long.
    static constexpr Duration SettleTime = std::chrono::milliseconds(1000);
    static constexpr Duration FormingSlack = std::chrono::milliseconds(1500);
    // Groups that bind no member are removed from the log in batches, by one entry a second.
    static constexpr Duration RemovalInterval = std::chrono::milliseconds(1000);
    // Bits for the orders and groups of one term. More of them would overflow into the next term.
    static constexpr unsigned CounterBits = 20;

    std::string service_;
    GroupPlannerConfig config_;
    EngineCost engine_;
    bool configured_ = false;
    // Requests may be absent only in the first run of the whole deployment. A control host that
    // restarts has received none yet; if that counted as absence, loads would start without a
    // limit.
    bool traffic_started_;
    std::uint64_t term_ = 0;
    std::uint64_t counter_ = 0;
    Time took_over_{};
    Time hosts_changed_{};
    std::size_t known_hosts_ = 0;                               // endpoints of the service
    const Registry* registry_ = nullptr;                        // of the last round
    std::map<EndpointId, std::vector<Epoch>> groups_by_member_; // groups that list it as a member
    // Computed once a round, since all decisions of the round use the same values.
    std::map<std::string, Hosts> hosts_by_domain_;             // endpoints of the service
    std::size_t serving_ = 0;                                  // live endpoints of the service
    mutable std::optional<std::map<std::string, Hosts>> free_; // by domain
    // Free hosts that can join a group of a model, by model and domain.
    mutable std::map<std::string, std::map<std::string, Hosts>> eligible_;
    mutable std::optional<std::map<std::string, LiveGroups>> live_; // by model
    std::set<std::string> zones_out_of_use_;
    std::map<Epoch, Group> groups_;
    std::map<EndpointId, Host> hosts_;
    std::set<std::string> models_opened_;          // models that have had an open group
    std::map<EndpointId, std::string> assignment_; // models of hosts that started without weights
    std::vector<ModelDemand> demand_;              // current, over all entry hosts
    SmoothedDemand smoothed_demand_;
    std::optional<GroupCounts> targets_; // by demand; empty while that is unknown
    Time targets_due_{};                 // next update
    GroupMove proposed_move_;            // that pays since move_proposed_
    Time move_proposed_{};
    Epoch moving_group_ = NoEpoch;            // closes so that its hosts can load another model
    std::map<EndpointId, std::string> moved_; // hosts that are to load this model
    Time moved_until_{};                      // the move is given up then
    LoadBudget loads_;
    GroupChanges changes_;
    Time removal_due_{}; // next removal of groups from the log
    std::vector<EndpointOrder> orders_;
    std::vector<EndpointId> probes_;
    std::vector<PlanEvent> events_;
};

} // namespace liftweir

#endif // GROUPPLANNER_H_INCLUDED
