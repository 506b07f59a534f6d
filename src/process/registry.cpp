#include "process/registry.h"

#include "connection/codec.h"

#include <algorithm>
#include <xxhash.h>

namespace liftweir {

namespace {

// An ended endpoint is remembered longer than any delayed report of it can travel.
constexpr Duration GoneKept = std::chrono::seconds(60);
// A silent endpoint may be cut off from control and still serve. Cuts last seconds to a minute.
constexpr Duration SilentKept = std::chrono::seconds(120);

} // namespace

std::string_view name_of(MemberState state) {
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Ready:
        return "ready";
    case MemberState::Open:
        return "open";
    case MemberState::Closing:
        return "closing";
    case MemberState::Broken:
        return "broken";
    }
    return "unknown";
}

bool EndpointReport::same_content(const EndpointReport& other) const {
    EndpointReport copy = other;
    copy.sequence = sequence;
    return *this == copy;
}

const Registry::Item* Registry::find(const EndpointId& id) const {
    const auto found = items_.find(id);
    return found == items_.end() ? nullptr : &found->second;
}

// An address serves one incarnation at a time: whoever held it before has ended.
void Registry::retire_address(const EndpointReport& newer, Time now) {
    for (auto& [id, item] : items_)
        if (id != newer.id && item.report.address == newer.address &&
            item.report.phase != EndpointPhase::Gone) {
            item.report.phase = EndpointPhase::Gone;
            item.heard = now;
        }
}

bool Registry::merge(EndpointReport report, Time heard) {
    const auto found = items_.find(report.id);
    if (found == items_.end()) {
        if (report.phase != EndpointPhase::Gone)
            retire_address(report, heard);
        items_.emplace(report.id, Item{report, heard});
        return true;
    }
    Item& item = found->second;
    if (item.report.phase == EndpointPhase::Gone)
        return false;
    if (report.phase == EndpointPhase::Gone)
        return mark_gone(report.id, heard);
    if (report.sequence <= item.report.sequence)
        return false;
    item.heard = std::max(item.heard, heard);
    const bool changed = !report.same_content(item.report);
    item.report = std::move(report);
    return changed;
}

bool Registry::remember(const EndpointReport& report, Time now) {
    const bool newer_known = std::any_of(items_.begin(), items_.end(), [&](const auto& pair) {
        return pair.first == report.id || pair.second.report.address == report.address;
    });
    if (newer_known)
        return false;
    items_.emplace(report.id, Item{report, now});
    return true;
}

bool Registry::mark_gone(const EndpointId& id, Time now) {
    const auto found = items_.find(id);
    if (found == items_.end()) {
        EndpointReport unknown;
        unknown.id = id;
        unknown.phase = EndpointPhase::Gone;
        items_.emplace(id, Item{std::move(unknown), now});
        return true;
    }
    if (found->second.report.phase == EndpointPhase::Gone)
        return false;
    found->second.report.phase = EndpointPhase::Gone;
    found->second.heard = now;
    return true;
}

void Registry::heard(const EndpointId& id, Time now) {
    const auto found = items_.find(id);
    if (found != items_.end() && found->second.report.phase != EndpointPhase::Gone)
        found->second.heard = now;
}

void Registry::expire(Time now) {
    std::erase_if(items_, [&](const auto& pair) {
        const Item& item = pair.second;
        const bool gone = item.report.phase == EndpointPhase::Gone;
        return now - item.heard > (gone ? GoneKept : SilentKept);
    });
}

// Endpoints that are gone are left out: each side forgets them at its own time.
std::uint64_t Registry::digest() const {
    std::uint64_t sum = 0;
    for (const auto& [id, item] : items_) {
        if (item.report.phase == EndpointPhase::Gone)
            continue;
        EndpointReport content = item.report;
        content.sequence = 0;
        const std::string bytes = encode_struct(content);
        sum += XXH64(bytes.data(), bytes.size(), 0);
    }
    return sum;
}

} // namespace liftweir
