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

// Ranges of a host's registry that should be asked for.
struct RangesToAsk {
    std::string host;
    std::vector<std::uint32_t> ranges;

    auto operator<=>(const RangesToAsk&) const = default;
};

// Decides which ranges of its registry a host asks others for, where theirs differ. Pure.
class RegistryRepair {
  public:
    // Another host's digests have come. Ranges to ask it for; none where what is under way may mend
    // the difference, or another host was asked just now. `trusted` is who is asked at first.
    std::vector<std::uint32_t> compare(const std::string& host, const RangeDigests& theirs,
                                       const RangeDigests& ours, bool trusted, Time now);
    // For a host that has just begun: what others agree upon it asks for as soon as it may.
    std::optional<RangesToAsk> agreed_ranges(const RangeDigests& ours, Time now);
    // The link to the host is new: what was seen of it before tells nothing.
    void forget(const std::string& host) { seen_.erase(host); }

  private:
    struct Seen {
        RangeDigests theirs{};
        RangeDigests ours{};
    };

    bool may_ask(Time now) const;
    std::size_t tellers(std::uint32_t range, std::uint64_t digest) const;

    std::map<std::string, Seen> seen_; // at the last comparison
    Time asked_{};
};

// The reports of some ranges in parts that leave a link free for other messages in between; those
// that have ended come first. `silent_ms` is counted from now.
struct RangeCopy {
    std::vector<EndpointReport> reports;
    std::vector<std::uint32_t> silent_ms;
};
std::vector<RangeCopy> copy_ranges(const Registry& registry,
                                   const std::vector<std::uint32_t>& ranges, Time now);

} // namespace liftweir

#endif // REGISTRYREPAIR_H_INCLUDED
