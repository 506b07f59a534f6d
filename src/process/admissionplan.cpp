// Admission levels from demand and supply: classes in the order of urgency, and max-min fairness by
// work among the customers of the class that is admitted partly.

#include "process/admissionplan.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace liftweir {

namespace {

// A group that is kept busy for this part of the time still answers within the goals of its
// callers; beyond it the queue in front of the group takes the time that the goal leaves.
constexpr double UsablePart = 0.7;
// Loads are requested work divided by the usable capacity. Admission starts above the usable
// capacity, since the smoothed rates of a load close to it vary by a few percent. It ends below it,
// so that a load that varies around either threshold does not start and end it in turn.
constexpr double StartLoad = 1.1;
constexpr double EndLoad = 0.95;
// Bounds the time of a computation where the named customers ask for next to nothing.
constexpr double MaxUnnamedCustomers = 1000;

// Work of one class, in groups.
struct ClassWork {
    double all = 0; // of all customers
    std::map<std::string, double> customers;
};

// By urgency, so that the first is the most urgent.
using ModelWork = std::map<std::uint32_t, ClassWork>;

// Entry hosts that reported at different times can give a sum over the named customers that is
// larger than the one over all of them.
double total_of(const ClassWork& work) {
    double named = 0;
    for (const auto& [customer, amount] : work.customers)
        named += amount;
    return std::max(work.all, named);
}

double total_of(const ModelWork& model) {
    double sum = 0;
    for (const auto& [urgency, work] : model)
        sum += total_of(work);
    return sum;
}

double median_of(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double part_of(double granted, double work) {
    return work > 0 ? std::clamp(granted / work, 0.0, 1.0) : 1.0;
}

// The number of customers without lines is unknown. Each is taken to ask for the median of the
// named ones: treated as one customer, many small ones would get next to nothing.
void share_out(const ClassWork& work, double capacity, AdmissionLevel& level) {
    const double total = total_of(work);
    std::vector<double> works;
    for (const auto& [customer, amount] : work.customers)
        if (amount > 0)
            works.push_back(amount);
    if (works.empty()) {
        level.part = part_of(capacity, total);
        return;
    }
    double unnamed = total;
    for (const double amount : works)
        unnamed -= amount;
    const double typical = std::max(median_of(works), unnamed / MaxUnnamedCustomers);
    for (; unnamed > 0; unnamed -= typical)
        works.push_back(std::min(unnamed, typical));
    const double granted = fair_work(std::move(works), capacity);
    level.part = part_of(granted, typical);
    for (const auto& [customer, amount] : work.customers)
        level.customers.push_back({customer, part_of(granted, amount)});
}

void admit_most_urgent(const ModelWork& model, double capacity, AdmissionLevel& level) {
    double left = capacity;
    for (const auto& [urgency, work] : model) {
        level.urgency = urgency;
        level.part = 1;
        const double asked = total_of(work);
        if (asked > left) {
            share_out(work, left, level);
            return;
        }
        left -= asked;
    }
}

// Zero stands for an unknown time, so a group that opens at once is announced for the next
// millisecond.
std::uint32_t opens_in_ms(const ModelSupply& model) {
    return model.opening
               ? static_cast<std::uint32_t>(std::max<std::int64_t>(1, to_millis(model.opens_in)))
               : 0;
}

// The model has no open group: its callers are refused for that reason, and all that they need to
// know is when the next group opens.
AdmissionLevel level_without_groups(const ModelSupply& model) {
    AdmissionLevel level;
    level.service = model.service;
    level.model = model.model;
    level.urgency = std::numeric_limits<std::uint32_t>::max();
    level.opens_in_ms = opens_in_ms(model);
    return level;
}

} // namespace

double fair_work(std::vector<double> works, double capacity) {
    std::sort(works.begin(), works.end());
    double left = std::max(0.0, capacity);
    for (std::size_t n = 0; n < works.size(); ++n) {
        const double equal = left / static_cast<double>(works.size() - n);
        if (works[n] > equal)
            return equal;
        left -= works[n];
    }
    return works.empty() ? 0 : works.back();
}

std::vector<AdmissionLevel>
AdmissionPlanner::plan(const std::vector<ModelDemand>& demand,
                       const std::vector<ModelSupply>& supply,
                       const std::map<std::string, EngineCost>& engines) {
    std::map<ModelKey, ModelWork> works;
    for (const ModelDemand& line : demand) {
        const auto engine = engines.find(line.service);
        const ModelShape* shape =
            engine == engines.end() ? nullptr : engine->second.model(line.model);
        if (shape == nullptr)
            continue;
        ClassWork& work = works[{line.service, line.model}][line.urgency];
        (line.customer.empty() ? work.all : work.customers[line.customer]) +=
            std::max(0.0, work_of(line, engine->second, *shape));
    }
    std::set<ModelKey> overloaded;
    std::vector<AdmissionLevel> levels;
    for (const ModelSupply& model : supply) {
        const ModelKey key{model.service, model.model};
        const auto work = works.find(key);
        if (work == works.end())
            continue;
        if (model.groups <= 0) {
            if (model.opening)
                levels.push_back(level_without_groups(model));
            continue;
        }
        const double capacity = UsablePart * model.groups;
        const double load = total_of(work->second) / capacity;
        if (load <= (overloaded_.contains(key) ? EndLoad : StartLoad))
            continue;
        overloaded.insert(key);
        AdmissionLevel level;
        level.service = model.service;
        level.model = model.model;
        level.load = load;
        level.opens_in_ms = opens_in_ms(model);
        admit_most_urgent(work->second, capacity, level);
        levels.push_back(std::move(level));
    }
    overloaded_ = std::move(overloaded);
    return levels;
}

} // namespace liftweir
