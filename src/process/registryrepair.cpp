// Comparison of registry digests; runs in liftweir-site-control and liftweir-site-entry.

#include "process/registryrepair.h"

#include <algorithm>
#include <set>

namespace liftweir {

namespace {

// A requested copy arrives within this time, over a slow link too.
constexpr Duration RequestInterval = std::chrono::milliseconds(500);
// Keeps a message short enough that heartbeats are not delayed on the link.
constexpr std::size_t MaxReportsPerPart = 256;

} // namespace

// While endpoints register, start or form groups, changes are in flight all the time and two
// registries are hardly ever equal. Only a range that differs and has not changed on either side
// since the last comparison really lacks reports.
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
        const bool unchanged = seen != seen_.end() && seen->second.theirs[range] == theirs[range] &&
                               seen->second.ours[range] == ours[range];
        if (at_once || unchanged)
            wanted.push_back(range);
    }
    seen_[host] = {theirs, ours};
    if (wanted.empty() || !may_request(now))
        return {};
    last_request_ = now;
    return wanted;
}

bool RegistryRepair::may_request(Time now) const {
    return last_request_ == Time{} || now - last_request_ >= RequestInterval;
}

// Number of hosts whose last digest of the range was this one.
std::size_t RegistryRepair::hosts_with_digest(std::uint32_t range, std::uint64_t digest) const {
    return static_cast<std::size_t>(
        std::count_if(seen_.begin(), seen_.end(),
                      [&](const auto& pair) { return pair.second.theirs[range] == digest; }));
}

// The host that a newly started host asks first may have just started as well, before the links
// were up on which others send their changes. Digests arrive at most once a second and must differ
// twice, so without this check the newcomer lacked endpoints and refused callers for over a second.
std::optional<RangesToRequest> RegistryRepair::agreed_ranges(const RangeDigests& ours, Time now) {
    if (!may_request(now))
        return std::nullopt;
    for (const auto& [host, seen] : seen_) {
        RangesToRequest request{host, {}};
        for (std::uint32_t range = 0; range < RegistryRanges; ++range)
            if (seen.theirs[range] != ours[range] &&
                hosts_with_digest(range, seen.theirs[range]) > 1)
                request.ranges.push_back(range);
        if (request.ranges.empty())
            continue;
        last_request_ = now;
        return request;
    }
    return std::nullopt;
}

namespace {

// Fills parts of limited size.
class PartWriter {
  public:
    explicit PartWriter(Time now) : now_(now) {}

    void add(const Registry::Item& item) {
        if (parts_.empty() || parts_.back().reports.size() == MaxReportsPerPart)
            parts_.emplace_back();
        parts_.back().reports.push_back(item.report);
        parts_.back().silent_ms.push_back(
            static_cast<std::uint32_t>(to_millis(now_ - item.last_contact)));
    }
    std::vector<RangeCopy> take() { return std::move(parts_); }

  private:
    Time now_;
    std::vector<RangeCopy> parts_;
};

} // namespace

std::vector<RangeCopy> copy_ranges(const Registry& registry,
                                   const std::vector<std::uint32_t>& ranges, Time now) {
    const std::set<std::size_t> wanted(ranges.begin(), ranges.end());
    PartWriter parts(now);
    for (const bool ended : {true, false})
        for (const auto& [id, item] : registry.items())
            if ((item.report.phase == EndpointPhase::Gone) == ended &&
                wanted.contains(Registry::range_of(id.name)))
                parts.add(item);
    return parts.take();
}

RoutableCopy copy_routable(const Registry& registry, const std::vector<std::uint32_t>& ranges,
                           const std::vector<EndpointId>& held, Time now) {
    RoutableCopy copy;
    PartWriter parts(now);
    for (const EndpointId& id : held) {
        const Registry::Item* item = registry.find(id);
        if (item == nullptr)
            copy.unknown.push_back(id);
        else if (!item->report.routable())
            parts.add(*item);
    }
    for (const EndpointId& id : routable_in(registry, ranges))
        parts.add(*registry.find(id));
    copy.parts = parts.take();
    return copy;
}

std::vector<EndpointId> routable_in(const Registry& registry,
                                    const std::vector<std::uint32_t>& ranges) {
    const std::set<std::size_t> wanted(ranges.begin(), ranges.end());
    std::vector<EndpointId> ids;
    for (const EndpointId& id : registry.routable())
        if (wanted.contains(Registry::range_of(id.name)))
            ids.push_back(id);
    return ids;
}

} // namespace liftweir
