#ifndef DIRECTORY_H_INCLUDED
#define DIRECTORY_H_INCLUDED

#include "process/registry.h"
#include "request/coldpace.h"
#include "request/endpointlimits.h"
#include "request/groupload.h"
#include "request/leveling.h"
#include "request/stalldetector.h"
#include "version/routetable.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace liftweir {

// What this entry host knows of one endpoint beyond its report.
struct EndpointUse {
    GroupLoad load;
    StallDetector watch;
    std::uint32_t in_flight = 0;
    std::uint32_t failures = 0; // in a row
    Time avoid_until{};         // failed or stood still lately
    Time rest_until{};          // wants no request of this host
    Time leaving_since{};       // by its answers, whatever its report says
    ColdPace cold;

    bool avoided(Time now) const { return now < avoid_until; }
    bool rests(Time now) const { return now < rest_until; }
    bool leaves() const { return leaving_since != Time{}; }

    // An engine has got a request of this host, which should have its first event after so long.
    void sent(const EngineDemand& demand, Duration pass, Duration first_event, Time now);
    // An event came of it; `first` where it was its first one.
    void on_event(const EngineDemand& demand, bool first, Time now);
    // It is over; `wrote` where it had its first event.
    void ended(const EngineDemand& demand, bool wrote);
};

// What a request needs of an endpoint.
struct Demand {
    const Service* service = nullptr;
    std::string model; // empty for plain services
    EngineDemand engine;
    Duration latency_goal{}; // for the first event
    Duration waited{};       // by the caller, until now
};

// Why no endpoint was picked.
enum class PickFailure : std::uint8_t {
    NoneServes, // no group or endpoint takes requests now
    AllFull,    // one more would come too late, or be a connection too many, everywhere
    AllHeldBack // no endpoint wants another one yet, by its limit or for a rest
};

struct NoPick {
    PickFailure why = PickFailure::NoneServes;
    EndpointId soonest; // of those held back, the one that takes a request first
    Duration wait{};    // until it does

    auto operator<=>(const NoPick&) const = default;
    bool operator==(PickFailure failure) const { return why == failure; }
};

// The endpoint chosen for a request, and what the request should meet there.
struct Pick {
    EndpointId endpoint;
    std::string address;
    LoadForecast forecast;   // all zero for plain services
    Duration longest_pass{}; // of the group's engine
    Duration first_event{};  // until the first event, by the forecast
    Duration cold_every{};   // between two requests of this host, while the endpoint is cold
};

// The endpoints as one entry host sees them, and the choice among them.
class Directory {
  public:
    explicit Directory(std::uint64_t seed) : random_(seed) {}

    Registry& registry() { return registry_; }
    const Registry& registry() const { return registry_; }
    EndpointUse& use(const EndpointId& id) { return uses_[id]; }
    const std::map<EndpointId, EndpointUse>& uses() const { return uses_; }
    // How many times this host's own work all entry hosts have under way together.
    void set_fleet_load_ratio(double others) {
        others_ = others;
        limits_.set_own_part(1 / others);
    }
    EndpointLimits& limits() { return limits_; }
    // The endpoint wants no request of this host for so long.
    void back_off(const EndpointId& id, Duration rest, Time now);
    // The endpoint takes no new work any more. False where that was known.
    bool note_leaving(const EndpointId& id, Time now);
    // When a caller that met `none` should return; zero where nothing is known of that. Callers are
    // told different moments.
    Duration return_after(const NoPick& none, Time now);
    // What this host has under way, by group.
    std::vector<GroupLoadReport> own_load() const;
    // What the other entry hosts had under way a moment ago. Old figures are not used.
    void set_load_of_others(const std::vector<GroupLoadReport>& shares, Duration every, Time now);
    // A prompt has left for a group of the model.
    void note_sent(const std::string& model, std::uint32_t prompt_tokens, Time now) {
        sent_tokens_[model].add(prompt_tokens, now);
    }
    // Control has given these groups up, whatever their leads said last.
    void dissolve(const std::vector<Epoch>& epochs) {
        dissolved_.insert(epochs.begin(), epochs.end());
    }
    // Forgets endpoints that are gone and have nothing of this host under way.
    void expire(Time now);

    // Endpoints in `tried` are left out.
    tl::expected<Pick, NoPick> pick(const Demand& demand, const std::set<EndpointId>& tried,
                                    Time now);
    // How many connections this host may have with one endpoint of the service.
    std::uint32_t connections_allowed(const Service& service) const;
    // The endpoint failed a request, or took no connection.
    void failed(const EndpointId& id, Time now);
    void succeeded(const EndpointId& id) { uses_[id].failures = 0; }

  private:
    tl::expected<Pick, NoPick> pick_group(const Demand& demand, const std::set<EndpointId>& tried,
                                          Time now);
    tl::expected<Pick, NoPick> pick_plain(const Demand& demand, const std::set<EndpointId>& tried,
                                          Time now);

    // The model's shape as the lead's group runs it.
    ModelShape shape_at(const EndpointReport& lead, ModelShape shape,
                        const EngineCost& engine) const;
    // A group that takes the request, and how long it is until one more has its first event and
    // between events.
    struct Candidate {
        Pick pick;
        double level_ms = 0;
    };
    // A lead, and what is known of it here.
    struct Lead {
        const EndpointReport* report = nullptr;
        EndpointUse* use = nullptr;
    };
    using Leads = std::vector<Lead>;

    // Whether the groups are judged by what the other hosts have there, too.
    bool counts_others(const Leads& leads, Time now) const;
    // How long this host waits between two requests to the endpoint; zero where it is not cold.
    Duration cold_every(const EndpointReport& report, const Service& service) const;
    // Whether the endpoint may get a request now, by what a cold one bears.
    bool is_warm_enough(EndpointUse& use, Duration every, Time now);
    // How long the endpoint wants no request of this host, by its limit or for a rest.
    Duration held_back(const EndpointId& id, Time now);
    // Endpoints that were left out, since they want no request yet or for another reason.
    class LeftOut {
      public:
        void add(const EndpointId& endpoint, Duration held_back);
        void add_full() { any_full_ = true; }
        // It failed lately, and may serve at any moment.
        void add_avoided() { any_avoided_ = true; }
        NoPick no_pick() const;

      private:
        bool any_full_ = false;
        bool any_avoided_ = false;
        EndpointId soonest_;
        Duration wait_{};
    };
    // Leads of groups of the model that serve, as far as is known, and were not tried.
    Leads serving_leads(const Demand& demand, const std::set<EndpointId>& tried, Time now,
                        LeftOut& left_out);
    // What the request would meet at the group.
    LoadForecast forecast_at(const Lead& lead, const ModelShape& model, const EngineCost& engine,
                             const EngineDemand& demand, bool with_others) const;
    const Candidate& lowest_of(const std::vector<Candidate>& candidates);
    const Candidate& levelling(const std::vector<Candidate>& candidates, const ModelShape& model,
                               const EngineCost& engine, Time now);

    Registry registry_{false};
    std::map<EndpointId, EndpointUse> uses_;
    std::minstd_rand random_;
    double others_ = 1;
    std::map<Epoch, GroupLoad> others_at_; // what the other hosts have at each group
    Time others_told_{};
    Duration others_every_{};
    std::map<std::string, ArrivalRate> sent_tokens_; // prompt tokens that left here, by model
    std::set<Epoch> dissolved_;
    EndpointLimits limits_;
};

} // namespace liftweir

#endif // DIRECTORY_H_INCLUDED
