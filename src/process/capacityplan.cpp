// Expected service by numbers of groups, and the plan that serves the most callers.

#include "process/capacityplan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace liftweir {

namespace {

// A busier group misses the goals of its callers, since its passes get longer with each stream.
constexpr double MaxBusyPart = 0.7;
// Part of the time in which a group is lost or forms anew. It makes the second group of a model
// worth more than the average load alone says.
constexpr double OutagePart = 0.1;

// Callers come in bursts: the load by its multiple of the mean, and the part of the time.
struct LoadLevel {
    double multiple;
    double part;
};
constexpr std::array<LoadLevel, 2> LoadLevels{{{1.0, 0.7}, {1.7, 0.3}}};

// A move must pay back within this time. Demand further in the future is unknown.
constexpr Duration PayBackTime = std::chrono::seconds(60);
// Least gain of a move, as a part of all callers: smaller ones are within the error of the demand.
constexpr double MinGain = 0.03;

constexpr Duration SmoothingTime = std::chrono::seconds(10);
// Shorter observations may be a burst, or one phase of a load that goes back and forth.
constexpr Duration MinObservation = std::chrono::seconds(8);

double served_if_open(double work, double groups) {
    double served = 0;
    for (const LoadLevel& level : LoadLevels)
        served += level.part * std::min(1.0, MaxBusyPart * groups / (level.multiple * work));
    return served;
}

double callers_served(const ModelNeed& need, std::size_t groups) {
    return need.callers * served_part(need, groups);
}

// The domain with the least room that holds a group of this size; the number of domains if none
// does. Rooms are kept large for models with large groups.
std::size_t tightest_domain(const std::vector<std::size_t>& rooms, std::size_t size) {
    std::size_t best = rooms.size();
    for (std::size_t n = 0; n < rooms.size(); ++n)
        if (rooms[n] >= size && (best == rooms.size() || rooms[n] < rooms[best]))
            best = n;
    return best;
}

} // namespace

// Groups are lost independently of each other, so the number of open ones has a binomial
// distribution.
double served_part(const ModelNeed& need, std::size_t groups) {
    if (need.work <= 0)
        return 1;
    double served = 0;
    double probability = std::pow(OutagePart, static_cast<double>(groups)); // that none is open
    for (std::size_t open = 0; open <= groups; ++open) {
        served += probability * served_if_open(need.work, static_cast<double>(open));
        probability *= static_cast<double>(groups - open) / static_cast<double>(open + 1) *
                       (1 - OutagePart) / OutagePart;
    }
    return served;
}

// Each step adds the group that serves the most further callers per host.
GroupCounts plan_groups(const std::vector<ModelNeed>& needs, std::vector<std::size_t> rooms) {
    GroupCounts plan;
    std::vector<const ModelNeed*> open;
    for (const ModelNeed& need : needs) {
        plan[need.model] = 0;
        if (need.work > 0)
            open.push_back(&need);
    }
    const auto value = [&](const ModelNeed& need) {
        const std::size_t groups = plan[need.model];
        const double gain = callers_served(need, groups + 1) - callers_served(need, groups);
        const bool first = groups == 0;
        return first ? std::numeric_limits<double>::max() : gain / static_cast<double>(need.size);
    };
    while (!open.empty()) {
        const auto best =
            std::max_element(open.begin(), open.end(), [&](const auto* a, const auto* b) {
                const double of_a = value(*a);
                const double of_b = value(*b);
                return of_a != of_b ? of_a < of_b : a->size < b->size;
            });
        const ModelNeed& need = **best;
        const std::size_t domain = tightest_domain(rooms, need.size);
        if (domain == rooms.size()) {
            open.erase(best);
            continue;
        }
        rooms[domain] -= need.size;
        ++plan[need.model];
    }
    return plan;
}

// The last group of a model is never moved: its callers would have nobody for the time of a load.
GroupMove best_move(const std::vector<ModelNeed>& needs, const GroupCounts& live) {
    GroupMove best;
    double callers = 0;
    for (const ModelNeed& need : needs)
        callers += need.callers;
    const auto count = [&](const ModelNeed& need) {
        const auto found = live.find(need.model);
        return found == live.end() ? 0 : found->second;
    };
    for (const ModelNeed& from : needs) {
        const std::size_t have = count(from);
        if (have < 2)
            continue;
        const double lost = callers_served(from, have) - callers_served(from, have - 1);
        for (const ModelNeed& to : needs) {
            const std::size_t gained = from.size / to.size;
            if (from.model == to.model || gained == 0)
                continue;
            const double won =
                callers_served(to, count(to) + gained) - callers_served(to, count(to));
            const double gain = won - lost;
            const double load_s = to_seconds(to.load);
            // Counted by callers alone, models with long requests would always lose their groups.
            if (to.urgency >= from.urgency &&
                served_part(from, have - 1) < served_part(to, count(to)))
                continue;
            const bool pays = gain * (to_seconds(PayBackTime) - load_s) > lost * load_s;
            if (!pays || gain < MinGain * callers || gain <= best.callers_gained)
                continue;
            best = {from.model, to.model, gained, gain};
        }
    }
    return best;
}

void SmoothedDemand::update(const ModelNeed& need, Time now) {
    if (first_ == Time{} && need.callers <= 0)
        return;
    if (first_ == Time{})
        first_ = now;
    Rates& rates = models_[need.model];
    Time& updated = updated_.try_emplace(need.model, first_).first->second;
    const double seconds = to_seconds(now - updated);
    const double window = to_seconds(std::min<Duration>(SmoothingTime, now - first_));
    const double weight = window <= 0 ? 1 : std::min(1.0, seconds / window);
    rates.callers += weight * (need.callers - rates.callers);
    rates.work += weight * (need.work - rates.work);
    if (need.callers > 0)
        rates.urgency += weight * (need.urgency - rates.urgency);
    updated = now;
}

bool SmoothedDemand::known(Time now) const {
    return first_ != Time{} && now - first_ >= MinObservation;
}

ModelNeed SmoothedDemand::smoothed(const ModelNeed& shape) const {
    ModelNeed need = shape;
    const auto found = models_.find(shape.model);
    const Rates rates = found == models_.end() ? Rates{} : found->second;
    need.callers = rates.callers;
    need.work = rates.work;
    need.urgency = rates.urgency;
    return need;
}

} // namespace liftweir
