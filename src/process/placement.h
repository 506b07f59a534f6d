// Placement of serving groups on hosts that run an agent, and their repair. Run by
// liftweir-control.

#ifndef PLACEMENT_H_INCLUDED
#define PLACEMENT_H_INCLUDED

#include "connection/wire.h"
#include "process/outage.h"
#include "process/timeline.h"
#include "version/state.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace liftweir {

// Priced chooses the cheapest repair, Rebuild never waits for a missing host, and Wait never loads
// weights to repair a group.
enum class PlacementPolicy : std::uint8_t { Priced, Rebuild, Wait };

// A model that the settings of a site ask for.
struct WantedModel {
    ModelSpec spec;
    std::size_t replicas = 0;
    std::size_t hosts_per_group = 4;
    double weight_mb = 1000;

    auto operator<=>(const WantedModel&) const = default;
};

// The settings of a site that control placement.
struct PlacementSettings {
    PlacementPolicy policy = PlacementPolicy::Priced;
    double downtime_weight = 1;
    double stranded_weight = 0.1;
    Duration silent_after = std::chrono::milliseconds(2000);
    OutagePrior outage;
    double store_mb_per_second = 1000;
    std::size_t loads_at_once = 2;
    Duration drain_timeout = std::chrono::seconds(120);
    std::vector<WantedModel> models;
};

PlacementSettings placement_settings(const SiteSettings& settings);

// What happens to a broken group.
enum class Repair : std::uint8_t {
    Wait,    // for its missing hosts
    Replace, // the missing hosts by spares of the domain
    Move,    // to a new group in another domain
    Merge,   // with the survivors of another broken group
    Leave    // dissolved without a replacement
};

std::string_view name_of(Repair repair);

// One way to repair a broken group, with its price.
struct RepairChoice {
    Repair repair = Repair::Wait;
    std::vector<HostName> members; // of the new group
    Epoch other = NoEpoch;         // the other broken group of a merge
    Duration downtime{};
    double stranded_accelerator_seconds = 0;
    double price = 0;
};

// The priced choices for a broken group.
struct RepairDecision {
    Epoch group = NoEpoch;
    std::vector<RepairChoice> choices; // cheapest first
    std::string reason;
};

// Decides which hosts form each group and how broken groups are repaired. Runs on the leading
// control host only. It works from observations that may be out of date, so its commands are
// checked again when they are applied.
class PlacementPlanner {
  public:
    // Starts a new leadership. Every host has the full silence timeout to report from now on.
    void reset(Time now);
    void observe(const AgentStatus& status, Time now);
    std::vector<Command> plan(const State& state,
                              const std::map<std::string, PlacementSettings>& by_site, Time now);

    bool silent(const Host& host, const PlacementSettings& settings, Time now) const;
    bool serving(Epoch epoch) const;
    const std::map<Epoch, RepairDecision>& decisions() const { return decisions_; }
    std::vector<Event> take_events();
    // Group seconds and live accelerator seconds lost so far, for the metrics.
    double downtime_seconds() const { return downtime_seconds_; }
    double stranded_accelerator_seconds() const { return stranded_seconds_; }

  private:
    struct HostView {
        AgentStatus status;
        Time last_status{};
        bool was_silent = false;
        Time silent_since{};
        Time gone_since{};                 // last end of its endpoint's process
        std::optional<ModelSpec> resident; // model whose weights its engine holds

        bool holds(const ModelSpec& spec) const {
            return resident && resident->model == spec.model && resident->version == spec.version;
        }
    };
    struct GroupView {
        bool open = false;
        bool ever_open = false;
        Time not_open_since{};
        Time draining_since{};
    };
    struct Pass; // one run of plan()

    void account_losses(const Pass& pass);
    void update_views(Pass& pass);
    void acknowledge_releases(Pass& pass);
    void finish_drains(Pass& pass);
    void drain_leaving(Pass& pass);
    void repair_broken(Pass& pass);
    void repair(Pass& pass, const Group& group, const std::vector<HostName>& missing);
    void dissolve_stuck(Pass& pass);
    void roll_out_versions(Pass& pass);
    void meet_targets(Pass& pass);

    RepairDecision price(Pass& pass, const Group& group, const std::vector<HostName>& missing);
    void price_replace(Pass& pass, const Group& group, const std::vector<HostName>& survivors,
                       Duration remaining, RepairDecision& out);
    void price_move(Pass& pass, const Group& group, double idle, Duration remaining,
                    RepairDecision& out);
    void price_merge(Pass& pass, const Group& group, const std::vector<HostName>& survivors,
                     Duration remaining, RepairDecision& out);
    std::vector<HostName> free_hosts(const Pass& pass, const std::string& domain,
                                     const ModelSpec& spec) const;
    std::optional<std::vector<HostName>> pick_domain(const Pass& pass, const WantedModel& wanted,
                                                     const std::string& not_domain) const;
    Duration load_time(const Pass& pass, const std::vector<HostName>& hosts,
                       const WantedModel& wanted) const;
    std::vector<HostName> missing_members(const Pass& pass, const Group& group) const;
    bool usable(const Pass& pass, const Host& host) const;
    bool has_left(const Group& group, const Host& host) const;
    bool is_reserved(const HostName& host) const;
    bool form(Pass& pass, const WantedModel& wanted, const std::vector<HostName>& hosts,
              const std::string& reason);
    void add_event(EventKind kind, const std::string& host, Epoch group, std::string detail);

    std::map<HostName, HostView> hosts_;
    std::map<Epoch, GroupView> groups_;
    std::map<Epoch, RepairDecision> decisions_;
    std::map<Epoch, std::vector<HostName>> reserved_; // hosts reserved for a repair, by old group
    OutageStats outages_;
    std::vector<Event> events_;
    Time started_{};
    Time accounted_{};
    double downtime_seconds_ = 0;
    double stranded_seconds_ = 0;
};

} // namespace liftweir

#endif // PLACEMENT_H_INCLUDED
