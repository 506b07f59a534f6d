// Merges reports of endpoints and resolves conflicts over an address; runs in liftweir-site-control
// and liftweir-site-entry.

#include "process/registry.h"

#include "connection/codec.h"
#include "connection/link.h"
#include "version/deployment.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace liftweir {

namespace {

// An endpoint that is gone is remembered for longer than a report of it can be delayed.
constexpr Duration GoneKept = std::chrono::seconds(60);
// An unresponsive endpoint may be partitioned from control and still serve. Partitions last seconds
// to a minute.
constexpr Duration SilentKept = std::chrono::seconds(120);
constexpr Duration AddressCheckInterval = std::chrono::milliseconds(400);

// True for an address of the form ip:port that can be connected to.
bool is_address(const std::string& text) {
    const auto digits = std::string_view(text).substr(text.rfind(':') + 1);
    const auto parsed = parse_address(text);
    return parsed && parsed->port() != 0 &&
           digits.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

std::string_view name_of(ReportFault fault) {
    switch (fault) {
    case ReportFault::None:
        return "none";
    case ReportFault::Unreadable:
        return "unreadable";
    case ReportFault::Name:
        return "name";
    case ReportFault::Start:
        return "start";
    case ReportFault::Service:
        return "service";
    case ReportFault::Address:
        return "address";
    case ReportFault::Place:
        return "place";
    case ReportFault::Phase:
        return "phase";
    case ReportFault::Slots:
        return "slots";
    case ReportFault::Sequence:
        return "sequence";
    case ReportFault::Group:
        return "group";
    case ReportFault::Changed:
        return "changed";
    }
    return "unknown";
}

ReportFault fault_of(const EndpointReport& report) {
    if (report.id.name.empty())
        return ReportFault::Name;
    if (report.slots > MaxEndpointSlots)
        return ReportFault::Slots;
    if (report.membership.rank >= MaxGroupMembers || report.membership.state > MemberState::Broken)
        return ReportFault::Group;
    if (report.phase == EndpointPhase::Gone)
        return ReportFault::None;
    if (report.service.empty())
        return ReportFault::Service;
    if (!is_address(report.address))
        return ReportFault::Address;
    if (report.phase > EndpointPhase::Gone)
        return ReportFault::Phase;
    if (report.grouped() && report.membership.group.empty())
        return ReportFault::Group;
    return ReportFault::None;
}

const Registry::Item* Registry::find(const EndpointId& id) const {
    const auto found = items_.find(id);
    return found == items_.end() ? nullptr : &found->second;
}

const Registry::Item* Registry::latest(const std::string& name) const {
    auto after = items_.upper_bound(EndpointId(name, std::numeric_limits<std::uint64_t>::max()));
    if (after == items_.begin())
        return nullptr;
    const auto& [id, item] = *--after;
    return id.name == name ? &item : nullptr;
}

// Called for the first report of each endpoint. Without the index by address, a scan of all
// endpoints took most of every host's processor share while 3,000 registered (9 million
// comparisons).
const Registry::Item* Registry::occupant(const std::string& address,
                                         const EndpointId& other_than) const {
    const auto [first, last] = by_address_.equal_range(address);
    const Item* found = nullptr;
    for (auto at = first; at != last; ++at) {
        const Item* item = find(at->second);
        if (item == nullptr || item->report.phase == EndpointPhase::Gone ||
            at->second == other_than)
            continue;
        if (found == nullptr || item->report.id < found->report.id)
            found = item;
    }
    return found;
}

bool Registry::replaced(const EndpointReport& report) const {
    if (report.phase != EndpointPhase::Gone)
        return false;
    const Item* last = latest(report.id.name);
    return (last != nullptr && report.id.started_before(last->report.id)) ||
           occupant(report.address, report.id) != nullptr;
}

void Registry::forget(const EndpointId& id) {
    drop(id);
    conflicts_.erase(id);
}

// ---- items and their digest

// Control hosts compare digests with all other hosts continuously. A digest that is kept as a sum
// costs one hash per change.
void Registry::update_indexes(Item& item) {
    index_.put(item.report);
    std::uint64_t digest = 0;
    // Endpoints that are gone are left out, since each host forgets them at its own time.
    if (item.report.phase != EndpointPhase::Gone) {
        EndpointReport content = item.report;
        content.sequence = 0;
        const std::string bytes = encode_struct(content);
        digest = XXH64(bytes.data(), bytes.size(), 0);
    }
    set_digests(item, digest, item.report.routable());
}

void Registry::set_digests(Item& item, std::uint64_t digest, bool routable) {
    const std::size_t range = range_of(item.report.id.name);
    all_.replace(range, item.digest, digest);
    item.digest = digest;
    routable_only_.replace(range, item.routable_digest, routable ? digest : 0);
    item.routable_digest = routable ? digest : 0;
    if (routable)
        routable_.insert(item.report.id);
    else
        routable_.erase(item.report.id);
}

void Registry::Digests::replace(std::size_t range, std::uint64_t before, std::uint64_t after) {
    digest += after - before;
    ranges[range] += after - before;
}

std::size_t Registry::range_of(const std::string& name) {
    return XXH64(name.data(), name.size(), 0) % RegistryRanges;
}

void Registry::put(const EndpointId& id, Item item) {
    drop(id);
    const auto placed = items_.emplace(id, std::move(item)).first;
    by_address_.emplace(placed->second.report.address, id);
    update_indexes(placed->second);
}

void Registry::drop(const EndpointId& id) {
    const auto found = items_.find(id);
    if (found == items_.end())
        return;
    const auto [first, last] = by_address_.equal_range(found->second.report.address);
    const auto at = std::find_if(first, last, [&](const auto& pair) { return pair.second == id; });
    if (at != last)
        by_address_.erase(at);
    set_digests(found->second, 0, false);
    index_.remove(id);
    items_.erase(found);
}

// Handles the first report of an unknown endpoint. An endpoint at its address that is known
// only from an endpoint cache is forgotten rather than ended, since it may be the live one. So is
// one that an entry host knows as not routable: the end of such an endpoint is not announced to
// entry hosts. An earlier incarnation under the same name does not make the new one unconfirmed.
bool Registry::add_first_report(EndpointReport report, Time alive_at) {
    const Item* holder =
        report.phase == EndpointPhase::Gone ? nullptr : occupant(report.address, report.id);
    const bool outdated = holder != nullptr &&
                          (holder->cached || (!receives_heartbeats_ && !holder->report.routable()));
    if (holder != nullptr && !outdated && !holder->report.id.started_before(report.id))
        return conflict(std::move(report), alive_at, *holder);
    if (outdated)
        drop(EndpointId(holder->report.id));
    end_earlier_incarnations(report.id, alive_at);
    conflicts_.erase(report.id);
    const EndpointId id = report.id;
    put(id, Item{std::move(report), alive_at});
    return true;
}

// Neither sequence numbers nor the order of arrival distinguish the newer incarnation from the
// older one. An endpoint that keeps reporting is alive, while reports that a partition delayed
// arrive all at once. If an address check gets no answer, an unconfirmed endpoint that keeps
// reporting replaces one that has missed more than two heartbeats.
bool Registry::conflict(EndpointReport report, Time alive_at, const Item& holder) {
    const EndpointId id = report.id;
    Conflict& conflict =
        conflicts_.try_emplace(id, Conflict{report, alive_at, alive_at, Time{}}).first->second;
    if (report.sequence > conflict.report.sequence)
        conflict.report = std::move(report);
    conflict.first = std::min(conflict.first, alive_at);
    conflict.alive_at = std::max(conflict.alive_at, alive_at);
    const bool keeps_reporting =
        conflict.alive_at - conflict.first >= heartbeats_.keeps_reporting();
    if (receives_heartbeats_ && keeps_reporting &&
        conflict.alive_at - holder.last_contact >= heartbeats_.all_reported())
        admit(id, holder.report.id, alive_at);
    return false; // reported by take_resolved()
}

// A later incarnation has nothing of what an earlier one held, so the earlier ones are ended, with
// their memberships, before the later one is added.
void Registry::end_earlier_incarnations(const EndpointId& id, Time now) {
    std::vector<EndpointId> ended;
    for (auto item = items_.lower_bound(EndpointId(id.name)); item != items_.end(); ++item) {
        if (!item->first.started_before(id))
            break;
        ended.push_back(item->first);
    }
    for (const EndpointId& earlier : ended)
        if (mark_gone(earlier, now))
            resolved_.push_back(earlier);
    std::erase_if(conflicts_, [&](const auto& pair) { return pair.first.started_before(id); });
}

// True for a report of an incarnation that is known to have ended: a later one has its name, or the
// end was reported for the name without a start time.
bool Registry::is_outdated(const EndpointReport& report) const {
    const Item* last = latest(report.id.name);
    if (last != nullptr && report.id.started_before(last->report.id))
        return true;
    if (last != nullptr && last->report.phase == EndpointPhase::Gone &&
        !last->report.id.has_start_time())
        return report.phase != EndpointPhase::Gone;
    return !items_.contains(report.id) &&
           std::any_of(conflicts_.begin(), conflicts_.end(),
                       [&](const auto& pair) { return report.id.started_before(pair.first); });
}

// A report with phase Gone and without a start time ends the known incarnation, unless that one was
// known to be alive later.
bool Registry::end_without_start_time(const EndpointReport& report, Time alive_at) {
    const Item* last = latest(report.id.name);
    if (last->last_contact > alive_at || last->report.phase == EndpointPhase::Gone)
        return false;
    const EndpointId id = last->report.id;
    mark_gone(id, alive_at);
    resolved_.push_back(id);
    return false; // reported by take_resolved()
}

void Registry::admit(const EndpointId& id, const EndpointId& replaced_id, Time now) {
    const auto found = conflicts_.find(id);
    if (items_.contains(replaced_id) && mark_gone(replaced_id, now))
        resolved_.push_back(replaced_id);
    put(id, Item{std::move(found->second.report), found->second.alive_at});
    conflicts_.erase(found);
    resolved_.push_back(id);
}

std::vector<Registry::AddressCheck> Registry::take_address_checks(Time now) {
    std::vector<AddressCheck> checks;
    for (auto& [id, conflict] : conflicts_) {
        if (now < conflict.check_due)
            continue;
        conflict.check_due = now + AddressCheckInterval;
        const Item* holder = occupant(conflict.report.address, id);
        checks.push_back({conflict.report, holder == nullptr ? "" : holder->report.id});
    }
    return checks;
}

// The endpoint that occupied the address when the check was taken had registered before the answer
// came, so its process has ended. An endpoint that occupied the address after that may be newer
// still and is left alone. An answer by another incarnation ends no endpoint: it may come from the
// older one, shortly before it is replaced.
void Registry::confirmed(const AddressCheck& check, Time now) {
    const EndpointId& id = check.endpoint.id;
    if (!conflicts_.contains(id))
        return;
    const Item* holder = occupant(check.endpoint.address, id);
    if (holder == nullptr || holder->report.id == check.against)
        admit(id, check.against, now);
}

bool Registry::merge(EndpointReport report, Time alive_at) {
    if (fault_of(report) != ReportFault::None)
        return false;
    const Item* last = latest(report.id.name);
    if (report.phase == EndpointPhase::Gone && !report.id.has_start_time() && last != nullptr &&
        last->report.id.has_start_time())
        return end_without_start_time(report, alive_at);
    if (is_outdated(report))
        return false;
    const auto found = items_.find(report.id);
    if (found == items_.end())
        return add_first_report(std::move(report), alive_at);
    Item& item = found->second;
    if (item.report.phase == EndpointPhase::Gone)
        return false;
    if (report.phase == EndpointPhase::Gone)
        return mark_gone(report.id, alive_at);
    if (report.sequence <= item.report.sequence || report.service != item.report.service ||
        report.address != item.report.address)
        return false;
    item.last_contact = std::max(item.last_contact, alive_at);
    const bool is_change = !report.same_content(item.report);
    item.report = std::move(report);
    item.cached = false;
    if (is_change)
        update_indexes(item);
    return is_change;
}

bool Registry::add_cached(const EndpointReport& report, Time now) {
    const bool newer_known =
        latest(report.id.name) != nullptr || by_address_.contains(report.address);
    if (newer_known || fault_of(report) != ReportFault::None)
        return false;
    put(report.id, Item{report, now, true});
    return true;
}

// Of an unconfirmed endpoint only the id is kept, since nothing has acted on its report.
bool Registry::mark_gone(const EndpointId& id, Time now) {
    conflicts_.erase(id);
    const auto found = items_.find(id);
    if (found == items_.end()) {
        EndpointReport unknown;
        unknown.id = id;
        unknown.phase = EndpointPhase::Gone;
        put(id, Item{std::move(unknown), now});
        return true;
    }
    if (found->second.report.phase == EndpointPhase::Gone)
        return false;
    found->second.report.phase = EndpointPhase::Gone;
    found->second.last_contact = now;
    update_indexes(found->second);
    return true;
}

// May come from another host that has a newer report, which has not arrived here yet.
void Registry::seen_alive(const EndpointId& id, Time now) {
    const auto found = items_.find(id);
    if (found != items_.end() && found->second.report.phase != EndpointPhase::Gone)
        found->second.last_contact = now;
    const auto unconfirmed = conflicts_.find(id);
    if (unconfirmed == conflicts_.end())
        return;
    unconfirmed->second.alive_at = now;
    const EndpointReport report = unconfirmed->second.report;
    if (const Item* holder = occupant(report.address, id))
        conflict(report, now, *holder);
}

void Registry::expire(Time now) {
    std::erase_if(conflicts_, [&](const auto& pair) {
        return now - pair.second.alive_at > heartbeats_.stopped();
    });
    std::vector<EndpointId> old;
    for (const auto& [id, item] : items_) {
        const bool gone = item.report.phase == EndpointPhase::Gone;
        if (now - item.last_contact > (gone ? GoneKept : SilentKept))
            old.push_back(id);
    }
    for (const EndpointId& id : old)
        drop(id);
}

} // namespace liftweir
