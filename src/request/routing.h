// Picks the endpoint for each attempt at liftweir-entry, by load, prompt prefix and latency.

#ifndef ROUTING_H_INCLUDED
#define ROUTING_H_INCLUDED

#include "process/clock.h"
#include "version/table.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace liftweir {

// What a request requires of its endpoint.
struct RouteQuery {
    std::string adapter;
    std::uint64_t prefix = 0;         // hash of the beginning of the prompt; 0 for none
    std::vector<std::uint64_t> avoid; // endpoints that failed this request, by target_id
    std::string model_version;        // required version; empty for any
    bool must_resume = false;
};

// Each thread has its own router, which reads only atomics and the table.
class Router {
  public:
    Router(std::string zone, std::uint64_t seed) : zone_(std::move(zone)), random_(seed) {}

    // Null if no endpoint is ready.
    const Target* pick(const std::vector<Target>& targets, const RoutingRules& rules,
                       const RouteQuery& query, Time now);

    // Targets to eject because they are slow relative to their peers, within the allowed share.
    static std::vector<const Target*> slow_targets(const std::vector<const Target*>& ready,
                                                   const RoutingRules& rules);

  private:
    std::vector<const Target*> ready_targets(const std::vector<Target>& targets,
                                             const RouteQuery& query, Time now) const;
    double load(const Target& target, Time now) const;
    const Target* by_prefix(const std::vector<const Target*>& ready, const RoutingRules& rules,
                            std::uint64_t prefix, Time now) const;
    const Target* less_loaded(const Target* a, const Target* b, Time now) const;

    std::string zone_;
    std::minstd_rand random_;
    std::size_t next_ = 0;
};

// Identifies an endpoint in one incarnation and epoch for the lifetime of its statistics.
std::uint64_t target_id(const Target& target);

// Adds a measured time to first token to the endpoint's smoothed statistics.
void record_first_token(TargetStats& stats, Duration first_token);
// Stores the load that an endpoint reported.
void record_queue_depth(TargetStats& stats, std::uint32_t running, std::uint32_t waiting, Time now);

// Hash of the part of a prompt that engines are likely to have cached.
std::uint64_t prefix_hash(std::string_view prompt);

} // namespace liftweir

#endif // ROUTING_H_INCLUDED
