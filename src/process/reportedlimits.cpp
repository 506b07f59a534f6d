#include "process/reportedlimits.h"

#include <algorithm>

namespace liftweir {

namespace {

// A word of another process seems younger than it is by its time on the way. The end of a limit is
// believed only where this can not matter.
constexpr Duration LongestTransit = std::chrono::milliseconds(500);
// Late copies of the limit may arrive for so long after its end.
constexpr Duration EndKept = std::chrono::seconds(30);

} // namespace

bool ReportedLimits::add_report(const EndpointId& endpoint, double per_second, Time sent) {
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        if (per_second > 0)
            entries_[endpoint] = {per_second, sent};
        return per_second > 0;
    }
    Entry& entry = found->second;
    if (sent < entry.said)
        return false;
    const bool changes = entry.per_second != per_second;
    entry = {per_second, sent};
    return changes;
}

bool ReportedLimits::merge(const LimitReport& word, Time now) {
    const Time said = now - std::chrono::milliseconds(word.age_ms);
    const bool ends = word.per_second <= 0;
    return add_report(word.endpoint, word.per_second, ends ? said - LongestTransit : said);
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
        reports.push_back(
            {endpoint, entry.per_second, static_cast<std::uint32_t>(to_millis(now - entry.said))});
    return reports;
}

// A limit holds for as long as its endpoint lives: forgotten sooner, all entry hosts would send
// their next requests at once.
void ReportedLimits::expire(const std::function<bool(const EndpointId&)>& known, Time now) {
    std::erase_if(entries_, [&](const auto& item) {
        const bool old = now - item.second.said > EndKept;
        return old && (item.second.per_second <= 0 || !known(item.first));
    });
}

} // namespace liftweir
