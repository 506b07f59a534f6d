// Shares of the fixed part of the retry budgets, as control grants them and entry hosts hold them.

#ifndef RETRYSHARE_H_INCLUDED
#define RETRYSHARE_H_INCLUDED

#include "process/clock.h"
#include "process/raft.h"

#include <compare>
#include <msgpack.hpp>

namespace liftweir {

// An entry host may use its share for this long after it sent the renewal that control granted it
// for. Control hosts may all be unreachable for as long without any effect on retries.
constexpr Duration RetryShareTime = std::chrono::seconds(30);

// The part of a service's fixed number of retries in a window that one entry host may use.
struct RetryShare {
    double fraction = -1; // 0 to 1; negative where the sender grants or knows none
    Term term = 0;        // of the leader that granted it

    bool valid() const { return fraction >= 0 && fraction <= 1; }
    auto operator<=>(const RetryShare&) const = default;
    MSGPACK_DEFINE(fraction, term)
};

// The share of one entry host. A process that has just started holds none. Pure: no clock of its
// own.
class HeldRetryShare {
  public:
    // Takes the share that was granted for a renewal sent at `asked`. False if it is invalid or
    // outdated.
    bool take(const RetryShare& granted, Time asked);
    // Fraction 0 once the share has expired.
    RetryShare at(Time now) const;
    Time until() const { return until_; }

  private:
    RetryShare share_{0, 0};
    Time asked_{};
    Time until_{};
};

} // namespace liftweir

#endif // RETRYSHARE_H_INCLUDED
