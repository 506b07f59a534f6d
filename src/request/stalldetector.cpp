#include "request/stalldetector.h"

#include <algorithm>

namespace liftweir {

namespace {

// Events of one pass arrive within a few ms of each other.
constexpr Duration SamePass = std::chrono::milliseconds(6);
constexpr double Smoothing = 0.15;
// Passes differ by how much they read, up to the longest one by the engine's figures. To expect
// less from the passes seen of late was tried: eight times as many alarms, a worse day.
constexpr double LongestPassFactor = 1.25;
constexpr Duration NetworkSlack = std::chrono::milliseconds(30);
// A group may be slower than its figures; then its own pace is the measure.
constexpr double PassesOfPatience = 3.0;
constexpr Duration MostPatience = std::chrono::milliseconds(1500);
// Only requests whose prompts wait to be read: others', which this host can not see, go first.
constexpr double FirstEventFactor = 3.0;
constexpr Duration LeastFirstPatience = std::chrono::milliseconds(800);

} // namespace

void StallDetector::expect(Duration longest_pass, Duration first_event) {
    longest_pass_ = longest_pass;
    first_event_ = first_event;
}

void StallDetector::started(Time now) {
    if (waiting() == 0)
        last_ = now;
    ++reading_;
}

void StallDetector::progress(Time now, bool first) {
    const bool same_pass = now - last_ <= SamePass;
    if (!same_pass && writing_ > 0) {
        const double gap = to_exact_millis(now - last_);
        pass_ms_ = pass_ms_ == 0 ? gap : (1 - Smoothing) * pass_ms_ + Smoothing * gap;
    }
    if (!same_pass)
        last_ = now;
    if (first) {
        ++writing_;
        reading_ -= reading_ > 0 ? 1 : 0;
    }
}

void StallDetector::ended(bool wrote) {
    std::uint32_t& count = wrote ? writing_ : reading_;
    count -= count > 0 ? 1 : 0;
}

Duration StallDetector::patience() const {
    if (writing_ == 0)
        return std::max(LeastFirstPatience, scaled(first_event_, FirstEventFactor));
    const Duration own_pace = scaled(std::chrono::milliseconds(1), PassesOfPatience * pass_ms_);
    const Duration by_figures = scaled(longest_pass_, LongestPassFactor) + NetworkSlack;
    return std::min(std::max(own_pace, by_figures), MostPatience);
}

Duration StallDetector::stalled(Time now) const {
    if (waiting() == 0 || now - last_ < patience())
        return Duration::zero();
    return now - last_;
}

} // namespace liftweir
