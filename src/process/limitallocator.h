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

// The part of an endpoint's limit that one entry host may use.
struct LimitShare {
    EndpointId endpoint;
    double part = 0; // 0 to 1

    auto operator<=>(const LimitShare&) const = default;
    MSGPACK_DEFINE(endpoint, part)
};

// A loan ends so long after the entry host asked for it.
constexpr Duration LimitShareTime = std::chrono::seconds(3);
// Requests a second below which a part is not worth having: a limit is split into no more parts
// than that.
constexpr double LeastSharePerSecond = 0.75;

// Splits the limits of endpoints between entry hosts, at the control host that leads. The parts of
// an endpoint that may be in use at any moment add up to one at most, whatever gets lost. Pure.
class LimitAllocator {
  public:
    // Leaders before may have lent, so nothing is lent until that has ended.
    void take_over(Time now);
    // The entry host has taken so many requests since it started.
    void seen(const std::string& entry, Incarnation incarnation, std::uint64_t calls, Time now);
    // What the entry host may use for LimitShareTime; empty where this host may not lend yet.
    std::optional<std::vector<LimitShare>> grant_shares(const std::string& entry,
                                                        const ReportedLimits& limits, Time now);
    // Forgets entry hosts that do not ask any more, and loans that have ended.
    void expire(Time now);

  private:
    struct Entry {
        Incarnation incarnation = 0;
        std::uint64_t calls = 0;
        double per_second = 0; // smoothed
        Time seen{};
    };
    struct Loan {
        double part = 0;
        Time until{};
    };
    using Loans = std::map<std::string, std::vector<Loan>>; // by entry host
    using Parts = std::map<std::string, double>;

    // The wanted part of each entry host, for an endpoint.
    struct Split {
        double per_second = 0;
        Time made{};
        Parts parts;
    };

    const Parts& split(const LimitReport& limit, Time now);
    Parts make_split(const LimitReport& limit, const Parts& before) const;
    static Parts settled(Parts parts, const Parts& before);
    static double lent_to_others(const Loans& limit_shares, const std::string& entry, Time now);

    std::map<std::string, Entry> entries_;
    std::map<EndpointId, Loans> loans_;
    std::map<EndpointId, Split> splits_;
    Time lends_from_{};
};

} // namespace liftweir

#endif // LIMITALLOCATOR_H_INCLUDED
