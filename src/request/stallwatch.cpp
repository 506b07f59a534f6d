#include "request/stallwatch.h"

#include <algorithm>

namespace liftweir {

namespace {

// Events of one pass arrive within a few ms of each other.
constexpr Duration SamePass = std::chrono::milliseconds(6);
constexpr double Smoothing = 0.15;
// A pass is lengthened by reading: up to a chunk of prompts, about doubling it.
constexpr double PassesOfPatience = 3.0;
constexpr Duration LeastPatience = std::chrono::milliseconds(120);
constexpr Duration MostPatience = std::chrono::milliseconds(900);
// Nothing has ever come: the prompt may be long and others may be read before it.
constexpr Duration FirstPatience = std::chrono::milliseconds(700);

Duration from_millis(double ms) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

void StallWatch::started(Time now) {
    if (waiting_++ == 0) {
        last_ = now;
        seen_ = false;
    }
}

void StallWatch::progress(Time now) {
    if (seen_ && now - last_ > SamePass) {
        const double gap = std::chrono::duration<double, std::milli>(now - last_).count();
        pass_ms_ = pass_ms_ == 0 ? gap : (1 - Smoothing) * pass_ms_ + Smoothing * gap;
    }
    if (!seen_ || now - last_ > SamePass)
        last_ = now;
    seen_ = true;
}

Duration StallWatch::patience() const {
    if (!seen_ || pass_ms_ == 0)
        return FirstPatience;
    return std::clamp(from_millis(PassesOfPatience * pass_ms_), LeastPatience, MostPatience);
}

Duration StallWatch::stalled(Time now) const {
    if (waiting_ == 0 || now - last_ < patience())
        return Duration::zero();
    return now - last_;
}

} // namespace liftweir
