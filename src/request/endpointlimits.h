#ifndef ENDPOINTLIMITS_H_INCLUDED
#define ENDPOINTLIMITS_H_INCLUDED

#include "process/clock.h"
#include "process/limitallocator.h"
#include "process/reportedlimits.h"

#include <functional>
#include <map>
#include <vector>

namespace liftweir {

// When this entry host may send requests to endpoints that name a limit. It knows what it may send
// before a request comes: by its loans, and by half of what it had where nobody lends. Pure.
class EndpointLimits {
  public:
    ReportedLimits& book() { return book_; }
    const ReportedLimits& book() const { return book_; }
    // This host's part of the work of all entry hosts.
    void set_own_part(double part) { own_part_ = part; }
    // Control has lent these parts; they end at `until`.
    void grant_shares(const std::vector<LimitShare>& limit_shares, Time until);

    // Until a request may go to the endpoint; zero where one may go now.
    Duration wait(const EndpointId& endpoint, Time now);
    void sent(const EndpointId& endpoint, Time now);
    // When a caller that was refused for the limit should return. Callers are told moments that
    // follow each other as the limit allows.
    Duration return_after(const EndpointId& endpoint, Time now);
    // Forgets what belongs to endpoints for which `known` is false.
    void expire(const std::function<bool(const EndpointId&)>& known, Time now);

  private:
    struct Use {
        double tokens = 0; // requests that may be sent
        Time counted{};    // up to when tokens were added
        double part = -1;  // lent last; negative where nothing was
        Time until{};      // of the loan
        Time returns{};    // of the last caller that was told to return
    };

    double rate(const EndpointId& endpoint, const Use& use, Time now) const;
    Use& counted_up(const EndpointId& endpoint, Time now);

    ReportedLimits book_;
    std::map<EndpointId, Use> uses_;
    double own_part_ = 1;
};

} // namespace liftweir

#endif // ENDPOINTLIMITS_H_INCLUDED
