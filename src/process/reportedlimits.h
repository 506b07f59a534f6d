// The request rate limits that endpoints report, as known to one process.
// Runs in liftweir-site-control and liftweir-site-entry.

#ifndef REPORTEDLIMITS_H_INCLUDED
#define REPORTEDLIMITS_H_INCLUDED

#include "process/clock.h"
#include "version/endpointid.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <msgpack.hpp>
#include <vector>

namespace liftweir {

// The requests per second that an endpoint reports to accept from all entry hosts together.
struct LimitReport {
    EndpointId endpoint;
    double per_second = 0;    // 0: no limit
    std::uint32_t age_ms = 0; // since the request was sent whose answer carried the limit

    auto operator<=>(const LimitReport&) const = default;
    MSGPACK_DEFINE(endpoint, per_second, age_ms)
};

// The newest limit that each endpoint has reported. Reports are ordered by the time when the
// answered request was sent. Does no I/O.
class ReportedLimits {
  public:
    // Adds the limit in the answer to a request that this process sent at `sent`. Returns true
    // where the limit changes.
    bool add_report(const EndpointId& endpoint, double per_second, Time sent);
    // Adds a report from another process. Returns true where the limit changes.
    bool merge(const LimitReport& report, Time now);

    // Requests per second; zero if the endpoint has no limit.
    double limit(const EndpointId& endpoint) const;
    // Number of endpoints with a limit.
    std::size_t limited() const;
    bool empty() const { return entries_.empty(); }
    // All reports, including those of limits that have ended recently.
    std::vector<LimitReport> reports(Time now) const;
    // Removes endpoints for which `known` is false, and limits that ended long ago.
    void expire(const std::function<bool(const EndpointId&)>& known, Time now);

  private:
    struct Entry {
        double per_second = 0;
        Time reported_at{};
    };

    std::map<EndpointId, Entry> entries_;
};

} // namespace liftweir

#endif // REPORTEDLIMITS_H_INCLUDED
