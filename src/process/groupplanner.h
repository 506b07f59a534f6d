#ifndef GROUPPLANNER_H_INCLUDED
#define GROUPPLANNER_H_INCLUDED

#include "process/endpointorder.h"
#include "process/firstlayout.h"
#include "process/loadbudget.h"
#include "process/registry.h"
#include "version/deployment.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace liftweir {

// A decision of the planner, for the log.
struct PlanEvent {
    std::string what; // formed, opened, dissolved, staged, ...
    std::string group;
    EndpointId endpoint;
    std::string why;

    auto operator<=>(const PlanEvent&) const = default;
};

// What the planner needs of the settings.
struct GroupPlannerConfig {
    Duration beat = std::chrono::milliseconds(1200); // between two reports of an endpoint
    Duration load_window = std::chrono::seconds(5);

    auto operator<=>(const GroupPlannerConfig&) const = default;
};

// What the replicated log has to hold of the planner's groups before it goes on.
struct GroupChanges {
    PlannedGroups formed;     // no member is ordered before this is committed
    std::vector<Epoch> ended; // bind nobody any more

    auto operator<=>(const GroupChanges&) const = default;
    bool empty() const { return formed.empty() && ended.empty(); }
};

// Decides which hosts form the groups of one service whose endpoints register themselves and take
// fenced orders. Which groups there may be it knows from the replicated log, how they fare from the
// endpoints' own reports, so that any control host can go on from where the last leader stopped.
// Pure: no I/O, no clock but the times it is given.
class GroupPlanner {
  public:
    GroupPlanner(std::string service, GroupPlannerConfig bounds, bool first_start);

    // The operators' figures for the engine; nothing is planned before the first ones.
    void configure(const EngineCost& engine);
    // Every change of a report, on every control host, whether it leads or not.
    void observe(const EndpointReport& report, Time now);
    // This host leads from now on. Epochs and fences of a higher term are higher. `recorded` are
    // all groups that any leader before may have ordered; `several_recent_leaders` tells that more
    // than one may have begun loads within the last window.
    void take_over(std::uint64_t term, Time now, const PlannedGroups& recorded = {},
                   bool several_recent_leaders = false);
    // Callers' requests have begun: loads are slow, priced and limited from now on.
    void traffic_began() { traffic_ = true; }
    // An entry host sees all streams of a group stand still.
    void suspect(Epoch epoch, Time now);

    // One round: the orders that should go out now. Each is to be followed by answered().
    std::vector<EndpointOrder> plan(const Registry& registry, Time now);
    // What of the last round should be in the log. To be followed by recorded().
    GroupChanges take_changes() { return std::exchange(changes_, {}); }
    // The changes are committed: the orders that waited for it.
    std::vector<EndpointOrder> recorded(const GroupChanges& changes, const Registry& registry,
                                        Time now);
    // Endpoints that should be asked for a report now.
    std::vector<EndpointId> take_probes();
    // What became of an order, and of a probe.
    void answered(const EndpointOrder& order, OrderAnswer answer, Time now);
    void probed(const EndpointId& id, bool alive, Time now);
    // Decisions since the last call.
    std::vector<PlanEvent> take_events() { return std::exchange(events_, {}); }

    // Groups given up whose leads, by their last reports, still serve.
    std::vector<Epoch> dissolved(const Registry& registry) const;
    // One line for the log: groups per model, and free hosts by the model on their disk.
    std::string layout(const Registry& registry, Time now);

  private:
    enum class Phase : std::uint8_t {
        Proposed, // not ordered before the log has it
        Forming,
        Open,
        Closing,
        Dead
    };
    using Hosts = std::vector<const EndpointReport*>;

    struct Group {
        Epoch epoch = NoEpoch;
        std::string name;
        std::string model;
        std::vector<EndpointId> members; // by rank; empty where not yet known
        Phase phase = Phase::Forming;
        Time since{};         // begin of the phase
        bool ours = false;    // formed by this host in this term
        bool warm_up = false; // one host alone, only to have the weights in its memory
        bool may_have_opened = true;
        bool gathering = false;    // closes for one within a domain
        bool closed = false;       // in service before, and the lead says that it is no more
        bool logged = false;       // the log holds it
        bool ending = false;       // the log is asked to drop it
        std::set<EndpointId> told; // members that have told of it
        std::set<EndpointId> out;  // members that are in it no more, and can not be again
        Time open_due{};           // the lead is told again to open if it has not by then
        Time expected{};           // when a forming group should be ready
        Time suspected{};
        Time probed{};                // begin of the last round of probes
        std::set<EndpointId> awaited; // probes without an answer
        int sound_rounds = 0;         // rounds in which all answered though nothing moved
    };

    // Live groups of one model, by the domain of their leads.
    struct LiveGroups {
        std::size_t all = 0;
        std::map<std::string, std::size_t> by_domain;
    };

    struct Host {
        std::string warm;    // model that it could join at once
        Time silent_until{}; // did not answer an order or a probe
        Time staging_until{};
        std::string staging;
        bool ordered = false; // an order is under way
        Epoch seen = NoEpoch; // highest that it is known to have joined: it refuses lower ones
    };

    Group& group_of(const Membership& membership, Time now);
    Group& adopt(Epoch epoch, const PlannedGroup& recorded, Time now);
    void note_departures(const EndpointReport& report);
    void note_member(const EndpointId& id, Epoch epoch);
    void forget_old_groups(Time now);
    void begin_round(const Registry& registry, Time now);

