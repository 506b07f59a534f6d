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

LoadForecast forecast(const EngineCost& engine, const ModelShape& model, const GroupLoad& load,
                      std::uint32_t prompt_tokens, double others) {
    const double sequences = others * load.writing + others * load.reading;
    const double unread = others * static_cast<double>(load.reading_tokens);
    const double read_in_pass = std::min(static_cast<double>(engine.chunk), unread);
    const double steps = engine.stride * (engine.step_ms + engine.step_ms_per_sequence * sequences);
    const double planned = model.pace * (steps + read_in_pass / engine.read_tokens_per_ms);
    const double slowdown =
        load.seen_pass_ms > 0 && planned > 0
            ? std::clamp(load.seen_pass_ms / planned, LeastSlowdown, MostSlowdown)
            : 1.0;
    const double full_pass =
        model.pace * (steps + std::min(static_cast<double>(engine.chunk), unread + prompt_tokens) /
                                  engine.read_tokens_per_ms);
    const double passes = std::ceil((unread + prompt_tokens) / std::max(1u, engine.chunk));
    LoadForecast out;
    out.in_flight = sequences;
    out.pause_ms = full_pass * slowdown;
    out.first_event_ms = (planned / 2 + passes * full_pass + model.pace * steps) * slowdown;
    return out;
}

} // namespace liftweir
