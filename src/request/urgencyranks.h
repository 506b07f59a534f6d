// The order of urgency among the requests of one service, and the engine priorities that follow.

#ifndef URGENCYRANKS_H_INCLUDED
#define URGENCYRANKS_H_INCLUDED

#include "version/deployment.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace liftweir {

// Priorities that engines accept: 0 first, 9 last. A request without one has the default.
constexpr std::uint32_t DefaultEnginePriority = 5;
constexpr std::uint32_t LastEnginePriority = 9;

// Position of an urgency among the different ones of a service, from 0 for the most urgent.
struct UrgencyRank {
    std::uint32_t rank = 0;
    std::uint32_t count = 1; // of different urgencies

    auto operator<=>(const UrgencyRank&) const = default;
};

// A request that will be late in any case goes behind all that will not. Where all requests of a
// service are equally urgent, a request in time has the default.
std::uint32_t engine_priority(const UrgencyRank& urgency, bool late);

// The urgencies that the routes and customers of a deployment can give to requests for each service
// with an engine.
class UrgencyRanks {
  public:
    UrgencyRanks() = default;
    explicit UrgencyRanks(const Deployment& deployment);

    // Rank 0 of 1 for a service without an engine.
    UrgencyRank rank(const std::string& service, std::uint32_t urgency) const;

  private:
    std::map<std::string, std::set<std::uint32_t>> urgencies_; // by service
};

} // namespace liftweir

#endif // URGENCYRANKS_H_INCLUDED
