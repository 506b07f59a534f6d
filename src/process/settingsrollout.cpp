#include "process/settingsrollout.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr std::size_t CommitTimesKept = 256;

} // namespace

void SettingsRollout::reset(Time now) {
    have_.clear();
    committed_.clear();
    started_ = now;
    no_shortcut_until_ = now + SettingsLeaseWait;
}

void SettingsRollout::acknowledged(const std::string& entry, Version version) {
    have_[entry] = std::max(have_[entry], version);
}

void SettingsRollout::retired(Time now) {
    no_shortcut_until_ = now + SettingsLeaseWait;
}

void SettingsRollout::committed(Version version, Time now) {
    committed_.emplace(version, now);
    if (committed_.size() > CommitTimesKept)
        committed_.erase(committed_.begin());
}

// A new leader does not know when an older version was committed; it was before it took over.
bool SettingsRollout::reached(Version version, const std::set<std::string>& registered,
                              Time now) const {
    const auto at = committed_.lower_bound(version);
    const Time since = at == committed_.end() ? started_ : at->second;
    if (now - since >= SettingsLeaseWait)
        return true;
    if (now < no_shortcut_until_)
        return false;
    return std::all_of(registered.begin(), registered.end(), [&](const std::string& entry) {
        const auto have = have_.find(entry);
        return have != have_.end() && have->second >= version;
    });
}

} // namespace liftweir
