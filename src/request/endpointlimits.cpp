// Token buckets for endpoints that report a rate limit.

#include "request/endpointlimits.h"

#include <algorithm>

namespace liftweir {

namespace {

// Unused tokens accumulate up to the rate times BurstSeconds, and at least up to MinBurst requests.
constexpr double BurstSeconds = 1.5;
constexpr double MinBurst = 1.5;
static_assert(MinBurst <= 2 * MinSharePerSecond);
// Without a valid grant a host uses this part of its last share, or of its share of the load if it
// never had a grant: hosts with and without a connection to control together must not exceed the
// limit by much.
constexpr double UngrantedPart = 0.5;
// An endpoint gets requests at this rate however small its limit is, since only its responses can
// lift the limit.
constexpr double MinPerSecond = 0.1;
// Longest Retry-After for a limit, since callers do not wait for longer.
constexpr Duration MaxRetryDelay = std::chrono::seconds(4);

// The result is capped, since rates may be as small as the granted shares.
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
        use.part = limit_share.fraction;
        use.until = until;
    }
}

double EndpointLimits::rate(const EndpointId& endpoint, const Use& use, Time now) const {
    const double limit = std::max(book_.limit(endpoint), MinPerSecond);
    if (use.until > now)
        return limit * use.part;
    return limit * UngrantedPart * (use.part < 0 ? own_share_ : use.part);
}

EndpointLimits::Use& EndpointLimits::refilled(const EndpointId& endpoint, Time now) {
    Use& use = uses_[endpoint];
    if (use.refilled_at == Time{})
        use.refilled_at = now;
    const double per_second = rate(endpoint, use, now);
    const double most = std::max(MinBurst, BurstSeconds * per_second);
    use.tokens = std::min(most, use.tokens + per_second * to_seconds(now - use.refilled_at));
    use.refilled_at = now;
    return use;
}

Duration EndpointLimits::wait(const EndpointId& endpoint, Time now) {
    if (book_.empty() || book_.limit(endpoint) <= 0)
        return Duration::zero();
    const Use& use = refilled(endpoint, now);
    const double per_second = rate(endpoint, use, now);
    if (per_second <= 0)
        return use.until > now ? use.until - now : MaxRetryDelay;
    return use.tokens >= 1 ? Duration::zero() : time_for(1 - use.tokens, per_second);
}

void EndpointLimits::sent(const EndpointId& endpoint, Time now) {
    if (book_.empty() || book_.limit(endpoint) <= 0)
        return;
    Use& use = refilled(endpoint, now);
    use.tokens = std::max(0.0, use.tokens - 1);
}

Duration EndpointLimits::retry_delay(const EndpointId& endpoint, Time now) {
    const Time soonest = now + wait(endpoint, now);
    Use& use = uses_[endpoint];
    const double per_second = rate(endpoint, use, now);
    if (per_second <= 0)
        return soonest - now;
    const Time next = use.last_retry + time_for(1, per_second);
    use.last_retry = next > now + MaxRetryDelay ? soonest : std::max(soonest, next);
    return use.last_retry - now;
}

void EndpointLimits::expire(const std::function<bool(const EndpointId&)>& known, Time now) {
    book_.expire(known, now);
    std::erase_if(uses_, [&](const auto& item) { return book_.limit(item.first) <= 0; });
}

} // namespace liftweir
