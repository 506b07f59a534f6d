#include "request/groupload.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

// A group may be slower than its figures: a slow member, or members in two domains. It is believed
// to be faster only by as much as an estimate of the others' load can be wrong.
constexpr double LeastSlowdown = 0.8;
constexpr double MostSlowdown = 20;

} // namespace

void GroupLoad::add_reading(const EngineDemand& demand) {
    ++prefilling;
    prefill_tokens += demand.prompt_tokens;
    if (!demand.low_priority)
        return;
    ++yielding;
    yielding_tokens += demand.prompt_tokens;
}

void GroupLoad::remove_reading(const EngineDemand& demand) {
    --prefilling;
    prefill_tokens -= demand.prompt_tokens;
    if (!demand.low_priority)
        return;
    --yielding;
    yielding_tokens -= demand.prompt_tokens;
}

void GroupLoad::add(const GroupLoad& others) {
    decoding += others.decoding;
    prefilling += others.prefilling;
    prefill_tokens += others.prefill_tokens;
    yielding += others.yielding;
    yielding_tokens += others.yielding_tokens;
}

void GroupLoad::take(const GroupLoad& others) {
    decoding -= others.decoding;
    prefilling -= others.prefilling;
    prefill_tokens -= others.prefill_tokens;
    yielding -= others.yielding;
    yielding_tokens -= others.yielding_tokens;
}

Duration longest_pass(const EngineCost& engine, const ModelShape& model) {
    const double step = engine.step_ms + engine.step_ms_per_sequence * engine.slots +
                        engine.chunk / engine.read_tokens_per_ms;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(model.pace * engine.steps_per_pass * step));
}

LoadForecast forecast(const EngineCost& engine, const ModelShape& model, const GroupLoad& load,
                      const EngineDemand& demand, double others) {
    // Those that let others go first are behind this one, unless it does so itself.
    const std::uint32_t prefilling = load.prefilling - (demand.low_priority ? 0 : load.yielding);
    const std::uint64_t prefill_tokens =
        load.prefill_tokens - (demand.low_priority ? 0 : load.yielding_tokens);
    const std::uint32_t prompt_tokens = demand.prompt_tokens;
    const double sequences = others * load.decoding + others * prefilling;
    const double unread = others * static_cast<double>(prefill_tokens);
    const double most_read = static_cast<double>(engine.chunk) * engine.steps_per_pass;
    const double read_in_pass = std::min(most_read, unread);
    const double steps =
        engine.steps_per_pass * (engine.step_ms + engine.step_ms_per_sequence * sequences);
    const double planned = model.pace * (steps + read_in_pass / engine.read_tokens_per_ms);
    const double slowdown =
        load.seen_pass_ms > 0 && planned > 0
            ? std::clamp(load.seen_pass_ms / planned, LeastSlowdown, MostSlowdown)
            : 1.0;
    const double full_pass = model.pace * (steps + std::min(most_read, unread + prompt_tokens) /
                                                       engine.read_tokens_per_ms);
    const double passes = std::ceil((unread + prompt_tokens) / std::max(1.0, most_read));
    LoadForecast out;
    out.in_flight = sequences;
    out.pause_ms = full_pass * slowdown;
    out.first_event_ms = (planned / 2 + passes * full_pass + model.pace * steps) * slowdown;
    return out;
}

} // namespace liftweir
