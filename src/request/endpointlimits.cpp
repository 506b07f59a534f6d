#include "request/endpointlimits.h"

#include <algorithm>

namespace liftweir {

namespace {

// What was not used may be sent later, up to what comes together in so many seconds, and to this
// many requests where that is less.
constexpr double BurstSeconds = 1.5;
constexpr double LeastBurst = 1.5;
static_assert(LeastBurst <= 2 * LeastSharePerSecond);
// Without a lender, entry hosts that have lost touch and others that have not must not add up to
// much more than the limit.
constexpr double UnlentPart = 0.5;
// However small a limit is, the endpoint is tried this often: only its answers can end the limit.
constexpr double LeastPerSecond = 0.1;
// Callers are told to return within this time; nobody waits for longer.
constexpr Duration ReturnsWithin = std::chrono::seconds(4);

// Rates may be as small as the parts that are lent.
Duration time_for(double requests, double per_second) {
    constexpr double LongestSeconds = 3600;
    const double seconds = std::min(requests / per_second, LongestSeconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void EndpointLimits::grant_shares(const std::vector<LimitShare>& limit_shares, Time until) {
    for (const LimitShare& limit_share : limit_shares) {
        Use& use = uses_[limit_share.endpoint];
        if (until < use.until)
            continue;
        use.part = limit_share.part;
        use.until = until;
    }
}

double EndpointLimits::rate(const EndpointId& endpoint, const Use& use, Time now) const {
    const double limit = std::max(book_.limit(endpoint), LeastPerSecond);
    if (use.until > now)
        return limit * use.part;
    return limit * UnlentPart * (use.part < 0 ? own_part_ : use.part);
}

EndpointLimits::Use& EndpointLimits::counted_up(const EndpointId& endpoint, Time now) {
    Use& use = uses_[endpoint];
    if (use.counted == Time{})
        use.counted = now;
    const double per_second = rate(endpoint, use, now);
    const double most = std::max(LeastBurst, BurstSeconds * per_second);
    use.tokens = std::min(most, use.tokens + per_second * to_seconds(now - use.counted));
    use.counted = now;
    return use;
}

Duration EndpointLimits::wait(const EndpointId& endpoint, Time now) {
    if (book_.empty() || book_.limit(endpoint) <= 0)
        return Duration::zero();
    const Use& use = counted_up(endpoint, now);
    const double per_second = rate(endpoint, use, now);
    if (per_second <= 0)
        return use.until > now ? use.until - now : ReturnsWithin;
    return use.tokens >= 1 ? Duration::zero() : time_for(1 - use.tokens, per_second);
}

void EndpointLimits::sent(const EndpointId& endpoint, Time now) {
    if (book_.empty() || book_.limit(endpoint) <= 0)
        return;
    Use& use = counted_up(endpoint, now);
    use.tokens = std::max(0.0, use.tokens - 1);
}

Duration EndpointLimits::return_after(const EndpointId& endpoint, Time now) {
    const Time soonest = now + wait(endpoint, now);
    Use& use = uses_[endpoint];
    const double per_second = rate(endpoint, use, now);
    if (per_second <= 0)
        return soonest - now;
    const Time next = use.returns + time_for(1, per_second);
    use.returns = next > now + ReturnsWithin ? soonest : std::max(soonest, next);
    return use.returns - now;
}

void EndpointLimits::expire(const std::function<bool(const EndpointId&)>& known, Time now) {
    book_.expire(known, now);
    std::erase_if(uses_, [&](const auto& item) { return book_.limit(item.first) <= 0; });
}

} // namespace liftweir
