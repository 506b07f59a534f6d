// Load of a serving group, and the forecast for one more request.

#include "request/groupload.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

// A group may be slower than its cost model, with a slow member or members in two fabric domains.
// It is assumed faster only by the error that the estimated load of other entry hosts can have.
constexpr double MinSlowdown = 0.8;
constexpr double MaxSlowdown = 20;

} // namespace

void GroupLoad::add_prefill(const EngineDemand& demand) {
    ++prefilling;
    prefill_tokens += demand.prompt_tokens;
    if (!demand.low_priority)
        return;
    ++low_priority_requests;
    low_priority_tokens += demand.prompt_tokens;
}

void GroupLoad::remove_prefill(const EngineDemand& demand) {
    --prefilling;
    prefill_tokens -= demand.prompt_tokens;
    if (!demand.low_priority)
        return;
    --low_priority_requests;
    low_priority_tokens -= demand.prompt_tokens;
}

void GroupLoad::add(const GroupLoad& others) {
    decoding += others.decoding;
    prefilling += others.prefilling;
    prefill_tokens += others.prefill_tokens;
    low_priority_requests += others.low_priority_requests;
    low_priority_tokens += others.low_priority_tokens;
}

void GroupLoad::subtract(const GroupLoad& others) {
    decoding -= others.decoding;
    prefilling -= others.prefilling;
    prefill_tokens -= others.prefill_tokens;
    low_priority_requests -= others.low_priority_requests;
    low_priority_tokens -= others.low_priority_tokens;
}

Duration longest_pass(const EngineCost& engine, const ModelShape& model) {
    const double step = engine.step_ms + engine.step_ms_per_sequence * engine.slots +
                        engine.chunk / engine.prefill_tokens_per_ms;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
        model.time_factor * engine.steps_per_pass * step));
}

LoadForecast forecast(const EngineCost& engine, const ModelShape& model, const GroupLoad& load,
                      const EngineDemand& demand, double others) {
    // Low-priority requests are served after this one, unless it has low priority as well.
    const std::uint32_t prefilling =
        load.prefilling - (demand.low_priority ? 0 : load.low_priority_requests);
    const std::uint64_t prefill_tokens =
        load.prefill_tokens - (demand.low_priority ? 0 : load.low_priority_tokens);
    const std::uint32_t prompt_tokens = demand.prompt_tokens;
    const double sequences = others * load.decoding + others * prefilling;
    const double waiting_tokens = others * static_cast<double>(prefill_tokens);
    const double max_prefill_per_pass = static_cast<double>(engine.chunk) * engine.steps_per_pass;
    const double prefill_in_pass = std::min(max_prefill_per_pass, waiting_tokens);
    const double steps =
        engine.steps_per_pass * (engine.step_ms + engine.step_ms_per_sequence * sequences);
    const double planned =
        model.time_factor * (steps + prefill_in_pass / engine.prefill_tokens_per_ms);
    const double slowdown =
        load.measured_pass_ms > 0 && planned > 0
            ? std::clamp(load.measured_pass_ms / planned, MinSlowdown, MaxSlowdown)
            : 1.0;
    const double full_pass = model.time_factor * (steps + std::min(max_prefill_per_pass,
                                                                   waiting_tokens + prompt_tokens) /
                                                              engine.prefill_tokens_per_ms);
    const double passes =
        std::ceil((waiting_tokens + prompt_tokens) / std::max(1.0, max_prefill_per_pass));
    LoadForecast out;
    out.in_flight = sequences;
    out.pause_ms = full_pass * slowdown;
    out.first_event_ms = (planned / 2 + passes * full_pass + model.time_factor * steps) * slowdown;
    return out;
}

} // namespace liftweir
