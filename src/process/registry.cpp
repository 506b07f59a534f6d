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
// Where an address answers nobody, one that reports over at least a beat takes the place of one
// that has missed two and some.
constexpr Duration GoesOnReporting = std::chrono::milliseconds(1000);
constexpr Duration HolderSilent = std::chrono::milliseconds(3000);
// An address is asked again about an endpoint in doubt.
constexpr Duration DoubtKept = std::chrono::seconds(5); // four beats
constexpr Duration AskEvery = std::chrono::milliseconds(400);

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

const Registry::Item* Registry::standing(const std::string& address,
                                         const EndpointId& other_than) const {
    const auto found = std::find_if(items_.begin(), items_.end(), [&](const auto& pair) {
        const EndpointReport& report = pair.second.report;
        return report.address == address && report.phase != EndpointPhase::Gone &&
               pair.first != other_than;
    });
    return found == items_.end() ? nullptr : &found->second;
}

bool Registry::replaced(const EndpointReport& report) const {
    return report.phase == EndpointPhase::Gone && standing(report.address, report.id) != nullptr;
}

void Registry::forget(const EndpointId& id) {
    drop(id);
    doubts_.erase(id);
}

// ---- items and their digest

// Each control host compares digests with every entry host and control host once a second. Counted
// anew for each of 300 entry hosts, over 3,000 endpoints, the digest alone took more than the whole
// processor share of a control host; kept as a sum, it costs one hash for each change.
void Registry::count(Item& item) {
    digest_ -= item.digest;
    item.digest = 0;
    // Endpoints that are gone are left out: each side forgets them at its own time.
    if (item.report.phase != EndpointPhase::Gone) {
        EndpointReport content = item.report;
        content.sequence = 0;
        const std::string bytes = encode_struct(content);
        item.digest = XXH64(bytes.data(), bytes.size(), 0);
    }
    digest_ += item.digest;
}

void Registry::put(const EndpointId& id, Item item) {
    drop(id);
    count(items_.emplace(id, std::move(item)).first->second);
}

void Registry::drop(const EndpointId& id) {
    const auto found = items_.find(id);
    if (found == items_.end())
        return;
    digest_ -= found->second.digest;
    items_.erase(found);
}

// The first word of an endpoint that is not known. A remembered one is forgotten rather than ended:
// it may be the one that lives.
bool Registry::meet(EndpointReport report, Time heard) {
    const Item* holder =
        report.phase == EndpointPhase::Gone ? nullptr : standing(report.address, report.id);
    if (holder != nullptr && !holder->remembered)
        return doubt(std::move(report), heard, *holder);
    if (holder != nullptr)
        drop(EndpointId(holder->report.id));
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
    if (hears_beats_ && goes_on && doubt.heard - holder.heard >= HolderSilent)
        admit(id, holder.report.id, heard);
    return false; // told by take_settled()
}

void Registry::admit(const EndpointId& id, const EndpointId& instead_of, Time now) {
    const auto found = doubts_.find(id);
    if (items_.contains(instead_of) && mark_gone(instead_of, now))
        settled_.push_back(instead_of);
    put(id, Item{std::move(found->second.report), found->second.heard});
    doubts_.erase(found);
    settled_.push_back(id);
}

std::vector<Registry::Question> Registry::take_questions(Time now) {
    std::vector<Question> questions;
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
void Registry::confirmed(const Question& question, Time now) {
    const EndpointId& id = question.endpoint.id;
    if (!doubts_.contains(id))
        return;
    const Item* holder = standing(question.endpoint.address, id);
    if (holder == nullptr || holder->report.id == question.against)
        admit(id, question.against, now);
}

bool Registry::merge(EndpointReport report, Time heard) {
    const auto found = items_.find(report.id);
    if (found == items_.end())
        return meet(std::move(report), heard);
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
    item.remembered = false;
    if (changed)
        count(item);
    return changed;
}

bool Registry::remember(const EndpointReport& report, Time now) {
    const bool newer_known = std::any_of(items_.begin(), items_.end(), [&](const auto& pair) {
        return pair.first == report.id || pair.second.report.address == report.address;
    });
    if (newer_known)
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
    found->second.heard = now;
    count(found->second);
    return true;
}

void Registry::heard(const EndpointId& id, Time now) {
    const auto found = items_.find(id);
    if (found != items_.end() && found->second.report.phase != EndpointPhase::Gone)
        found->second.heard = now;
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
        if (now - item.heard > (gone ? GoneKept : SilentKept))
            old.push_back(id);
    }
    for (const EndpointId& id : old)
        drop(id);
}

} // namespace liftweir
