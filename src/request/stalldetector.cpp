// Detection of stalled groups by the time between stream events.

#include "request/stalldetector.h"

#include <algorithm>

namespace liftweir {

namespace {

// Events of one pass arrive within a few ms of each other.
constexpr Duration SamePassWindow = std::chrono::milliseconds(6);
constexpr double PassSmoothing = 0.15;
// Passes differ in the prompt tokens that they prefill, up to the longest pass of the cost model.
// A shorter timeout derived from recent passes raised eight times as many false alarms.
constexpr double LongestPassFactor = 1.25;
constexpr Duration NetworkSlack = std::chrono::milliseconds(30);
// A group may be slower than its cost model; then this many of its measured passes are allowed.
constexpr double PassesToTimeout = 3.0;
constexpr Duration MaxTimeout = std::chrono::milliseconds(1500);
// Timeout while no stream has had its first event: the engine may first prefill prompts of other
// entry hosts, which this host does not know.
constexpr double FirstEventFactor = 3.0;
constexpr Duration MinFirstEventTimeout = std::chrono::milliseconds(800);

} // namespace

void StallDetector::expect(Duration longest_pass, Duration first_event) {
    longest_pass_ = longest_pass;
    first_event_ = first_event;
}

void StallDetector::started(Time now) {
    if (waiting() == 0)
        last_progress_ = now;
    ++prefilling_;
}

void StallDetector::progress(Time now, bool first) {
    const bool same_pass = now - last_progress_ <= SamePassWindow;
    if (!same_pass && decoding_ > 0) {
        const double gap = to_exact_millis(now - last_progress_);
        pass_ms_ = pass_ms_ == 0 ? gap : (1 - PassSmoothing) * pass_ms_ + PassSmoothing * gap;
    }
    if (!same_pass)
        last_progress_ = now;
    if (first) {
        ++decoding_;
        prefilling_ -= prefilling_ > 0 ? 1 : 0;
    }
}

void StallDetector::paused() {
    decoding_ -= decoding_ > 0 ? 1 : 0;
}

void StallDetector::resumed(Time now) {
    if (waiting() == 0)
        last_progress_ = now;
    ++decoding_;
}

void StallDetector::ended(bool had_event) {
    std::uint32_t& count = had_event ? decoding_ : prefilling_;
    count -= count > 0 ? 1 : 0;
}

Duration StallDetector::timeout() const {
    if (decoding_ == 0)
        return std::max(MinFirstEventTimeout, scaled(first_event_, FirstEventFactor));
    const Duration own_pace = scaled(std::chrono::milliseconds(1), PassesToTimeout * pass_ms_);
    const Duration by_figures = scaled(longest_pass_, LongestPassFactor) + NetworkSlack;
    return std::min(std::max(own_pace, by_figures), MaxTimeout);
}

Duration StallDetector::stalled(Time now) const {
    if (waiting() == 0 || now - last_progress_ < timeout())
        return Duration::zero();
    return now - last_progress_;
}

} // namespace liftweir
