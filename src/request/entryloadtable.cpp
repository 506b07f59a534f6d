#include "request/entryloadtable.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

constexpr Duration ToldKept = std::chrono::milliseconds(1500);
// On the wire: 200 groups are told once a second.
constexpr double BytesPerGroup = 20;
constexpr double BytesPerSecond = 4000;

void add_to(std::map<Epoch, GroupLoad>& sums, const std::vector<GroupLoadReport>& shares) {
    for (const GroupLoadReport& share : shares)
        sums[share.epoch].add(share.load);
}

void take_from(std::map<Epoch, GroupLoad>& sums, const std::vector<GroupLoadReport>& shares) {
    for (const GroupLoadReport& share : shares) {
        const auto sum = sums.find(share.epoch);
        if (sum == sums.end())
            continue;
        sum->second.take(share.load);
        if (sum->second.idle())
            sums.erase(sum);
    }
}

} // namespace

void EntryLoadTable::tell(const std::string& entry, std::vector<GroupLoadReport> shares, Time now) {
    Told& told = told_[entry];
    take_from(all_, told.shares);
    add_to(all_, shares);
    told = {std::move(shares), now};
}

std::vector<GroupLoadReport> EntryLoadTable::load_of_others(const std::string& entry) const {
    std::map<Epoch, GroupLoad> sums = all_;
    if (const auto told = told_.find(entry); told != told_.end())
        take_from(sums, told->second.shares);
    std::vector<GroupLoadReport> others;
    others.reserve(sums.size());
    for (const auto& [epoch, load] : sums)
        others.push_back({epoch, load});
    return others;
}

void EntryLoadTable::expire(Time now) {
    for (auto told = told_.begin(); told != told_.end();) {
        if (now - told->second.when <= ToldKept) {
            ++told;
            continue;
        }
        take_from(all_, told->second.shares);
        told = told_.erase(told);
    }
}

Duration EntryLoadTable::every() const {
    const double seconds = BytesPerGroup * static_cast<double>(all_.size()) / BytesPerSecond;
    const auto needed =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return std::max(LoadReportInterval, needed);
}

} // namespace liftweir
