// Budget for retries at liftweir-site-entry, counted in a sliding window.

#ifndef WINDOWEDRETRYBUDGET_H_INCLUDED
#define WINDOWEDRETRYBUDGET_H_INCLUDED

#include "process/clock.h"

#include <array>
#include <cstdint>

namespace liftweir {

// Retries that one entry host may send to one service: in any window a ratio of its own requests
// plus its share of a fixed number for all entry hosts. Every attempt after the first one of a
// request counts, whether it was accepted or not. A process that has just started has neither
// requests nor a share, so the hosts together keep the budget however often they start.
class WindowedRetryBudget {
  public:
    WindowedRetryBudget(Duration window, double ratio, std::uint32_t slack);

    void request(Time now);
    // Whether take() would succeed now.
    bool has_left(Time now) const { return left(now) >= 1; }
    // Takes one retry; false if none is left.
    bool take(Time now);
    // Sets the share of the fixed number that this host may use until `until`, 0 to 1.
    void set_share(double share, Time until = Time::max());
    double share(Time now) const { return now < share_until_ ? share_ : 0; }
    // Retries that may be sent now, as fractions add up; negative after the share has shrunk.
    double left(Time now) const;
    // Retries sent in the window that ends now.
    std::uint32_t used(Time now) const;

  private:
    struct Slot {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    // Slots per window.
    static constexpr std::int64_t Slots = 100;
    // A window that ends now began in the last of these slots or later, and so did a window to
    // which a retry belongs that is on its way for up to a slot.
    static constexpr std::int64_t RetrySlots = Slots + 3;
    // The windows before these began in the last of these slots or later.
    static constexpr std::int64_t KeptSlots = RetrySlots + Slots;

    std::int64_t number_at(Time now) const;
    Slot& slot(Time now);
    Slot at(std::int64_t number) const;

    Duration window_;
    double ratio_;
    std::uint32_t slack_;
    double share_ = 0;
    Time share_until_{};
    std::array<Slot, KeptSlots> slots_{};
};

} // namespace liftweir

#endif // WINDOWEDRETRYBUDGET_H_INCLUDED
