// The data of one placement planning run. Used by liftweir-control.

#ifndef PLACEMENTPASS_H_INCLUDED
#define PLACEMENTPASS_H_INCLUDED

#include "process/placement.h"

namespace liftweir {

// The inputs of one planning run, the hosts and groups that it has already used, and its commands.
struct PlacementPlanner::Pass {
    const State& state;
    const std::map<std::string, PlacementSettings>& by_site;
    Time now;
    std::vector<Command> out = {};
    std::set<HostName> used_hosts = {};             // hosts reserved in this run
    std::set<Epoch> used_groups = {};               // groups that a command of this run changes
    std::map<std::string, std::size_t> formed = {}; // groups formed in this run, by site

    const PlacementSettings& settings(const std::string& site) const {
        static const PlacementSettings defaults;
        const auto found = by_site.find(site);
        return found == by_site.end() ? defaults : found->second;
    }

    const WantedModel* wanted(const std::string& site, const std::string& model) const {
        for (const WantedModel& w : settings(site).models)
            if (w.spec.model == model)
                return &w;
        return nullptr;
    }

    // Counts the active groups of a model that no command of this run ends.
    template <typename Filter>
    std::size_t count_groups(const std::string& site, const std::string& model,
                             Filter filter) const {
        std::size_t count = 0;
        for (const auto& [epoch, group] : state.groups())
            if (group.site == site && group.model.model == model &&
                group.phase == GroupPhase::Active && !used_groups.contains(epoch) && filter(group))
                ++count;
        return count;
    }
    std::size_t count_groups(const std::string& site, const std::string& model) const {
        return count_groups(site, model, [](const Group&) { return true; });
    }

    bool domain_suspected(const PlacementPlanner& planner, const std::string& domain) const;
    void drop_surplus(const PlacementPlanner& planner, const std::string& site,
                      const WantedModel& wanted, std::size_t surplus);
};

} // namespace liftweir

#endif // PLACEMENTPASS_H_INCLUDED
