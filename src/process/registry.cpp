#include "process/registry.h"

#include "connection/codec.h"
#include "connection/link.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace liftweir {

namespace {

// An ended endpoint is remembered longer than any delayed report of it can travel.
constexpr Duration GoneKept = std::chrono::seconds(60);
// A silent endpoint may be cut off from control and still serve. Cuts last seconds to a minute.
constexpr Duration SilentKept = std::chrono::seconds(120);
// Where an address answers nobody, one that reports over at least a beat takes the place of one
// that has missed two and some.
constexpr Duration GoesOnReporting = std::chrono::milliseconds(1000);
constexpr Duration HolderSilent = std::chrono::milliseconds(3000);
// An address is asked again about an endpoint in doubt.
constexpr Duration DoubtKept = std::chrono::seconds(5); // four beats
constexpr Duration AskEvery = std::chrono::milliseconds(400);

// Of the form ip:port, to be connected to.
bool is_address(const std::string& text) {
    const auto digits = std::string_view(text).substr(text.rfind(':') + 1);
    const auto parsed = parse_address(text);
    return parsed && parsed->port() != 0 &&
           digits.find_first_not_of("0123456789") == std::string_view::npos;
}

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
    if (report.phase == EndpointPhase::Gone)
        return ReportFault::None;
    if (report.service.empty())
        return ReportFault::Service;
    if (!is_address(report.address))
        return ReportFault::Address;
    if (report.phase > EndpointPhase::Gone)
        return ReportFault::Phase;
    if (report.membership.state > MemberState::Broken ||
        (report.grouped() && report.membership.group.empty()))
        return ReportFault::Group;
    return ReportFault::None;
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

const Registry::Item* Registry::latest(const std::string& name) const {
    auto after = items_.upper_bound(EndpointId(name, std::numeric_limits<std::uint64_t>::max()));
    if (after == items_.begin())
        return nullptr;
    const auto& [id, item] = *--after;
    return id.name == name ? &item : nullptr;
}

// Asked at each first word of an endpoint: a walk over all of them took most of the processor share
// of every host while 3,000 registered (9 million comparisons).
const Registry::Item* Registry::standing(const std::string& address,
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
           standing(report.address, report.id) != nullptr;
}

void Registry::forget(const EndpointId& id) {
    drop(id);
    doubts_.erase(id);
}

// ---- items and their digest

// Each control host compares digests with every other host all the time: kept as a sum, a digest
// costs one hash for each change.
void Registry::changed(Item& item) {
    index_.put(item.report);
    add_to_digests(item.report.id.name, 0 - item.digest);
    item.digest = 0;
    // Endpoints that are gone are left out: each side forgets them at its own time.
    if (item.report.phase != EndpointPhase::Gone) {
        EndpointReport content = item.report;
        content.sequence = 0;
        const std::string bytes = encode_struct(content);
        item.digest = XXH64(bytes.data(), bytes.size(), 0);
    }
    add_to_digests(item.report.id.name, item.digest);
}

// Sums, modulo the word's size: what was added is taken away by its complement.
void Registry::add_to_digests(const std::string& name, std::uint64_t digest) {
    digest_ += digest;
    range_digests_[range_of(name)] += digest;
}

std::size_t Registry::range_of(const std::string& name) {
    return XXH64(name.data(), name.size(), 0) % RegistryRanges;
}

void Registry::put(const EndpointId& id, Item item) {
    drop(id);
    const auto placed = items_.emplace(id, std::move(item)).first;
    by_address_.emplace(placed->second.report.address, id);
    changed(placed->second);
}

void Registry::drop(const EndpointId& id) {
    const auto found = items_.find(id);
    if (found == items_.end())
        return;
    const auto [first, last] = by_address_.equal_range(found->second.report.address);
    const auto at = std::find_if(first, last, [&](const auto& pair) { return pair.second == id; });
    if (at != last)
        by_address_.erase(at);
    add_to_digests(id.name, 0 - found->second.digest);
    index_.remove(id);
    items_.erase(found);
}

// The first word of an endpoint that is not known. A remembered one is forgotten rather than ended:
// it may be the one that lives. An earlier start under its own name casts no doubt on it.
bool Registry::meet(EndpointReport report, Time heard) {
    const Item* holder =
        report.phase == EndpointPhase::Gone ? nullptr : standing(report.address, report.id);
    if (holder != nullptr && !holder->remembered && !holder->report.id.started_before(report.id))
        return doubt(std::move(report), heard, *holder);
    if (holder != nullptr && holder->remembered)
        drop(EndpointId(holder->report.id));
    end_starts_before(report.id, heard);
    doubts_.erase(report.id);
    const EndpointId id = report.id;
    put(id, Item{std::move(report), heard});
    return true;
}

// Neither sequence nor order of arrival tells the newer start from the older one. Who goes on
// reporting lives; what a cut held back comes all at once.
bool Registry::doubt(EndpointReport report, Time heard, const Item& holder) {
    const EndpointId id = report.id;
    Doubt& doubt = doubts_.try_emplace(id, Doubt{report, heard, heard, Time{}}).first->second;
    if (report.sequence > doubt.report.sequence)
        doubt.report = std::move(report);
    doubt.first = std::min(doubt.first, heard);
    doubt.heard = std::max(doubt.heard, heard);
    const bool goes_on = doubt.heard - doubt.first >= GoesOnReporting;
    if (hears_beats_ && goes_on && doubt.heard - holder.last_contact >= HolderSilent)
        admit(id, holder.report.id, heard);
    return false; // told by take_resolved()
}

// What an ended start had, its name's next start has not: the endpoint and all that it held are
// ended before the later one is known.
void Registry::end_starts_before(const EndpointId& id, Time now) {
    std::vector<EndpointId> ended;
    for (auto item = items_.lower_bound(EndpointId(id.name)); item != items_.end(); ++item) {
        if (!item->first.started_before(id))
            break;
        ended.push_back(item->first);
    }
    for (const EndpointId& start : ended)
        if (mark_gone(start, now))
            settled_.push_back(start);
    std::erase_if(doubts_, [&](const auto& pair) { return pair.first.started_before(id); });
}

// The word of a start that ended before another began under its name, or ended by a word that named
// no start.
bool Registry::is_outdated(const EndpointReport& report) const {
    const Item* last = latest(report.id.name);
    if (last != nullptr && report.id.started_before(last->report.id))
        return true;
    if (last != nullptr && last->report.phase == EndpointPhase::Gone &&
        !last->report.id.has_start_time())
        return report.phase != EndpointPhase::Gone;
    return !items_.contains(report.id) &&
           std::any_of(doubts_.begin(), doubts_.end(),
                       [&](const auto& pair) { return report.id.started_before(pair.first); });
}

// Who ends without naming its start ends the one that is known, unless that was heard of later.
bool Registry::end_unnamed_start(const EndpointReport& report, Time heard) {
    const Item* last = latest(report.id.name);
    if (last->last_contact > heard || last->report.phase == EndpointPhase::Gone)
        return false;
    const EndpointId id = last->report.id;
    mark_gone(id, heard);
    settled_.push_back(id);
    return false; // told by take_resolved()
}

void Registry::admit(const EndpointId& id, const EndpointId& instead_of, Time now) {
    const auto found = doubts_.find(id);
    if (items_.contains(instead_of) && mark_gone(instead_of, now))
        settled_.push_back(instead_of);
    put(id, Item{std::move(found->second.report), found->second.heard});
    doubts_.erase(found);
    settled_.push_back(id);
}

std::vector<Registry::AddressCheck> Registry::take_address_checks(Time now) {
    std::vector<AddressCheck> questions;
    for (auto& [id, doubt] : doubts_) {
        if (now < doubt.ask_due)
            continue;
        doubt.ask_due = now + AskEvery;
        const Item* holder = standing(doubt.report.address, id);
        questions.push_back({doubt.report, holder == nullptr ? "" : holder->report.id});
    }
    return questions;
}

// Whoever stood when the question was put had registered before the answer came: its process has
// ended. One that took the place meanwhile may be newer still. That another incarnation answers
// ends nobody: it may be the older one, about to make room.
void Registry::confirmed(const AddressCheck& question, Time now) {
    const EndpointId& id = question.endpoint.id;
    if (!doubts_.contains(id))
        return;
    const Item* holder = standing(question.endpoint.address, id);
    if (holder == nullptr || holder->report.id == question.against)
        admit(id, question.against, now);
}

bool Registry::merge(EndpointReport report, Time heard) {
    if (fault_of(report) != ReportFault::None)
        return false;
    const Item* last = latest(report.id.name);
    if (report.phase == EndpointPhase::Gone && !report.id.has_start_time() && last != nullptr &&
        last->report.id.has_start_time())
        return end_unnamed_start(report, heard);
    if (is_outdated(report))
        return false;
    const auto found = items_.find(report.id);
    if (found == items_.end())
        return meet(std::move(report), heard);
    Item& item = found->second;
    if (item.report.phase == EndpointPhase::Gone)
        return false;
    if (report.phase == EndpointPhase::Gone)
        return mark_gone(report.id, heard);
    if (report.sequence <= item.report.sequence || report.service != item.report.service ||
        report.address != item.report.address)
        return false;
    item.last_contact = std::max(item.last_contact, heard);
    const bool is_change = !report.same_content(item.report);
    item.report = std::move(report);
    item.remembered = false;
    if (is_change)
        changed(item);
    return is_change;
}

bool Registry::remember(const EndpointReport& report, Time now) {
    const bool newer_known =
        latest(report.id.name) != nullptr || by_address_.contains(report.address);
    if (newer_known || fault_of(report) != ReportFault::None)
        return false;
    put(report.id, Item{report, now, true});
    return true;
}

// An endpoint in doubt leaves its id only: nobody has acted on what it said.
bool Registry::mark_gone(const EndpointId& id, Time now) {
    doubts_.erase(id);
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
    changed(found->second);
    return true;
}

// Another host may have heard of a change that is still on its way here.
void Registry::seen_alive(const EndpointId& id, Time now) {
    const auto found = items_.find(id);
    if (found != items_.end() && found->second.report.phase != EndpointPhase::Gone)
        found->second.last_contact = now;
    const auto doubted = doubts_.find(id);
    if (doubted == doubts_.end())
        return;
    doubted->second.heard = now;
    const EndpointReport report = doubted->second.report;
    if (const Item* holder = standing(report.address, id))
        doubt(report, now, *holder);
}

void Registry::expire(Time now) {
    std::erase_if(doubts_, [&](const auto& pair) { return now - pair.second.heard > DoubtKept; });
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
