#ifndef WINDOWEDRETRYBUDGET_H_INCLUDED
#define WINDOWEDRETRYBUDGET_H_INCLUDED

#include "process/clock.h"

#include <array>
#include <cstdint>

namespace liftweir {

// Repeats that one entry host may send to one service in a sliding window: a ratio of its own
// requests, and its part of a slack that all entry hosts share. Sends beyond the first one of a
// request count, whether they were accepted or not.
class WindowedRetryBudget {
  public:
    WindowedRetryBudget(Duration window, double ratio, std::uint32_t slack);

    void request(Time now);
    // Whether take() would succeed now.
    bool has_left(Time now) const;
    // False where nothing is left.
    bool take(Time now);
    // This entry host's part of all requests, 0 to 1.
    void set_share(double share) { share_ = share; }
    std::uint32_t used(Time now);

  private:
    // Ten slots to a window: a count is at most a tenth of the window too old.
    static constexpr std::size_t Slots = 10;
    struct Slot {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Slot& slot(Time now);
    Slot sum(Time now) const;

    Duration window_;
    double ratio_;
    std::uint32_t slack_;
    double share_ = 0.1; // until control says more
    std::array<Slot, Slots + 1> slots_{};
};

} // namespace liftweir

#endif // WINDOWEDRETRYBUDGET_H_INCLUDED
