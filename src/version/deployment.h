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

// One version of the operators' document of routes, services and customers, decoded and checked.
// Used where endpoints register themselves and callers speak plain HTTP (docs/design/platform.md).

enum class CallKind : std::uint8_t {
    Safe,     // may run more than once
    Unsafe,   // runs at most once for each attempt of a caller
    Streaming // answered by a stream of events
};

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
    Duration timeout{};         // longest time that a call may be held
    Duration latency_goal{};    // to the answer, or to the first event of a stream
    Duration pause_goal{};      // longest pause between two events; zero where none is set
    std::uint32_t priority = 0; // 0 is most urgent
    std::vector<WeightedService> split;
    std::uint32_t max_attempts = 1; // endpoints that one call may be sent to
    bool needs_key = true;
    bool resumable = false; // a broken stream may go on at another endpoint

    auto operator<=>(const Route&) const = default;
    bool repeatable() const {
        return kind == CallKind::Safe || (kind == CallKind::Streaming && resumable);
    }
};

// A model and the shape of its groups.
struct ModelShape {
    std::string name;
    std::uint32_t size = 1; // hosts of one group
    double share = 1;       // part of the hosts that it is worth at the start
    double pace = 1;        // factor on all engine times
    Duration load{};        // from the weight store
    Duration warm_join{};   // joining with the weights already on the host

    auto operator<=>(const ModelShape&) const = default;
};

// What an engine's work costs. Times are for pace 1.
struct EngineCost {
    std::uint32_t slots = 1;             // requests that a group works on at once
    double step_ms = 0;                  // one token step
    double step_ms_per_sequence = 0;     // more for each request that writes
    double read_tokens_per_ms = 1;       // prompt tokens
    std::uint32_t chunk = 1;             // prompt tokens read in one pass at most
    std::uint32_t steps_per_pass = 1;    // token steps in one pass, each pass an event
    double loads_per_second = 1;         // loads that may begin, over all hosts
    std::uint32_t loads_at_once = 1;     // more slow each other down
    Duration open_delay{};               // from the order to open until a group serves
    double cross_domain_factor = 1;      // on all times of a group whose hosts are in two domains
    std::uint32_t max_staged_models = 1; // models that a host keeps on its disk
    std::vector<ModelShape> models;

    auto operator<=>(const EngineCost&) const = default;
};

// Where a route lies, in one form: the host in lower case, and the path's beginning with a closing
// slash. Two routes of equal places are the same one.
std::string place_of(const Route& route);
// A host name without its port, in lower case.
std::string host_of(std::string_view host);

// Endpoints that do the same work.
struct Service {
    std::string name;
    std::uint32_t max_connections = 1; // one endpoint accepts so many from all entry hosts
    std::optional<EngineCost> engine;  // nothing for a plain service
    // An endpoint that has just started bears so many from all entry hosts; zero: no bound.
    double cold_calls_per_second = 0;

    auto operator<=>(const Service&) const = default;
};

// A customer, and the keys that show that a request comes from it.
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

// All settings that the operators change while the system runs: their document, decoded.
struct Deployment {
    Version version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<CustomerKeys> customers; // none: no route needs a key
    CallerLimits limits;

    bool operator==(const Deployment&) const = default;
    // Null where there is none of the name.
    const Service* service(std::string_view name) const;
};

// Fails with BadSettings and names the first contradiction: a route to an unknown service, two
// routes in one place, weights without a sum, a time limit of zero, a key of two customers.
Expected<void> check(const Deployment& deployment);

} // namespace liftweir

#endif // DEPLOYMENT_H_INCLUDED
