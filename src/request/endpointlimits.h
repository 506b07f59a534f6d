// Enforces one entry host's shares of the rate limits that endpoints report (liftweir-site-entry).

#ifndef ENDPOINTLIMITS_H_INCLUDED
#define ENDPOINTLIMITS_H_INCLUDED

#include "process/clock.h"
#include "process/limitallocator.h"
#include "process/reportedlimits.h"

#include <functional>
#include <map>
#include <vector>

namespace liftweir {

// A token bucket per endpoint that reports a rate limit. Its rate is this host's granted share of
// the limit, or half of the last share while control grants none. Pure: no I/O and no clock of its
// own.
class EndpointLimits {
  public:
    ReportedLimits& book() { return book_; }
    const ReportedLimits& book() const { return book_; }
    // This host's share of the load of all entry hosts.
    void set_own_share(double part) { own_share_ = part; }
    // Control granted these shares, which expire at `until`.
    void grant_shares(const std::vector<LimitShare>& limit_shares, Time until);

    // Time until a request may be sent to the endpoint; zero if one may be sent now.
    Duration wait(const EndpointId& endpoint, Time now);
    void sent(const EndpointId& endpoint, Time now);
    // Retry-After for a caller that was rejected because of the limit. Successive callers get
    // delays that are spaced as the limit allows.
    Duration retry_delay(const EndpointId& endpoint, Time now);
    // Forgets endpoints for which `known` is false.
    void expire(const std::function<bool(const EndpointId&)>& known, Time now);

  private:
    struct Use {
        double tokens = 0;  // requests that may be sent
        Time refilled_at{}; // up to when tokens were added
        double part = -1;   // share granted last; negative if none was
        Time until{};       // when the share expires
        Time last_retry{};  // when the last rejected caller is to retry
    };

    double rate(const EndpointId& endpoint, const Use& use, Time now) const;
    Use& refilled(const EndpointId& endpoint, Time now);

    ReportedLimits book_;
    std::map<EndpointId, Use> uses_;
    double own_share_ = 1;
};

} // namespace liftweir

#endif // ENDPOINTLIMITS_H_INCLUDED
