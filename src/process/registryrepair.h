// Finds differences between the registries of two hosts and requests the missing reports.
// Runs in liftweir-site-control and liftweir-site-entry.

#ifndef REGISTRYREPAIR_H_INCLUDED
#define REGISTRYREPAIR_H_INCLUDED

#include "process/clock.h"
#include "process/registry.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace liftweir {

// Ranges of a host's registry that should be requested from it.
struct RangesToRequest {
    std::string host;
    std::vector<std::uint32_t> ranges;

    auto operator<=>(const RangesToRequest&) const = default;
};

// Decides which ranges of its registry a host requests from other hosts whose digests differ.
// Does no I/O.
class RegistryRepair {
  public:
    // Compares another host's digests with the own ones. Returns the ranges to request from it;
    // none where messages in flight may remove the difference, or where a request was sent just
    // now. The first digests of a `trusted` host are acted on at once.
    std::vector<std::uint32_t> compare(const std::string& host, const RangeDigests& theirs,
                                       const RangeDigests& ours, bool trusted, Time now);
    // For a host that has just started: ranges to request in which at least two other hosts agree
    // with each other and differ from this host.
    std::optional<RangesToRequest> agreed_ranges(const RangeDigests& ours, Time now);
    // The link to the host is new, so its earlier digests are obsolete.
    void forget(const std::string& host) { seen_.erase(host); }

  private:
    struct Seen {
        RangeDigests theirs{};
        RangeDigests ours{};
    };

    bool may_request(Time now) const;
    std::size_t hosts_with_digest(std::uint32_t range, std::uint64_t digest) const;

    std::map<std::string, Seen> seen_; // at the last comparison
    Time last_request_{};
};

// The reports of some ranges, in parts that are small enough to let other messages pass on a link.
// Endpoints that are gone come first. `silent_ms` is the time since each was known to be alive.
struct RangeCopy {
    std::vector<EndpointReport> reports;
    std::vector<std::uint32_t> silent_ms;
};
std::vector<RangeCopy> copy_ranges(const Registry& registry,
                                   const std::vector<std::uint32_t>& ranges, Time now);

// The routable endpoints of some ranges, as an entry host requests them.
struct RoutableCopy {
    std::vector<RangeCopy> parts;
    std::vector<EndpointId> unknown; // ids of `held` that the registry does not know
};
// `held` are the endpoints of the ranges that the entry host takes for routable. Those of them that
// are known and not routable any more come first in the copy.
RoutableCopy copy_routable(const Registry& registry, const std::vector<std::uint32_t>& ranges,
                           const std::vector<EndpointId>& held, Time now);
// The routable endpoints of the ranges.
std::vector<EndpointId> routable_in(const Registry& registry,
                                    const std::vector<std::uint32_t>& ranges);

} // namespace liftweir

#endif // REGISTRYREPAIR_H_INCLUDED
