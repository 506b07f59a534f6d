// Choice of an endpoint for each attempt at liftweir-entry.

#include "request/routing.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace liftweir {

namespace {

// Load reports lose weight with age: a queue depth from a second ago says little about an engine
// that answers tens of requests per second.
constexpr double DepthHalfLifeSeconds = 0.5;
// Another zone costs one or two milliseconds, about as much as half a queued request.
constexpr double OtherZonePenalty = 0.5;
constexpr double FirstTokenSmoothing = 0.2;
constexpr std::uint32_t MinSamples = 8;
// One request in this many may still go to an ejected endpoint, to detect its recovery.
constexpr unsigned ProbeOneIn = 50;
// Long enough to distinguish prompts, short enough to be equal for prompts of one template.
constexpr std::size_t PrefixBytes = 512;

double seconds(std::int64_t ns) {
    return static_cast<double>(ns) * 1e-9;
}

std::uint64_t rendezvous(std::uint64_t prefix, const Target& target) {
    return XXH64(&target.epoch, sizeof target.epoch,
                 prefix ^ XXH64(target.host.data(), target.host.size(), 0));
}

} // namespace

std::uint64_t target_id(const Target& target) {
    return reinterpret_cast<std::uintptr_t>(target.stats.get());
}

void record_first_token(TargetStats& stats, Duration first_token) {
    const double s = seconds(first_token.count());
    const double old = stats.first_token_s.load(std::memory_order_relaxed);
    const bool first = stats.samples.fetch_add(1, std::memory_order_relaxed) == 0;
    stats.first_token_s.store(first ? s : old * (1 - FirstTokenSmoothing) + s * FirstTokenSmoothing,
                              std::memory_order_relaxed);
}

void record_queue_depth(TargetStats& stats, std::uint32_t running, std::uint32_t waiting,
                        Time now) {
    stats.depth.store(running + waiting, std::memory_order_relaxed);
    stats.depth_at.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

std::uint64_t prefix_hash(std::string_view prompt) {
    const auto prefix = prompt.substr(0, PrefixBytes);
    return prefix.empty() ? 0 : XXH64(prefix.data(), prefix.size(), 1);
}

std::vector<const Target*> Router::ready_targets(const std::vector<Target>& targets,
                                                 const RouteQuery& query, Time now) const {
    std::vector<const Target*> out;
    const std::int64_t at = now.time_since_epoch().count();
    bool adapter_loaded = false;
    for (const Target& target : targets) {
        const TargetStats& stats = *target.stats;
        const bool avoided = std::find(query.avoid.begin(), query.avoid.end(), target_id(target)) !=
                             query.avoid.end();
        const bool ready = target.admits && stats.open.load(std::memory_order_relaxed) &&
                           stats.closed_until.load(std::memory_order_relaxed) <= at;
        const bool fits =
            (query.model_version.empty() || target.model.version == query.model_version) &&
            (!query.must_resume || stats.can_resume.load(std::memory_order_relaxed));
        if (avoided || !ready || !fits)
            continue;
        adapter_loaded |= target.has_adapter(query.adapter);
        out.push_back(&target);
    }
    if (adapter_loaded)
        std::erase_if(out, [&](const Target* t) { return !t->has_adapter(query.adapter); });
    return out;
}

// This host's own requests are known exactly, those of other entry hosts only from load reports.
double Router::load(const Target& target, Time now) const {
    const TargetStats& stats = *target.stats;
    const double own = stats.in_flight.load(std::memory_order_relaxed);
    const double depth = stats.depth.load(std::memory_order_relaxed);
    const double age =
        seconds(now.time_since_epoch().count() - stats.depth_at.load(std::memory_order_relaxed));
    const double others = std::max(0.0, depth - own) * std::exp2(-age / DepthHalfLifeSeconds);
    return own + others + (target.zone == zone_ ? 0 : OtherZonePenalty);
}

const Target* Router::less_loaded(const Target* a, const Target* b, Time now) const {
    return load(*b, now) < load(*a, now) ? b : a;
}

std::vector<const Target*> Router::slow_targets(const std::vector<const Target*>& ready,
                                                const RoutingRules& rules) {
    std::vector<const Target*> measured;
    for (const Target* target : ready)
        if (target->stats->samples.load(std::memory_order_relaxed) >= MinSamples)
            measured.push_back(target);
    const auto allowed =
        static_cast<std::size_t>(rules.ejection_share * static_cast<double>(ready.size()));
    if (!rules.ejection || measured.size() < 3 || allowed == 0)
        return {};
    const auto time_of = [](const Target* t) {
        return t->stats->first_token_s.load(std::memory_order_relaxed);
    };
    std::sort(measured.begin(), measured.end(),
              [&](const Target* a, const Target* b) { return time_of(a) > time_of(b); });
    const double median = time_of(measured[measured.size() / 2]);
    std::vector<const Target*> slow;
    for (const Target* target : measured)
        if (slow.size() < allowed && time_of(target) > rules.ejection_ratio * median)
            slow.push_back(target);
    return slow;
}

// Rendezvous hashing: a prefix maps to the same group while the groups stay the same, and if a
// group disappears only its prefixes move. The next group in the order replaces an overloaded one.
const Target* Router::by_prefix(const std::vector<const Target*>& ready, const RoutingRules& rules,
                                std::uint64_t prefix, Time now) const {
    double total = 0;
    for (const Target* target : ready)
        total += load(*target, now);
    const double bound =
        rules.affinity_load_bound * (total + 1) / static_cast<double>(ready.size()) + 1;
    const Target* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const Target* target : ready) {
        const std::uint64_t rank = rendezvous(prefix, *target);
        if (load(*target, now) <= bound && (best == nullptr || rank > best_rank)) {
            best = target;
            best_rank = rank;
        }
    }
    return best;
}

const Target* Router::pick(const std::vector<Target>& targets, const RoutingRules& rules,
                           const RouteQuery& query, Time now) {
    auto ready = ready_targets(targets, query, now);
    if (ready.empty())
        return nullptr;
    const auto slow = slow_targets(ready, rules);
    if (!slow.empty() && random_() % ProbeOneIn != 0)
        std::erase_if(ready, [&](const Target* t) {
            return std::find(slow.begin(), slow.end(), t) != slow.end();
        });
    if (rules.policy == RoutingPolicy::RoundRobin)
        return ready[next_++ % ready.size()];
    if (rules.policy == RoutingPolicy::LeastInFlight)
        return *std::min_element(ready.begin(), ready.end(), [](const Target* a, const Target* b) {
            return a->stats->in_flight.load() < b->stats->in_flight.load();
        });
    if (rules.prefix_affinity && query.prefix != 0)
        if (const Target* target = by_prefix(ready, rules, query.prefix, now))
            return target;
    const Target* first = ready[random_() % ready.size()];
    const Target* second = ready[random_() % ready.size()];
    return less_loaded(first, second, now);
}

} // namespace liftweir
