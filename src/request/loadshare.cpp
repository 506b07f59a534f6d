// Share of an entry host in the load of all.

#include "request/loadshare.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

constexpr double Smoothing = 0.3;
// Lower bounds of this host's share, absolute and as a part of an equal share; the lower one
// applies. A host that has few calls at the moment must not expect hundreds of times its own load.
constexpr double MinShare = 0.02;
constexpr double MinPartOfEqualShare = 0.5;

} // namespace

void ReportedCalls::sent(const std::string& control, std::uint32_t calls) {
    Reports& reports = reports_[control];
    reports = {reports.latest, calls};
}

// A control host sums the calls once a second, so its totals do not contain the latest renewal yet.
std::uint32_t ReportedCalls::counted(const std::string& control) const {
    const auto found = reports_.find(control);
    return found == reports_.end() ? 0 : found->second.before;
}

// A host without calls expects an equal share, and so does one that has just started.
void LoadShare::update(const CallsInFlight& calls) {
    const double equal_share = calls.entries > 0 ? 1.0 / calls.entries : 1.0;
    least_ = std::min(MinShare, MinPartOfEqualShare * equal_share);
    if (calls.entries > 0 && !std::exchange(updated_, true))
        share_ = equal_share;
    if (calls.here > 0 && calls.total > 0) {
        const double seen = static_cast<double>(calls.here) / std::max(calls.total, calls.here);
        share_ += Smoothing * (seen - share_);
    } else if (calls.here == 0 && calls.entries > 0) {
        share_ += Smoothing * (equal_share - share_);
    }
}

double LoadShare::total_load_ratio() const {
    return 1 / std::max(share_, least_);
}

} // namespace liftweir
