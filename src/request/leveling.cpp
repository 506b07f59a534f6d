#include "request/leveling.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace liftweir {

namespace {

// Long enough for a dozen requests of a host that gets two in a second.
constexpr double SmoothedOverSeconds = 3;

double seconds_between(Time from, Time to) {
    return std::chrono::duration<double>(to - from).count();
}

// The level that `inflow` fills the lowest places up to.
double filled_level(std::vector<double> levels, double inflow) {
    std::sort(levels.begin(), levels.end());
    double sum = 0;
    for (std::size_t n = 0; n < levels.size(); ++n) {
        sum += levels[n];
        const double level = (sum + inflow) / static_cast<double>(n + 1);
        if (n + 1 == levels.size() || level <= levels[n + 1])
            return level;
    }
    return 0; // no places
}

} // namespace

void ArrivalRate::add(double amount, Time now) {
    per_second_ = per_second(now) + amount / SmoothedOverSeconds;
    last_ = now;
}

double ArrivalRate::per_second(Time now) const {
    return per_second_ * std::exp(-seconds_between(last_, now) / SmoothedOverSeconds);
}

// Whoever takes the lowest place by old figures takes it together with everybody else, and the next
// figures show it as the highest. Filled like water, each place gets what brings it up to the
// common level.
std::size_t choose_by_level(const std::vector<double>& levels, double inflow, double draw) {
    const double level = filled_level(levels, inflow);
    std::vector<double> room(levels.size());
    std::transform(levels.begin(), levels.end(), room.begin(),
                   [level](double at) { return std::max(0.0, level - at); });
    const double all = std::accumulate(room.begin(), room.end(), 0.0);
    const auto lowest = std::min_element(levels.begin(), levels.end()) - levels.begin();
    if (all <= 0)
        return static_cast<std::size_t>(lowest);
    double left = draw * all;
    for (std::size_t n = 0; n < room.size(); ++n) {
        left -= room[n];
        if (left < 0)
            return n;
    }
    return static_cast<std::size_t>(lowest);
}

} // namespace liftweir
