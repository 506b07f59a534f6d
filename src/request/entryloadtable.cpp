// Table of the load reports of all entry hosts.

#include "request/entryloadtable.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// A host that has missed this many reports is idle or lost. Where groups are few, reports come so
// often that a short stall would look like that.
constexpr int MissedReports = 3;
constexpr Duration MinReportTimeout = std::chrono::milliseconds(1500);
// Encoded size of a report and the bandwidth for it: 200 groups are reported once per second.
constexpr double BytesPerGroup = 20;
constexpr double BytesPerSecond = 4000;

void add_to(std::map<Epoch, GroupLoad>& sums, const std::vector<GroupLoadReport>& group_loads) {
    for (const GroupLoadReport& group_load : group_loads)
        sums[group_load.epoch].add(group_load.load);
}

void subtract_from(std::map<Epoch, GroupLoad>& sums,
                   const std::vector<GroupLoadReport>& group_loads) {
    for (const GroupLoadReport& group_load : group_loads) {
        const auto sum = sums.find(group_load.epoch);
        if (sum == sums.end())
            continue;
        sum->second.subtract(group_load.load);
        if (sum->second.idle())
            sums.erase(sum);
    }
}

} // namespace

void EntryLoadTable::store(const std::string& entry, std::vector<GroupLoadReport> group_loads,
                           Time now) {
    EntryLoad& report = reports_[entry];
    subtract_from(total_, report.group_loads);
    add_to(total_, group_loads);
    report = {std::move(group_loads), now};
}

std::vector<GroupLoadReport> EntryLoadTable::load_of_others(const std::string& entry) const {
    std::map<Epoch, GroupLoad> sums = total_;
    if (const auto report = reports_.find(entry); report != reports_.end())
        subtract_from(sums, report->second.group_loads);
    std::vector<GroupLoadReport> others;
    others.reserve(sums.size());
    for (const auto& [epoch, load] : sums)
        others.push_back({epoch, load});
    return others;
}

// The interval grows with the number of groups, and so does the timeout.
void EntryLoadTable::expire(Time now) {
    const Duration timeout = std::max(MinReportTimeout, MissedReports * report_interval());
    for (auto report = reports_.begin(); report != reports_.end();) {
        if (now - report->second.received_at <= timeout) {
            ++report;
            continue;
        }
        subtract_from(total_, report->second.group_loads);
        report = reports_.erase(report);
    }
}

Duration EntryLoadTable::report_interval() const {
    const double seconds = BytesPerGroup * static_cast<double>(total_.size()) / BytesPerSecond;
    const auto needed =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return std::max(LoadReportInterval, needed);
}

} // namespace liftweir
