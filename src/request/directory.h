// Chooses an endpoint for each request of an entry host whose endpoints register themselves
// (liftweir-site-entry), by the load, limits and recent failures that this host knows of.

#ifndef DIRECTORY_H_INCLUDED
#define DIRECTORY_H_INCLUDED

#include "process/registry.h"
#include "request/appointments.h"
#include "request/coldpace.h"
#include "request/endpointlimits.h"
#include "request/groupload.h"
#include "request/leveling.h"
#include "request/stalldetector.h"
#include "request/zoneuse.h"
#include "version/routetable.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace liftweir {

// What this entry host knows of one endpoint beyond the endpoint's registration report.
struct EndpointUse {
    GroupLoad load;
    StallDetector stall_detector;
    std::uint32_t in_flight = 0;
    std::uint32_t failures = 0; // consecutive ones
    Time avoid_until{};         // after a recent failure or stall
    Time backoff_until{};       // the endpoint requested back-off until then
    Time leaving_since{};       // the endpoint announced its shutdown in a response
    ColdPace cold;

    bool avoided(Time now) const { return now < avoid_until; }
    bool backs_off(Time now) const { return now < backoff_until; }
    bool is_leaving() const { return leaving_since != Time{}; }

    // A request of this host was sent to the engine, whose forward pass takes `pass` at most; its
    // first event is expected after `first_event`.
    void sent(const EngineDemand& demand, Duration pass, Duration first_event, Time now);
    // The request received an event; `first` if it is its first one.
    void on_event(const EngineDemand& demand, bool first, Time now);
    // The request ended; `had_event` if it had received its first event.
    void ended(const EngineDemand& demand, bool had_event);
};

// What a request needs from an endpoint.
struct Demand {
    const Service* service = nullptr;
    std::string model; // empty for plain services
    EngineDemand engine;
    Duration latency_goal{}; // until the first event
    Duration waited{};       // how long the caller has been waiting
    Duration time_left{};    // until the caller gives up; zero once its response has started
    CallerReturn caller = CallerReturn::New;
};

// Why no endpoint was picked.
enum class PickFailure : std::uint8_t {
    NoneInService, // no group or endpoint accepts requests now
    AllFull,       // each would answer too late, or has no free slot or connection
    AllThrottled   // each is at its rate limit or has requested back-off
};

// Why and for how long no endpoint can be picked.
struct NoPick {
    PickFailure why = PickFailure::NoneInService;
    EndpointId soonest; // the throttled endpoint that accepts a request first
    Duration wait{};    // until it does

    auto operator<=>(const NoPick&) const = default;
    bool operator==(PickFailure failure) const { return why == failure; }
};

// The endpoint chosen for a request, with the forecast that led to the choice.
struct Pick {
    EndpointId endpoint;
    std::string address;
    LoadForecast forecast;    // all zero for plain services
    Duration longest_pass{};  // longest forward pass of the group's engine
    Duration first_event{};   // forecast time until the first event
    Duration cold_interval{}; // between two requests of this host, while the endpoint is cold
};

// The endpoints that one entry host knows, and the choice among them.
class Directory {
  public:
    explicit Directory(std::uint64_t seed) : random_(seed) {}

    Registry& registry() { return registry_; }
    const Registry& registry() const { return registry_; }
    EndpointUse& use(const EndpointId& id) { return uses_[id]; }
    const std::map<EndpointId, EndpointUse>& uses() const { return uses_; }
    // Sets the load of all entry hosts together as a multiple of this host's own load.
    void set_total_load_ratio(double ratio) {
        total_load_ratio_ = ratio;
        limits_.set_own_share(1 / ratio);
    }
    EndpointLimits& limits() { return limits_; }
    ZoneUse& zones() { return zones_; }
    const ZoneUse& zones() const { return zones_; }
    // The endpoint requested back-off: it gets no request from this host for that time.
    void back_off(const EndpointId& id, Duration rest, Time now);
    // The endpoint announced its shutdown and accepts no new requests. False if that was known.
    bool mark_leaving(const EndpointId& id, Time now);
    // Retry-After for a caller whose request found no endpoint; zero where nothing is known. The
    // delays differ, so that the callers do not return at the same moment.
    Duration retry_delay(const NoPick& none, Time now);
    // This host's requests in flight, by group.
    std::vector<GroupLoadReport> own_load() const;
    // Stores the load of the other entry hosts as control reported it; reports are expected once
    // per `interval`, and outdated ones are ignored.
    void set_load_of_others(const std::vector<GroupLoadReport>& group_loads, Duration interval,
                            Time now);
    // A prompt was sent to a group of the model.
    void note_sent(const std::string& model, std::uint32_t prompt_tokens, Time now) {
        sent_tokens_[model].add(prompt_tokens, now);
        sent_requests_[model].add(1, now);
    }
    // Control dissolved these groups; what their leads reported last no longer counts.
    void dissolve(const std::vector<Epoch>& epochs) {
        dissolved_.insert(epochs.begin(), epochs.end());
    }
    // Time for the retry of a caller that found all groups full. `opens_in` is the time until the
    // next group of the model opens; zero if unknown.
    BookedRetry book_retry(const Demand& demand, Duration opens_in, Time now);
    // Forgets endpoints that the registry has dropped and that have no request of this host.
    void expire(Time now);

