// Splits the rate limits of endpoints between entry hosts.
// Runs in liftweir-site-control.

#ifndef LIMITALLOCATOR_H_INCLUDED
#define LIMITALLOCATOR_H_INCLUDED

#include "process/clock.h"
#include "process/reportedlimits.h"
#include "version/state.h"

#include <compare>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace liftweir {

// The share of an endpoint's limit that one entry host may use.
struct LimitShare {
    EndpointId endpoint;
    double fraction = 0; // 0 to 1

    auto operator<=>(const LimitShare&) const = default;
    MSGPACK_DEFINE(endpoint, fraction)
};

// A share expires this long after the entry host requested it.
constexpr Duration LimitShareTime = std::chrono::seconds(3);
// Smallest useful share, in requests per second. A limit is not split into smaller shares.
constexpr double MinSharePerSecond = 0.75;

// Used by the leading control host. The shares of an endpoint's limit that may be in use at any
// moment add up to at most one, whichever messages are lost. Does no I/O.
class LimitAllocator {
  public:
    // Earlier leaders may have granted shares, so none are granted until these have expired.
    void take_over(Time now);
    // The entry host has received `calls` requests since it started.
    void seen(const std::string& entry, Incarnation incarnation, std::uint64_t calls, Time now);
    // Shares that the entry host may use for LimitShareTime; nullopt where this leader may not
    // grant any yet.
    std::optional<std::vector<LimitShare>> grant_shares(const std::string& entry,
                                                        const ReportedLimits& limits, Time now);
    // Removes entry hosts that no longer request shares, and shares that have expired.
    void expire(Time now);

  private:
    struct Entry {
        Incarnation incarnation = 0;
        std::uint64_t calls = 0;
        double per_second = 0; // smoothed
        Time seen{};
    };
    struct Grant {
        double part = 0;
        Time until{};
    };
    using Grants = std::map<std::string, std::vector<Grant>>; // by entry host
    using Parts = std::map<std::string, double>;

    // The intended share of each entry host in one endpoint's limit.
    struct Split {
        double per_second = 0;
        Time made{};
        Parts parts;
    };

    const Parts& split(const LimitReport& limit, Time now);
    Parts make_split(const LimitReport& limit, const Parts& before) const;
    static Parts keep_if_similar(Parts parts, const Parts& before);
    static double share_of_others(const Grants& grants, const std::string& entry, Time now);

    std::map<std::string, Entry> entries_;
    std::map<EndpointId, Grants> grants_;
    std::map<EndpointId, Split> splits_;
    Time grants_from_{};
};

} // namespace liftweir

#endif // LIMITALLOCATOR_H_INCLUDED
