// Budget for retries at liftweir-site-entry, counted in a sliding window.

#ifndef WINDOWEDRETRYBUDGET_H_INCLUDED
#define WINDOWEDRETRYBUDGET_H_INCLUDED

#include "process/clock.h"

#include <array>
#include <cstdint>

namespace liftweir {

// Retries that one entry host may send to one service in a window: a ratio of its own requests plus
// its share of a fixed number for all entry hosts. Every attempt after the first one of a request
// counts, whether it was accepted or not.
class WindowedRetryBudget {
  public:
    WindowedRetryBudget(Duration window, double ratio, std::uint32_t slack);

    void request(Time now);
    // Whether take() would succeed now.
    bool has_left(Time now) const;
    // Takes one retry; false if none is left.
    bool take(Time now);
    // Sets this entry host's share of all requests, 0 to 1.
    void set_share(double share) { share_ = share; }
    double share() const { return share_; }
    // Retries that may be sent in the window that ends now, those sent in it included.
    double allowed(Time now) const;
    std::uint32_t used(Time now) const;

  private:
    // Ten slots per window: a count is outdated by at most a tenth of the window.
    static constexpr std::size_t Slots = 10;
    struct Slot {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Slot& slot(Time now);
    Slot sum(Time now) const;

    Duration window_;
    double ratio_;
    std::uint32_t slack_;
    double share_ = 0.1; // until control has reported the load of the other entry hosts
    std::array<Slot, Slots + 1> slots_{};
};

} // namespace liftweir

#endif // WINDOWEDRETRYBUDGET_H_INCLUDED
