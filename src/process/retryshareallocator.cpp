// Grants, growth and expiry of shares of the retry budgets; runs in liftweir-site-control.

#include "process/retryshareallocator.h"

#include <algorithm>

namespace liftweir {

namespace {

// Entry hosts that start together are all known after this time. One that got its share earlier
// would have to give most of it back.
constexpr Duration SettlingTime = std::chrono::seconds(1);
// An entry host that has not renewed its share for this long keeps it, and counts no more when the
// shares of the others are computed.
constexpr Duration PresentTime = std::chrono::seconds(4);
// This part of the whole is divided equally, the rest by calls: callers may move at any moment.
constexpr double EqualPart = 0.5;
constexpr Duration MinMeasured = std::chrono::milliseconds(300);
constexpr double RateSmoothing = 0.05;
// Entry hosts with fewer calls are alike.
constexpr double MinCallsPerSecond = 5;
// Shares move only where one would grow by more than this fraction: a share that moves to another
// entry host is unused for a window.
constexpr double ShareTolerance = 0.25;

bool differs(double larger, double smaller) {
    return larger > (1 + ShareTolerance) * smaller;
}

double weight_of(double calls_per_second) {
    return std::max(calls_per_second, MinCallsPerSecond);
}

} // namespace

void RetryShareAllocator::take_over(Term term, bool granted_before, Time now) {
    holders_.clear();
    released_.clear();
    term_ = term;
    may_grow_from_ = granted_before ? now + RetryShareTime + outside_windows() : now;
}

// One name belongs to one process at a time, so the earlier ones have ended. If that is not so, and
// messages of the ended process were delayed, the renewals of the living one restore its time.
void RetryShareAllocator::retire_earlier(const HolderId& id, Time now) {
    for (auto at = holders_.lower_bound({id.first, 0});
         at != holders_.end() && at->first.first == id.first; ++at)
        if (at->first != id)
            at->second.until = std::min(at->second.until, now + outside_windows());
}

// A smaller share is certain only once the holder reports that it has the one that was sent last:
// the message that reduces it may be lost, and an earlier one may still arrive.
void RetryShareAllocator::store_held(Holder& holder, const RetryShare& held, Time now) {
    holder.granted = std::max(holder.granted, held.fraction);
    if (held.term != term_ || held.fraction != holder.offered || held.fraction >= holder.granted)
        return;
    released_.push_back({holder.granted - held.fraction, now + outside_windows()});
    holder.granted = held.fraction;
}

// Every renewal extends `until` by the same time.
bool RetryShareAllocator::is_present(const Holder& holder, Time now) const {
    return holder.until - now > RetryShareTime + outside_windows() - PresentTime;
}

double RetryShareAllocator::fair_share(const Holder& holder) const {
    const double by_calls = holder.weight / total_weight_;
    return EqualPart / static_cast<double>(present_) + (1 - EqualPart) * by_calls;
}

double RetryShareAllocator::unallocated(Time now) const {
    double sum = 0;
    for (const auto& [id, holder] : holders_)
        if (holder.until > now)
            sum += holder.granted;
    for (const Released& released : released_)
        if (released.until > now)
            sum += released.fraction;
    return std::max(0.0, 1 - sum);
}

double RetryShareAllocator::next_share(const Holder& holder, Time now) const {
    const bool settling = now - holder.first_seen < SettlingTime;
    if (holder.weight == 0 || settling || now < may_grow_from_)
        return holder.granted;
    const double fair = fair_share(holder);
    if (fair < holder.granted)
        return someone_lacks_ ? fair : holder.granted;
    if (!differs(fair, holder.granted))
        return holder.granted;
    return std::min(fair, holder.granted + unallocated(now));
}

RetryShare RetryShareAllocator::renew(const RetryShareRenewal& renewal, Time now) {
    const HolderId id{renewal.entry, renewal.incarnation};
    Holder& holder = holders_[id];
    // The share of a holder that has been silent for long may be another's by now.
    if (holder.until <= now) {
        holder = {.first_seen = now, .calls = renewal.calls, .measured = now};
        retire_earlier(id, now);
    }
    holder.until = now + RetryShareTime + outside_windows();
    measure_calls(holder, renewal.calls, now);
    if (renewal.held.valid())
        store_held(holder, renewal.held, now);
    const double share = next_share(holder, now);
    holder.granted = std::max(holder.granted, share);
    // A share is set aside for an entry host of an earlier release, which uses one by its own
    // estimate.
    if (!renewal.held.valid())
        return {};
    holder.offered = share;
    return {share, term_};
}

// Renewals in quick succession are too short an interval to measure a rate.
void RetryShareAllocator::measure_calls(Holder& holder, std::uint64_t calls, Time now) {
    const Duration interval = now - holder.measured;
    if (interval < MinMeasured || calls < holder.calls)
        return;
    const double rate = static_cast<double>(calls - holder.calls) / to_seconds(interval);
    holder.per_second += RateSmoothing * (rate - holder.per_second);
    holder.calls = calls;
    holder.measured = now;
}

void RetryShareAllocator::expire(Time now) {
    std::erase_if(holders_, [&](const auto& item) { return item.second.until <= now; });
    std::erase_if(released_, [&](const Released& released) { return released.until <= now; });
    present_ = 0;
    total_weight_ = 0;
    for (auto& [id, holder] : holders_) {
        holder.weight = is_present(holder, now) ? weight_of(holder.per_second) : 0;
        present_ += holder.weight > 0 ? 1 : 0;
        total_weight_ += holder.weight;
    }
    someone_lacks_ = std::any_of(holders_.begin(), holders_.end(), [&](const auto& item) {
        return item.second.weight > 0 && differs(fair_share(item.second), item.second.granted);
    });
}

} // namespace liftweir
