#ifndef ROUTING_H_INCLUDED
#define ROUTING_H_INCLUDED

#include "process/clock.h"
#include "version/table.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace liftweir {

// What a choice of endpoint depends on.
struct RouteQuery {
    std::string adapter;
    std::uint64_t prefix = 0;         // hash of the prompt's beginning; 0 for none
    std::vector<std::uint64_t> avoid; // endpoints that failed this request, by target_id
    std::string model_version;        // needed version; empty for any
    bool must_resume = false;
};

// Picks the endpoint for one attempt. One per thread; reads only atomics and the table.
class Router {
  public:
    Router(std::string zone, std::uint64_t seed) : zone_(std::move(zone)), random_(seed) {}

    // Null where no endpoint is ready.
    const Target* pick(const std::vector<Target>& targets, const RoutingRules& rules,
                       const RouteQuery& query, Time now);

    // Marks as ejected, within the allowed share, what is slow relative to its peers.
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

// Names an endpoint in one incarnation and epoch, for as long as its statistics live.
std::uint64_t target_id(const Target& target);

// Smooths a measured time to the first token into the endpoint's statistics.
void record_first_token(TargetStats& stats, Duration first_token);
// Takes over an endpoint's own report of its load.
void record_queue_depth(TargetStats& stats, std::uint32_t running, std::uint32_t waiting, Time now);

// Hash of the part of a prompt that engines are likely to have cached.
std::uint64_t prefix_hash(std::string_view prompt);

} // namespace liftweir

#endif // ROUTING_H_INCLUDED
