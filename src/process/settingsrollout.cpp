// Tracks versions and lease waits for changes of settings; runs in liftweir-control.

#include "process/settingsrollout.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr std::size_t CommitTimesKept = 256;

} // namespace

void SettingsRollout::reset(Time now) {
    acknowledged_.clear();
    committed_.clear();
    leader_since_ = now;
    wait_for_leases_until_ = now + SettingsLeaseWait;
}

void SettingsRollout::acknowledged(const std::string& entry, Version version) {
    acknowledged_[entry] = std::max(acknowledged_[entry], version);
}

void SettingsRollout::retired(Time now) {
    wait_for_leases_until_ = now + SettingsLeaseWait;
}

void SettingsRollout::committed(Version version, Time now) {
    committed_.emplace(version, now);
    if (committed_.size() > CommitTimesKept)
        committed_.erase(committed_.begin());
}

// A new leader does not know when an older version was committed. The time at which it took over is
// an upper bound.
bool SettingsRollout::reached(Version version, const std::set<std::string>& registered,
                              Time now) const {
    const auto at = committed_.lower_bound(version);
    const Time since = at == committed_.end() ? leader_since_ : at->second;
    if (now - since >= SettingsLeaseWait)
        return true;
    if (now < wait_for_leases_until_)
        return false;
    return std::all_of(registered.begin(), registered.end(), [&](const std::string& entry) {
        const auto version_held = acknowledged_.find(entry);
        return version_held != acknowledged_.end() && version_held->second >= version;
    });
}

} // namespace liftweir
