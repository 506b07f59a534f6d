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

// How many requests a second an endpoint takes from all entry hosts together, by its own word.
struct LimitReport {
    EndpointId endpoint;
    double per_second = 0;    // 0: it names no limit
    std::uint32_t age_ms = 0; // since the request was sent that it answered so

    auto operator<=>(const LimitReport&) const = default;
    MSGPACK_DEFINE(endpoint, per_second, age_ms)
};

// The newest word of each endpoint about its limit, as one process knows it. Words are ordered by
// when the requests were sent that they answer. Pure.
class ReportedLimits {
  public:
    // An answer to a request of this process. True where it changes the limit.
    bool add_report(const EndpointId& endpoint, double per_second, Time sent);
    // Another process's word. True where it changes the limit.
    bool merge(const LimitReport& word, Time now);

    // Requests a second; zero where the endpoint names no limit.
    double limit(const EndpointId& endpoint) const;
    // How many endpoints name a limit.
    std::size_t limited() const;
    bool empty() const { return entries_.empty(); }
    // All that is known, limits that have ended lately included.
    std::vector<LimitReport> reports(Time now) const;
    // Forgets endpoints for which `known` is false, and limits that ended long ago.
    void expire(const std::function<bool(const EndpointId&)>& known, Time now);

  private:
    struct Entry {
        double per_second = 0;
        Time said{};
    };

    std::map<EndpointId, Entry> entries_;
};

} // namespace liftweir

#endif // REPORTEDLIMITS_H_INCLUDED
