#include "process/registryrepair.h"

#include <algorithm>
#include <set>

namespace liftweir {

namespace {

// A copy that was asked for is here by then, over a slow link too.
constexpr Duration AskEvery = std::chrono::milliseconds(500);
// Keeps a message short enough to leave heartbeats their place on the link.
constexpr std::size_t ReportsInPart = 256;

} // namespace

// While hosts register, start or form groups, changes are under way all the time, and two
// registries are hardly ever equal. Only ranges that differ and have not changed on either side
// since the last comparison lack something.
std::vector<std::uint32_t> RegistryRepair::compare(const std::string& host,
                                                   const RangeDigests& theirs,
                                                   const RangeDigests& ours, bool trusted,
                                                   Time now) {
    const auto seen = seen_.find(host);
    const bool at_once = seen == seen_.end() && trusted;
    std::vector<std::uint32_t> wanted;
    for (std::uint32_t range = 0; range < RegistryRanges; ++range) {
        if (theirs[range] == ours[range])
            continue;
        const bool settled = seen != seen_.end() && seen->second.theirs[range] == theirs[range] &&
                             seen->second.ours[range] == ours[range];
        if (at_once || settled)
            wanted.push_back(range);
    }
    seen_[host] = {theirs, ours};
    if (wanted.empty() || !may_ask(now))
        return {};
    asked_ = now;
    return wanted;
}

bool RegistryRepair::may_ask(Time now) const {
    return asked_ == Time{} || now - asked_ >= AskEvery;
}

// Hosts whose last digest of the range was this one.
std::size_t RegistryRepair::tellers(std::uint32_t range, std::uint64_t digest) const {
    return static_cast<std::size_t>(
        std::count_if(seen_.begin(), seen_.end(),
                      [&](const auto& pair) { return pair.second.theirs[range] == digest; }));
}

// The host that it asked first may have just begun as well, and the links over which others told
// what they heard were not up yet. Digests come once a second at the most, and must differ twice:
// so it lacked endpoints for over a second, and refused its callers.
std::optional<RangesToAsk> RegistryRepair::agreed_ranges(const RangeDigests& ours, Time now) {
    if (!may_ask(now))
        return std::nullopt;
    for (const auto& [host, seen] : seen_) {
        RangesToAsk ask{host, {}};
        for (std::uint32_t range = 0; range < RegistryRanges; ++range)
            if (seen.theirs[range] != ours[range] && tellers(range, seen.theirs[range]) > 1)
                ask.ranges.push_back(range);
        if (ask.ranges.empty())
            continue;
        asked_ = now;
        return ask;
    }
    return std::nullopt;
}

std::vector<RangeCopy> copy_ranges(const Registry& registry,
                                   const std::vector<std::uint32_t>& ranges, Time now) {
    const std::set<std::size_t> wanted(ranges.begin(), ranges.end());
    std::vector<RangeCopy> parts;
    for (const bool ended : {true, false})
        for (const auto& [id, item] : registry.items()) {
            if ((item.report.phase == EndpointPhase::Gone) != ended ||
                !wanted.contains(Registry::range_of(id.name)))
                continue;
            if (parts.empty() || parts.back().reports.size() == ReportsInPart)
                parts.emplace_back();
            parts.back().reports.push_back(item.report);
            parts.back().silent_ms.push_back(
                static_cast<std::uint32_t>(to_millis(now - item.last_contact)));
        }
    return parts;
}

} // namespace liftweir