    // progress of groups
    void advance(Group& group, Time now);
    void advance_forming(Group& group, Time now);
    void advance_foreign(Group& group, Time now);
    void advance_open(Group& group, Time now);
    void advance_dead(Group& group, Time now);
    void probe_if_suspected(Group& group, Time now);
    void bury(Group& group, const std::string& why, Time now);
    void bury_if_replaced(Group& group, Time now);
    Time forming_due(const Group& group, const ModelShape& model) const;
    bool replaceable(const Group& group, Time now) const;
    void open(Group& group, const EndpointReport& lead, Time now);
    void close(Group& group, const EndpointReport& lead, const std::string& why, Time now);
    void close_if_leaving(Group& group, const EndpointReport* lead, Time now);
    void gather(Group& group, Time now);
    bool spans_domains(const Group& group) const;

    // formation
    void form_groups(Time now);
    const ModelShape* neediest(const std::set<std::string>& hopeless) const;
    bool form_one(const ModelShape& model, Time now);
    Hosts best_domain(const ModelShape& model, Time now) const;
    Duration join_time(const EndpointReport& report, const ModelShape& model) const;
    Hosts across_domains(const ModelShape& model, Time now) const;
    void form(const ModelShape& shape, const Hosts& hosts, const std::string& why, Time now);
    void join_members(Group& group, Time now);
    void end_settled_groups(Time now);
    void stage_spares(Time now);
    void restage_stranded(Time now);
    double supply(const ModelShape& model) const;
    bool is_restaging(const std::string& domain, Time now) const;
    bool restage(const ModelShape& model, const Hosts& free, Time now);
    void stage(const EndpointReport& report, const ModelShape& model, const std::string& why,
               Time now);
    bool is_staging(const EndpointId& id, const std::string& model, Time now) const;
    void warm_spares(Time now);
    bool is_warming(const EndpointId& id) const;
    std::string model_to_stage(const EndpointReport& report, Time now) const;
    double staging_score(const EndpointReport& report, const ModelShape& model, Time now) const;
    std::size_t spares_beside(const EndpointReport& report, const std::string& model,
                              Time now) const;
    std::vector<ColdHost> cold_hosts(Time now) const;
    bool assigned(const EndpointReport& report, const std::string& model) const;

    // facts
    bool is_out(const Group& group, const EndpointId& member) const;
    bool has_ended(const EndpointId& id, Time now) const;
    bool lead_is_out(const Group& group) const;
    bool binds_nobody(const Group& group, Time now) const;
    bool binds(const Group& group, const EndpointReport& member) const;
    bool alive(const EndpointId& id, Time now) const;
    bool is_free(const EndpointReport& report, Time now) const;
    bool staged(const EndpointReport& report, const std::string& model) const;
    const std::map<std::string, Hosts>& free_by_domain(Time now) const;
    Hosts free_hosts(Time now) const;
    const std::map<std::string, Hosts>& fit_by_domain(const ModelShape& model, Time now) const;
    void no_longer_free(const EndpointReport& report);
    void recount();
    const Hosts& hosts_in(const std::string& domain) const;
    std::size_t target(const ModelShape& shape) const;
    static bool is_live(const Group& group, const std::string& model);
    const LiveGroups& live(const std::string& model) const;
    std::size_t live_groups(const std::string& model) const;
    std::size_t live_groups(const std::string& model, const std::string& domain) const;
    bool is_gathering(const std::string& model) const;
    const ModelShape* shape(const std::string& model) const;

    EndpointOrder& order(OrderKind kind, const EndpointReport& report, const Group* group);
    const EndpointReport* report_of(const EndpointId& id) const;
    std::uint64_t next_number() { return (term_ << CounterBits) | ++counter_; }
    void note(std::string what, const std::string& group, const EndpointId& endpoint,
              std::string why);

    // Hosts register within one beat of each other; the layout waits until no new one has come for
    // so long.
    static constexpr Duration SettleTime = std::chrono::milliseconds(1000);
    static constexpr Duration FormingSlack = std::chrono::milliseconds(1500);
    // Groups that bind nobody leave the log together, with one entry a second.
    static constexpr Duration EndEvery = std::chrono::milliseconds(1000);
    // Orders and groups of one term; a term with more is ended by an overflow into the next.
    static constexpr unsigned CounterBits = 20;

    std::string service_;
    GroupPlannerConfig bounds_;
    EngineCost engine_;
    bool configured_ = false;
    // Only in the first life of the whole system may there be none yet. A control host that comes
    // back has not heard of any: taken for none, it let loads begin without a bound.
    bool traffic_;
    std::uint64_t term_ = 0;
    std::uint64_t counter_ = 0;
    Time took_over_{};
    Time hosts_changed_{};
    std::size_t hosts_known_ = 0;                        // endpoints of the service
    const Registry* registry_ = nullptr;                 // of the last round
    std::map<EndpointId, std::vector<Epoch>> groups_of_; // groups that named an endpoint a member
    // Counted once a round, since each decision of it asks for the same.
    std::map<std::string, Hosts> in_domain_;                   // endpoints of the service
    std::size_t serving_ = 0;                                  // live ones of them
    mutable std::optional<std::map<std::string, Hosts>> free_; // by domain
    // Those of them that could join a group of a model, by model and domain.
    mutable std::map<std::string, std::map<std::string, Hosts>> fit_;
    mutable std::optional<std::map<std::string, LiveGroups>> live_; // by model
    std::map<Epoch, Group> groups_;
    std::map<EndpointId, Host> hosts_;
    std::set<std::string> ever_open_;              // models
    std::map<EndpointId, std::string> assignment_; // models of hosts that began empty
    LoadBudget loads_;
    GroupChanges changes_;
    Time ended_due_{}; // groups that bind nobody are told of
    std::vector<EndpointOrder> orders_;
    std::vector<EndpointId> probes_;
    std::vector<PlanEvent> events_;
};

} // namespace liftweir

#endif // GROUPPLANNER_H_INCLUDED
