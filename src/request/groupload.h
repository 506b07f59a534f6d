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
    bool low_priority = false; // it waits behind all that do not

    auto operator<=>(const EngineDemand&) const = default;
};

// What an entry host has under way at one group, and what it has seen of the group's speed.
struct GroupLoad {
    std::uint32_t decoding = 0;        // streams past their first event
    std::uint32_t prefilling = 0;      // requests before their first event
    std::uint64_t prefill_tokens = 0;  // prompt tokens of those
    std::uint32_t yielding = 0;        // of those, requests that let others go first
    std::uint64_t yielding_tokens = 0; // prompt tokens of these
    double seen_pass_ms = 0;           // smoothed time between events; zero where none was seen

    // One request more, or one less, whose prompt waits to be read.
    void add_reading(const EngineDemand& demand);
    void remove_reading(const EngineDemand& demand);

    // The work of other hosts beside it, or without it.
    void add(const GroupLoad& others);
    void take(const GroupLoad& others);
    bool idle() const { return decoding == 0 && prefilling == 0; }

    auto operator<=>(const GroupLoad&) const = default;
    MSGPACK_DEFINE(decoding, prefilling, prefill_tokens, yielding, yielding_tokens)
};

// The load that one entry host, or several together, put on a group.
struct GroupLoadReport {
    Epoch epoch = NoEpoch;
    GroupLoad load;

    auto operator<=>(const GroupLoadReport&) const = default;
    MSGPACK_DEFINE(epoch, load)
};

// What one more request should meet at a group.
struct LoadForecast {
    double first_event_ms = 0; // until the first event of one more request
    double pause_ms = 0;       // between events of all streams of the group then
    double in_flight = 0;      // requests of all entry hosts, estimated

    auto operator<=>(const LoadForecast&) const = default;
};

// Longest time that one pass can take: all places write, and every step reads a full chunk.
Duration longest_pass(const EngineCost& engine, const ModelShape& model);

// Predicts what one more request meets at a group. The engine makes passes: in each it reads at
// most a chunk of prompts at each of its steps and writes a few tokens of every stream. `others` is
// how many times this host's own work all entry hosts have there together.
LoadForecast forecast(const EngineCost& engine, const ModelShape& model, const GroupLoad& load,
                      const EngineDemand& demand, double others);

} // namespace liftweir

#endif // GROUPLOAD_H_INCLUDED
