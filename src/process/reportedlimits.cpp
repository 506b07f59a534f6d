// Merges limits reported by endpoints; runs in liftweir-site-control and liftweir-site-entry.

#include "process/reportedlimits.h"

#include <algorithm>

namespace liftweir {

namespace {

// A report from another process seems younger than it is by its transit time. The end of a limit is
// accepted only if it is newer than the known limit even after this transit time.
constexpr Duration MaxTransitTime = std::chrono::milliseconds(500);
// Delayed reports of a limit may arrive for this long after its end.
constexpr Duration EndedLimitKept = std::chrono::seconds(30);

} // namespace

bool ReportedLimits::add_report(const EndpointId& endpoint, double per_second, Time sent) {
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        if (per_second > 0)
            entries_[endpoint] = {per_second, sent};
        return per_second > 0;
    }
    Entry& entry = found->second;
    if (sent < entry.reported_at)
        return false;
    const bool changes = entry.per_second != per_second;
    entry = {per_second, sent};
    return changes;
}

bool ReportedLimits::merge(const LimitReport& report, Time now) {
    const Time reported_at = now - std::chrono::milliseconds(report.age_ms);
    const bool ends = report.per_second <= 0;
    return add_report(report.endpoint, report.per_second,
                      ends ? reported_at - MaxTransitTime : reported_at);
}

double ReportedLimits::limit(const EndpointId& endpoint) const {
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? 0 : found->second.per_second;
}

std::size_t ReportedLimits::limited() const {
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [](const auto& item) { return item.second.per_second > 0; }));
}

std::vector<LimitReport> ReportedLimits::reports(Time now) const {
    std::vector<LimitReport> reports;
    for (const auto& [endpoint, entry] : entries_)
        reports.push_back({endpoint, entry.per_second,
                           static_cast<std::uint32_t>(to_millis(now - entry.reported_at))});
    return reports;
}

// A limit is kept for as long as its endpoint exists. If it were forgotten sooner, all entry hosts
// would send their next requests at once.
void ReportedLimits::expire(const std::function<bool(const EndpointId&)>& known, Time now) {
    std::erase_if(entries_, [&](const auto& item) {
        const bool old = now - item.second.reported_at > EndedLimitKept;
        return old && (item.second.per_second <= 0 || !known(item.first));
    });
}

} // namespace liftweir
