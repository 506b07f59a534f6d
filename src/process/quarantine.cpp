#include "process/quarantine.h"

#include <algorithm>

namespace liftweir {

namespace {

// Endpoints that end within so short a time may have one cause, like a lost domain, and a request
// that is asked often may have been at several of them. What was sent to the second one after the
// first had ended is not meant.
constexpr Duration OneCause = std::chrono::milliseconds(50);
// A request that comes again less often is not held back for what it did so long ago.
constexpr Duration Kept = std::chrono::minutes(10);
// Who is held back by mistake is not so for long; who ends an endpoint again, soon for good. Each
// end costs the calls of a whole group, up to 40 in a played day.
constexpr Duration FirstHold = std::chrono::minutes(10);
constexpr Duration SecondHold = std::chrono::hours(1);
constexpr Duration LastHold = std::chrono::hours(24);
// Each endpoint that ends leaves a record for each call that it had, up to 48.
constexpr std::size_t MostRecords = 4096;
// Enough to know an endpoint again that two hosts tell of.
constexpr std::size_t EndpointsKept = 8;

bool names(const std::vector<EndpointId>& endpoints, const EndpointId& id) {
    return std::find(endpoints.begin(), endpoints.end(), id) != endpoints.end();
}

void add_name(std::vector<EndpointId>& endpoints, const EndpointId& id) {
    if (endpoints.size() == EndpointsKept)
        endpoints.erase(endpoints.begin());
    endpoints.push_back(id);
}

} // namespace

Duration quarantine_time(std::uint32_t ends) {
    if (ends < EndsToQuarantine)
        return Duration::zero();
    if (ends == EndsToQuarantine)
        return FirstHold;
    return ends == EndsToQuarantine + 1 ? SecondHold : LastHold;
}

// True where the record was not held back before.
bool Quarantine::hold(Record& record, Time until, Time now) {
    const bool held = record.until > now;
    record.until = std::max(record.until, until);
    return !held && record.until > now;
}

// Whether this end and the one before may go back to something else that ended both.
bool Quarantine::is_of_one_cause(const Record& record, const AbortedRequest& what, Time now) {
    const Time sent = now - std::chrono::milliseconds(what.age_ms);
    return record.ends > 0 && now - record.last_end < OneCause && sent < record.last_end;
}

bool Quarantine::aborted(const AbortedRequest& what, const EndpointId& endpoint, Time now) {
    make_room();
    Record& record = records_[what.content];
    if (names(record.endpoints, endpoint))
        return false;
    add_name(record.endpoints, endpoint);
    if (is_of_one_cause(record, what, now))
        return false;
    record.last_end = now;
    ++record.ends;
    const Duration time = quarantine_time(record.ends);
    return time > Duration::zero() && hold(record, now + time, now);
}

// Words of an end go over several hosts. Copies that come after the answer which cleared the
// request must not count anew.
bool Quarantine::clear(const Fingerprint& content) {
    const auto found = records_.find(content);
    if (found == records_.end() || found->second.ends == 0)
        return false;
    found->second.ends = 0;
    found->second.until = {};
    return true;
}

bool Quarantine::is_suspect(const Fingerprint& content) const {
    const auto found = records_.find(content);
    return found != records_.end() && found->second.ends > 0;
}

// False where all that is told was known when the request was cleared.
bool Quarantine::tells_news(const Record& record, const SuspectRequest& told) {
    if (record.ends > 0 || record.endpoints.empty())
        return true;
    return std::any_of(told.endpoints.begin(), told.endpoints.end(),
                       [&](const EndpointId& id) { return !names(record.endpoints, id); });
}

// What is known of one end may come from several hosts, so counts are not added up.
bool Quarantine::merge(const SuspectRequest& told, Time now) {
    make_room();
    Record& record = records_[told.content];
    if (!tells_news(record, told))
        return false;
    if (told.ends > record.ends) {
        record.ends = told.ends;
        record.last_end = now;
    }
    for (const EndpointId& endpoint : told.endpoints)
        if (!names(record.endpoints, endpoint))
            add_name(record.endpoints, endpoint);
    if (record.last_end == Time{})
        record.last_end = now;
    return told.left_ms > 0 && hold(record, now + std::chrono::milliseconds(told.left_ms), now);
}

Duration Quarantine::left(const Fingerprint& content, Time now) const {
    const auto found = records_.find(content);
    if (found == records_.end())
        return Duration::zero();
    return std::max(found->second.until - now, Duration::zero());
}

std::size_t Quarantine::held(Time now) const {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(),
                      [&](const auto& item) { return item.second.until > now; }));
}

SuspectRequest Quarantine::told_of(const Fingerprint& content, const Record& record,
                                   Time now) const {
    const Duration left = std::max(record.until - now, Duration::zero());
    return {content, record.ends, record.endpoints, static_cast<std::uint32_t>(to_millis(left))};
}

SuspectRequest Quarantine::suspicion(const Fingerprint& content, Time now) const {
    const auto found = records_.find(content);
    return found == records_.end() ? SuspectRequest{content, 0, {}, 0}
                                   : told_of(content, found->second, now);
}

std::vector<SuspectRequest> Quarantine::suspects_to_send(Time now) const {
    std::vector<SuspectRequest> out;
    for (const auto& [content, record] : records_)
        if (record.ends > 1)
            out.push_back(told_of(content, record, now));
    return out;
}

void Quarantine::expire(Time now) {
    std::erase_if(records_, [&](const auto& item) {
        return now > std::max(item.second.last_end, item.second.until) + Kept;
    });
}

// Who was with one end only goes first, and of those the one that it was longest ago for.
void Quarantine::make_room() {
    if (records_.size() < MostRecords)
        return;
    const auto least =
        std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second.ends, a.second.last_end) <
                   std::pair(b.second.ends, b.second.last_end);
        });
    records_.erase(least);
}

} // namespace liftweir
