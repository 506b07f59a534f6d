// This entry host's share of the load of all entry hosts (liftweir-site-entry).

#ifndef LOADSHARE_H_INCLUDED
#define LOADSHARE_H_INCLUDED

#include <compare>
#include <cstdint>

namespace liftweir {

// Calls in flight as an acknowledged lease renewal shows them.
struct CallsInFlight {
    std::uint32_t here = 0;
    std::uint32_t total = 0;   // at all entry hosts, as control knows
    std::uint32_t entries = 0; // number of entry hosts; 0 if unknown

    auto operator<=>(const CallsInFlight&) const = default;
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
    double share_ = 0.1;
    double least_ = 0;
};

} // namespace liftweir

#endif // LOADSHARE_H_INCLUDED
