// How many serving groups of each model the hosts should form for the callers' demand. Run by
// liftweir-site-control.

#ifndef CAPACITYPLAN_H_INCLUDED
#define CAPACITYPLAN_H_INCLUDED

#include "process/clock.h"
#include "request/modeldemand.h"
#include "version/deployment.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace liftweir {

// What callers ask of one model, and the size of its groups.
struct ModelNeed {
    std::string model;
    std::size_t size = 1; // hosts of one group
    double callers = 0;   // first attempts per second
    double work = 0;      // groups that the callers would keep busy all the time
    double urgency = 0;   // mean of the callers' requests; lower is more urgent
    Duration load{};      // time to load the weights

    auto operator<=>(const ModelNeed&) const = default;
};

using GroupCounts = std::map<std::string, std::size_t>; // by model

// Part of the model's callers that `groups` groups serve in time, 0 to 1: the mean over bursts and
// over groups that are lost at the moment.
double served_part(const ModelNeed& need, std::size_t groups);

// The numbers of groups that serve the most callers, for domains with these numbers of hosts. Every
// caller counts the same. A model that is asked for gets at least one group if any domain holds it.
GroupCounts plan_groups(const std::vector<ModelNeed>& needs, std::vector<std::size_t> domain_hosts);

// The hosts of one group of `from` load the weights of `to` and form `gained` groups of it.
struct GroupMove {
    std::string from;
    std::string to;
    std::size_t gained = 0;
    double callers_gained = 0; // served per second once the move is done, less those lost

    auto operator<=>(const GroupMove&) const = default;
};

// The move that serves the most additional callers, or one without a model if none pays. A move
// pays if what it gains before demand may have changed exceeds what the closed group would have
// served meanwhile. It leaves no model worse off than one that is not more urgent.
GroupMove best_move(const std::vector<ModelNeed>& needs, const GroupCounts& live);

// Demand smoothed over several seconds, so that bursts and waves move no hosts. Before that time
// has passed it is the mean since the first callers.
class SmoothedDemand {
  public:
    // Takes the current demand of one model.
    void update(const ModelNeed& need, Time now);
    // Whether callers have been asking long enough to judge by.
    bool known(Time now) const;
    // The model's need with smoothed rates; zero rates if nobody asks for it.
    ModelNeed smoothed(const ModelNeed& shape) const;

  private:
    struct Rates {
        double callers = 0;
        double work = 0;
        double urgency = 0;
    };

    std::map<std::string, Rates> models_;
    std::map<std::string, Time> updated_;
    Time first_{};
};

} // namespace liftweir

#endif // CAPACITYPLAN_H_INCLUDED
