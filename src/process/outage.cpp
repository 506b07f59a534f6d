// Bayesian estimate of the remaining length of an outage, and failure counts that decay.

#include "process/outage.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

// The prior counts as this many observed outages.
constexpr double PriorWeight = 4;
// Weight of the previous outages after each new one. Old outages lose weight so that the estimate
// follows a site whose restarts have become faster.
constexpr double DecayPerOutage = 0.95;
// Failures decay within minutes: a host that failed twice in a quarter of an hour is worse than one
// that failed twice in a day.
constexpr double HazardHalfLifeSeconds = 900;

double seconds(Duration d) {
    return std::chrono::duration<double>(d).count();
}

double decayed(double value, Duration age) {
    return value * std::exp2(-seconds(age) / HazardHalfLifeSeconds);
}

} // namespace

void OutageStats::returned(Duration outage) {
    returns_ = returns_ * DecayPerOutage + 1;
    return_seconds_ = return_seconds_ * DecayPerOutage + seconds(outage);
}

void OutageStats::failed(const std::string& host, Time now) {
    Hazard& hazard = hazards_[host];
    hazard.value = decayed(hazard.value, now - hazard.at) + 1;
    hazard.at = now;
}

// Outages are a mixture of short ones of exponentially distributed length and of lost hosts. Bayes'
// rule gives the probability that the host is lost, given that the outage has lasted `elapsed`.
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