    // Picks an endpoint that is not in `tried`.
    tl::expected<Pick, NoPick> pick(const Demand& demand, const std::set<EndpointId>& tried,
                                    Time now);
    // How many connections this host may open to one endpoint of the service.
    std::uint32_t connections_allowed(const Service& service) const;
    // The endpoint failed a request or did not accept a connection.
    void failed(const EndpointId& id, Time now);
    void succeeded(const EndpointId& id) { uses_[id].failures = 0; }

  private:
    tl::expected<Pick, NoPick> pick_group(const Demand& demand, const std::set<EndpointId>& tried,
                                          Time now);
    tl::expected<Pick, NoPick> pick_plain(const Demand& demand, const std::set<EndpointId>& tried,
                                          Time now);

    // The model's cost figures for the lead's group, which may span fabric domains.
    ModelShape shape_at(const EndpointReport& lead, ModelShape shape,
                        const EngineCost& engine) const;
    // A group that admits the request. The level is the mean of the forecast time until the first
    // event and the forecast time between two events.
    struct Candidate {
        Pick pick;
        double level_ms = 0;
    };
    // A lead's registration report, and what this host knows of the lead.
    struct Lead {
        const EndpointReport* report = nullptr;
        EndpointUse* use = nullptr;
    };
    using Leads = std::vector<Lead>;

    // Whether forecasts use the reported load of the other entry hosts.
    bool uses_load_of_others(const Leads& leads, Time now) const;
    // Time between two requests of this host to a cold endpoint; zero if it is not cold.
    Duration cold_interval(const EndpointReport& report, const Service& service) const;
    // Whether the request rate of a cold endpoint permits a request now.
    bool cold_pace_allows(EndpointUse& use, Duration interval, Time now);
    // Time until this host may send to the endpoint, by the endpoint's rate limit and back-off.
    Duration throttled_for(const EndpointId& id, Time now);
    // Collects why endpoints were excluded from a choice, to explain a failed one.
    class Excluded {
      public:
        void add(const EndpointId& endpoint, Duration throttled_for);
        void add_full() { any_full_ = true; }
        // An endpoint that failed recently may serve again at any moment.
        void add_avoided() { any_avoided_ = true; }
        NoPick no_pick() const;

      private:
        bool any_full_ = false;
        bool any_avoided_ = false;
        EndpointId soonest_;
        Duration wait_{};
    };
    // Leads of groups that serve the model, as far as this host knows, and are not in `tried`.
    Leads serving_leads(const Demand& demand, const std::set<EndpointId>& tried, Time now,
                        Excluded& excluded);
    // Forecast for one more request at the group.
    LoadForecast forecast_at(const Lead& lead, const ModelShape& model, const EngineCost& engine,
                             const EngineDemand& demand, bool with_others) const;
    // Mean prompt length in tokens of the requests that this host sent lately; the request's own
    // one if there are none.
    double mean_prompt(const Demand& demand, Time now) const;
    // What the admission of the request assumes that it asks for.
    EngineDemand admission_demand(const Demand& demand, Time now) const;
    // Adds the booked retries that are due now, which the groups of the model share.
    void add_due_retries(LoadForecast& predicted, const Demand& demand, const ModelShape& model,
                         std::size_t groups, Time now) const;
    const Candidate& choose_lowest(const std::vector<Candidate>& candidates);
    const Candidate& choose_levelled(const std::vector<Candidate>& candidates,
                                     const ModelShape& model, const EngineCost& engine,
                                     const EngineDemand& demand, Time now);

    Registry registry_{false};
    std::map<EndpointId, EndpointUse> uses_;
    std::minstd_rand random_;
    double total_load_ratio_ = 1;
    std::map<Epoch, GroupLoad> load_of_others_; // of the other entry hosts, by group
    Time load_of_others_received_{};
    Duration load_report_interval_{};
    std::map<std::string, ArrivalRate> sent_tokens_; // prompt tokens that this host sent, by model
    std::map<std::string, ArrivalRate> sent_requests_; // that this host sent, by model
    RetryBook retries_;
    std::set<Epoch> dissolved_;
    EndpointLimits limits_;
    ZoneUse zones_;
};

} // namespace liftweir

#endif // DIRECTORY_H_INCLUDED
