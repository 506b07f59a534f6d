// The operators' document of routes, services and customers, decoded, for deployments whose
// endpoints register themselves and whose callers use plain HTTP.

#ifndef DEPLOYMENT_H_INCLUDED
#define DEPLOYMENT_H_INCLUDED

#include "process/clock.h"
#include "process/failure.h"
#include "version/settings.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

enum class CallKind : std::uint8_t {
    Safe,     // may run more than once
    Unsafe,   // runs at most once for each request of a caller
    Streaming // the response is a stream of events
};

// Most hosts of one group.
constexpr std::uint32_t MaxGroupMembers = 1024;

struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;

    auto operator<=>(const WeightedService&) const = default;
};

struct Route {
    std::string name;
    std::string host;   // compared without regard to case
    std::string prefix; // begins and ends with a slash
    CallKind kind = CallKind::Unsafe;
    Duration timeout{};         // longest time that a call may wait for its response
    Duration latency_goal{};    // to the response, or to the first event of a stream
    Duration pause_goal{};      // longest pause between two events; zero if none is set
    std::uint32_t priority = 0; // 0 is most urgent
    std::vector<WeightedService> split;
    std::uint32_t max_attempts = 1; // endpoints that one call may be sent to
    bool needs_key = true;
    bool resumable = false; // a broken stream may be resumed at another endpoint

    auto operator<=>(const Route&) const = default;
    bool repeatable() const {
        return kind == CallKind::Safe || (kind == CallKind::Streaming && resumable);
    }
};

// A model and the properties of its groups.
struct ModelShape {
    std::string name;
    std::uint32_t size = 1; // hosts of one group
    double share = 1;       // initial share of the hosts
    double time_factor = 1; // factor on all engine times
    Duration load{};        // time to load the weights from the weight store
    Duration warm_join{};   // time to join a group with the weights already on the host

    auto operator<=>(const ModelShape&) const = default;
};

// Cost model of an engine. Times are for a `time_factor` of 1.
struct EngineCost {
    std::uint32_t slots = 1;          // requests that a group processes concurrently
    double step_ms = 0;               // time of one decoding step
    double step_ms_per_sequence = 0;  // added for each request that is being decoded
    double prefill_tokens_per_ms = 1; // prompt tokens that are prefilled in one millisecond
    std::uint32_t chunk = 1;          // most prompt tokens that one forward pass prefills
    std::uint32_t steps_per_pass = 1; // decoding steps of one forward pass, which yields an event
    double loads_per_second = 1;      // loads that may start, over all hosts
    std::uint32_t loads_at_once = 1;  // concurrent loads beyond this slow each other down
    Duration open_delay{};            // from the order to open until a group serves
    double cross_domain_factor = 1;   // factor on all times of a group in two fabric domains
    double usual_answer_tokens = 0;   // mean length of an answer; zero if unknown
    std::uint32_t max_staged_models = 1; // models that a host keeps on its disk
    std::vector<ModelShape> models;

    auto operator<=>(const EngineCost&) const = default;
    // The model with this name; null if there is none.
    const ModelShape* model(std::string_view name) const;
};

// Canonical form of a route's host and prefix: the host in lower case, and the prefix with a
// closing slash. Two routes with the same key conflict.
std::string route_key(const Route& route);
// A host name without its port, in lower case.
std::string canonical_host(std::string_view host);

// Endpoints that do the same work.
struct Service {
    std::string name;
    std::uint32_t max_connections = 1; // to one endpoint, from all entry hosts together
    std::optional<EngineCost> engine;  // empty for a plain service
    // Calls to an endpoint that has just started, from all entry hosts together; zero: no bound.
    double cold_calls_per_second = 0;

    auto operator<=>(const Service&) const = default;
};

// A customer and the API keys that identify its requests.
struct CustomerKeys {
    std::string name;
    std::vector<std::string> keys;
    std::uint32_t priority = 0;

    auto operator<=>(const CustomerKeys&) const = default;
};

// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4u << 20;
    Duration header_timeout = std::chrono::seconds(3);
    Duration idle_timeout = std::chrono::seconds(15);

    auto operator<=>(const CallerLimits&) const = default;
};

// One version of the document, decoded: all settings that operators change while the system runs.
struct Deployment {
    Version version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<CustomerKeys> customers; // if empty, no route needs a key
    CallerLimits limits;

    bool operator==(const Deployment&) const = default;
    // The service with this name; null if there is none.
    const Service* service(std::string_view name) const;
};

// Fails with BadSettings and names the first contradiction: a route to an unknown service, two
// routes with the same host and prefix, weights that sum to zero, a timeout of zero, a key that two
// customers share, a number of an engine that is out of range.
Expected<void> check(const Deployment& deployment);

} // namespace liftweir

#endif // DEPLOYMENT_H_INCLUDED
