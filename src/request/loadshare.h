// This entry host's share of the load of all entry hosts (liftweir-site-entry).

#ifndef LOADSHARE_H_INCLUDED
#define LOADSHARE_H_INCLUDED

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace liftweir {

// Calls in flight as an acknowledged lease renewal shows them.
struct CallsInFlight {
    std::uint32_t here = 0;    // as control counted them in `total`
    std::uint32_t total = 0;   // at all entry hosts, as control knows
    std::uint32_t entries = 0; // number of entry hosts; 0 if unknown

    auto operator<=>(const CallsInFlight&) const = default;
};

// The calls in flight that this host has reported to each control host.
class ReportedCalls {
  public:
    // A renewal with these calls is sent.
    void sent(const std::string& control, std::uint32_t calls);
    // What the totals contain that the control host sends with the answer to the latest renewal.
    std::uint32_t counted(const std::string& control) const;

  private:
    struct Reports {
        std::uint32_t before = 0;
        std::uint32_t latest = 0;
    };

    std::map<std::string, Reports> reports_; // by control host
};

// Smooths this host's share of all calls in flight. Limits that hold for all entry hosts together
// are split by it, and the load of the others is estimated from it.
class LoadShare {
  public:
    void update(const CallsInFlight& calls);
    // Between 0 and 1.
    double share() const { return share_; }
    // The load of all entry hosts together as a multiple of this host's own load.
    double total_load_ratio() const;

  private:
    double share_ = 0.1; // until the first update
    double least_ = 0;
    bool updated_ = false;
};

} // namespace liftweir

#endif // LOADSHARE_H_INCLUDED
