// Decides when a committed change of settings is effective on all entry hosts.
// Runs in liftweir-control; the lease times below also apply in the entry host programs.

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

// After a majority of control hosts has confirmed its settings, an entry host admits new work for
// this long, measured on its own clock from when it sent the renewal.
constexpr Duration SettingsLease = std::chrono::milliseconds(1000);
// Control hosts wait longer, by more than two clocks can drift apart in that time.
constexpr Duration SettingsLeaseWait = std::chrono::milliseconds(1100);

// A change is effective as soon as every registered entry host has it, and at the latest when all
// leases that were granted before the change have expired.
class SettingsRollout {
  public:
    void reset(Time now);
    // An entry host has this version, or a higher one.
    void acknowledged(const std::string& entry, Version version);
    // An entry host was removed from the registered ones; it may continue until its lease expires.
    void retired(Time now);
    void committed(Version version, Time now);
    // True where no entry host can act on settings older than `version` any more.
    bool reached(Version version, const std::set<std::string>& registered, Time now) const;

  private:
    std::map<std::string, Version> acknowledged_;
    std::map<Version, Time> committed_;
    Time wait_for_leases_until_{};
    Time leader_since_{};
};

} // namespace liftweir

#endif // SETTINGSROLLOUT_H_INCLUDED
