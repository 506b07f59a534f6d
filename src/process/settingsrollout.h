#ifndef SETTINGSROLLOUT_H_INCLUDED
#define SETTINGSROLLOUT_H_INCLUDED

#include "process/clock.h"
#include "version/settings.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace liftweir {

// An entry host admits new work for this long after a majority of control hosts vouched for its
// settings, on its own clock, counted from when it asked.
constexpr Duration SettingsLease = std::chrono::milliseconds(1000);
// The control side waits longer, by more than two clocks drift apart in that time.
constexpr Duration SettingsLeaseWait = std::chrono::milliseconds(1100);

// Decides when an accepted change of settings is in force everywhere: as soon as every registered
// entry host has it, and at the latest when the leases granted before it have run out.
class SettingsRollout {
  public:
    void reset(Time now);
    // An entry host holds this version, or a higher one.
    void acknowledged(const std::string& entry, Version version);
    // An entry host was retired: it may go on under its lease.
    void retired(Time now);
    void committed(Version version, Time now);
    // True where nobody can act on settings below `version` any more.
    bool reached(Version version, const std::set<std::string>& registered, Time now) const;

  private:
    std::map<std::string, Version> have_;
    std::map<Version, Time> committed_;
    Time no_shortcut_until_{};
    Time started_{};
};

} // namespace liftweir

#endif // SETTINGSROLLOUT_H_INCLUDED
