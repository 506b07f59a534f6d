// Divides the fixed part of the retry budgets between entry hosts.
// Runs in liftweir-site-control.

#ifndef RETRYSHAREALLOCATOR_H_INCLUDED
#define RETRYSHAREALLOCATOR_H_INCLUDED

#include "process/clock.h"
#include "request/retryshare.h"
#include "version/state.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace liftweir {

// What an entry host's renewal tells about its retries.
struct RetryShareRenewal {
    std::string entry;
    Incarnation incarnation = 0;
    RetryShare held;         // negative from an earlier release, which knows no shares
    std::uint64_t calls = 0; // received since the start of the entry host

    auto operator<=>(const RetryShareRenewal&) const = default;
};

// Used by the leading control host. The largest shares that all entry hosts, those that have ended
// included, may have held within any one window add up to at most one, whichever messages are lost.
// Does no I/O.
class RetryShareAllocator {
  public:
    // `window` is that of the retry budgets.
    explicit RetryShareAllocator(Duration window) : window_(window) {}

    // Begins a term of leadership. Where earlier leaders may have granted shares, none grows until
    // these have expired.
    void take_over(Term term, bool granted_before, Time now);
    // The share that the entry host may use for RetryShareTime.
    RetryShare renew(const RetryShareRenewal& renewal, Time now);
    // Removes entry hosts whose shares have expired, and sums the others' load. To be called
    // about once a second.
    void expire(Time now);

  private:
    using HolderId = std::pair<std::string, Incarnation>;
    struct Holder {
        Time first_seen{};
        Time until{};        // its retries are outside every window from then on
        double granted = 0;  // largest share that it may hold
        double offered = -1; // share that was sent last
        std::uint64_t calls = 0;
        Time measured{};       // when the calls were counted
        double per_second = 0; // calls, smoothed
        double weight = 0;     // in the shares of all; 0 where it has not renewed lately
    };
    // A share that its holder has given up and may have used up before.
    struct Released {
        double fraction = 0;
        Time until{};
    };

    // Covers messages in flight and a partitioned leader that has not stepped down yet.
    static constexpr Duration Margin = std::chrono::seconds(1);

    Duration outside_windows() const { return window_ + Margin; }
    bool is_present(const Holder& holder, Time now) const;
    void retire_earlier(const HolderId& id, Time now);
    void store_held(Holder& holder, const RetryShare& held, Time now);
    double fair_share(const Holder& holder) const;
    double next_share(const Holder& holder, Time now) const;
    double unallocated(Time now) const;
    static void measure_calls(Holder& holder, std::uint64_t calls, Time now);

    Duration window_;
    Term term_ = 0;
    Time may_grow_from_{};
    std::map<HolderId, Holder> holders_;
    std::vector<Released> released_;
    std::size_t present_ = 0;    // entry hosts that renewed their shares lately
    double total_weight_ = 0;    // of these
    bool someone_lacks_ = false; // one of these has much less than its fair share
};

} // namespace liftweir

#endif // RETRYSHAREALLOCATOR_H_INCLUDED
