// Water-filling choice among targets with outdated load levels.

#include "request/leveling.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace liftweir {

namespace {

// Averages over about a dozen requests of a host that receives two per second.
constexpr double SmoothedOverSeconds = 3;

double seconds_between(Time from, Time to) {
    return std::chrono::duration<double>(to - from).count();
}

// The common level of the lowest targets after `inflow` was spread over them.
double filled_level(std::vector<double> levels, double inflow) {
    std::sort(levels.begin(), levels.end());
    double sum = 0;
    for (std::size_t n = 0; n < levels.size(); ++n) {
        sum += levels[n];
        const double level = (sum + inflow) / static_cast<double>(n + 1);
        if (n + 1 == levels.size() || level <= levels[n + 1])
            return level;
    }
    return 0; // no targets
}

// The lowest target. Where several are equally low, as all idle ones are, hundreds of choosers with
// the same information would all take the first.
std::size_t lowest_target(const std::vector<double>& levels, double draw) {
    const double lowest = *std::min_element(levels.begin(), levels.end());
    const auto equal = static_cast<double>(std::count(levels.begin(), levels.end(), lowest));
    auto skip = static_cast<std::size_t>(std::min(draw, 1.0) * equal);
    std::size_t last = 0;
    for (std::size_t n = 0; n < levels.size(); ++n) {
        if (levels[n] != lowest)
            continue;
        last = n;
        if (skip-- == 0)
            break;
    }
    return last;
}

} // namespace

void ArrivalRate::add(double amount, Time now) {
    per_second_ = per_second_with(amount, now);
    last_ = now;
}

double ArrivalRate::per_second_with(double amount, Time now) const {
    return per_second(now) + amount / SmoothedOverSeconds;
}

double ArrivalRate::per_second(Time now) const {
    return per_second_ * std::exp(-seconds_between(last_, now) / SmoothedOverSeconds);
}

// If all choosers took the target with the lowest outdated level, its next level would be the
// highest. With water filling, each target is chosen with a probability in proportion to the amount
// that raises it to the common level.
std::size_t choose_by_level(const std::vector<double>& levels, double inflow, double draw) {
    const double level = filled_level(levels, inflow);
    std::vector<double> room(levels.size());
    std::transform(levels.begin(), levels.end(), room.begin(),
                   [level](double at) { return std::max(0.0, level - at); });
    const double total = std::accumulate(room.begin(), room.end(), 0.0);
    if (total <= 0)
        return lowest_target(levels, draw);
    double left = draw * total;
    for (std::size_t n = 0; n < room.size(); ++n) {
        left -= room[n];
        if (left < 0)
            return n;
    }
    return lowest_target(levels, draw);
}

} // namespace liftweir
