#include "process/outage.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

// The prior counts as so many observed outages.
constexpr double PriorWeight = 4;
// Old observations fade, so that a site whose restarts became faster is believed soon.
constexpr double Fade = 0.95;
// A host that failed twice in a quarter of an hour is worse than one that failed twice in a day.
constexpr double HazardHalfLifeSeconds = 900;

double seconds(Duration d) {
    return std::chrono::duration<double>(d).count();
}

double decayed(double value, Duration age) {
    return value * std::exp2(-seconds(age) / HazardHalfLifeSeconds);
}

} // namespace

void OutageStats::returned(Duration outage) {
    returns_ = returns_ * Fade + 1;
    return_seconds_ = return_seconds_ * Fade + seconds(outage);
}

void OutageStats::failed(const std::string& host, Time now) {
    Hazard& hazard = hazards_[host];
    hazard.value = decayed(hazard.value, now - hazard.at) + 1;
    hazard.at = now;
}

// Outages are a mixture of short ones, with an exponential length, and lost hosts. Bayes' rule
// gives the probability that this one is a loss, given that it already lasted `elapsed`.
Duration OutageStats::expected_remaining(Duration elapsed, const OutagePrior& prior) const {
    const double mean =
        (seconds(prior.mean_return) * PriorWeight + return_seconds_) / (PriorWeight + returns_);
    const double loss = prior.loss_share * PriorWeight / (PriorWeight + returns_);
    const double still_short = (1 - loss) * std::exp(-seconds(elapsed) / mean);
    const double lost = loss / (loss + still_short);
    const double remaining = lost * seconds(prior.loss_horizon) + (1 - lost) * mean;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(remaining));
}

double OutageStats::hazard(const std::string& host, Time now) const {
    const auto found = hazards_.find(host);
    return found == hazards_.end() ? 0 : decayed(found->second.value, now - found->second.at);
}

} // namespace liftweir
