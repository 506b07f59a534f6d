// The load of a serving group, and the forecast of how long one more request takes there.

#ifndef GROUPLOAD_H_INCLUDED
#define GROUPLOAD_H_INCLUDED

#include "process/clock.h"
#include "version/deployment.h"
#include "version/state.h"

#include <cstdint>
#include <msgpack.hpp>

namespace liftweir {

// What a request asks of an engine.
struct EngineDemand {
    std::uint32_t prompt_tokens = 0;
    bool low_priority = false; // requests of normal priority take precedence

    auto operator<=>(const EngineDemand&) const = default;
};

// An entry host's requests in flight at one group, and the group's speed as measured there.
struct GroupLoad {
    std::uint32_t decoding = 0;              // streams past their first event
    std::uint32_t prefilling = 0;            // requests before their first event
    std::uint64_t prefill_tokens = 0;        // prompt tokens of the prefilling requests
    std::uint32_t low_priority_requests = 0; // prefilling requests that have low priority
    std::uint64_t low_priority_tokens = 0;   // prompt tokens of the low-priority requests
    double measured_pass_ms = 0; // smoothed time between events; zero if not measured yet

    // Adds or removes one request that waits for the prefill of its prompt.
    void add_prefill(const EngineDemand& demand);
    void remove_prefill(const EngineDemand& demand);

    // Adds or subtracts the load of other entry hosts.
    void add(const GroupLoad& others);
    void subtract(const GroupLoad& others);
    bool idle() const { return decoding == 0 && prefilling == 0; }

    auto operator<=>(const GroupLoad&) const = default;
    MSGPACK_DEFINE(decoding, prefilling, prefill_tokens, low_priority_requests, low_priority_tokens)
};

// The load of one group by one entry host or by several together.
struct GroupLoadReport {
    Epoch epoch = NoEpoch;
    GroupLoad load;

    auto operator<=>(const GroupLoadReport&) const = default;
    MSGPACK_DEFINE(epoch, load)
};

// Forecast for one more request at a group.
struct LoadForecast {
    double first_event_ms = 0; // until the first event of one more request
    double pause_ms = 0;       // between two events of each stream of the group
    double in_flight = 0;      // estimated requests of all entry hosts

    auto operator<=>(const LoadForecast&) const = default;
};

// Longest time of one forward pass: all slots decode, and each step prefills a full chunk.
Duration longest_pass(const EngineCost& engine, const ModelShape& model);

// Forecasts one more request at a group. In each forward pass the engine prefills at most one chunk
// of prompts per step and decodes a few tokens of every stream. `others` is the load of all entry
// hosts at the group as a multiple of `load`.
LoadForecast forecast(const EngineCost& engine, const ModelShape& model, const GroupLoad& load,
                      const EngineDemand& demand, double others);

} // namespace liftweir

#endif // GROUPLOAD_H_INCLUDED
