// Records of requests that crash endpoints; runs in liftweir-site-control and liftweir-site-entry.

#include "process/quarantine.h"

#include <algorithm>

namespace liftweir {

namespace {

// Endpoints that crash within this time may have a common cause, such as a failed fabric domain,
// and copies of a frequent request may have been at several of them. Such crashes count once,
// unless the request was sent to the second endpoint after the first one had crashed.
constexpr Duration CommonCauseTime = std::chrono::milliseconds(50);
// A record is forgotten after this time without a crash or a quarantine, so that a request that
// comes rarely is not quarantined for old crashes.
constexpr Duration RecordKept = std::chrono::minutes(10);
// The first quarantine is short in case of a mistake, and each further crash makes it longer, since
// a crash costs the calls of a whole group, up to 40.
constexpr Duration FirstQuarantine = std::chrono::minutes(10);
// Of a part of prompts that was answered before, and that a sound answer may soon clear.
constexpr Duration FirstQuarantineAnswered = std::chrono::minutes(1);
constexpr Duration SecondQuarantine = std::chrono::hours(1);
constexpr Duration LongestQuarantine = std::chrono::hours(24);
// A crashed endpoint leaves one record for each call that it had, up to 48.
constexpr std::size_t MaxRecords = 4096;
// Enough to recognise a crash that two hosts report.
constexpr std::size_t EndpointsKept = 8;

bool has_endpoint(const std::vector<EndpointId>& endpoints, const EndpointId& id) {
    return std::find(endpoints.begin(), endpoints.end(), id) != endpoints.end();
}

std::uint32_t crashes_to_quarantine(bool answered) {
    return answered ? CrashesToQuarantineAnswered : CrashesToQuarantine;
}

void add_endpoint(std::vector<EndpointId>& endpoints, const EndpointId& id) {
    if (endpoints.size() == EndpointsKept)
        endpoints.erase(endpoints.begin());
    endpoints.push_back(id);
}

} // namespace

Duration quarantine_time(std::uint32_t crashes, bool answered) {
    if (crashes < crashes_to_quarantine(answered))
        return Duration::zero();
    if (answered && crashes == CrashesToQuarantineAnswered)
        return FirstQuarantineAnswered;
    switch (crashes - crashes_to_quarantine(answered) - (answered ? 1 : 0)) {
    case 0:
        return FirstQuarantine;
    case 1:
        return SecondQuarantine;
    default:
        return LongestQuarantine;
    }
}

// Returns true where the request was not in quarantine before.
bool Quarantine::extend_quarantine(Record& record, Time until, Time now) {
    const bool held = record.until > now;
    record.until = std::max(record.until, until);
    return !held && record.until > now;
}

// True if this crash and the previous one may have a common cause other than the request.
bool Quarantine::has_common_cause(const Record& record, std::uint32_t age_ms, Time now) {
    const Time sent = now - std::chrono::milliseconds(age_ms);
    return record.crashes > 0 && now - record.last_crash < CommonCauseTime &&
           sent < record.last_crash;
}

bool Quarantine::count_crash(Record& record, std::uint32_t age_ms, const EndpointId& endpoint,
                             Time now) {
    if (has_endpoint(record.endpoints, endpoint))
        return false;
    add_endpoint(record.endpoints, endpoint);
    if (has_common_cause(record, age_ms, now))
        return false;
    record.last_crash = now;
    ++record.crashes;
    const Duration time = quarantine_time(record.crashes, record.answered);
    return time > Duration::zero() && extend_quarantine(record, now + time, now);
}

bool Quarantine::aborted(const AbortedRequest& request, const EndpointId& endpoint, Time now) {
    evict_if_full();
    return count_crash(records_[request.content], request.age_ms, endpoint, now);
}

bool Quarantine::aborted(const AbortedPart& part, const EndpointId& endpoint, Time now) {
    evict_if_full();
    Record& record = records_[part.part];
    record.answered = record.answered || part.answered;
    return count_crash(record, part.age_ms, endpoint, now);
}

bool Quarantine::note_answered(const Fingerprint& part, Time now) {
    const auto found = records_.find(part);
    if (found == records_.end())
        return false;
    Record& record = found->second;
    record.answered = true;
    return record.until > now && record.crashes < crashes_to_quarantine(record.answered);
}

// Keeps the endpoints of the record: reports of a crash arrive through several hosts, and copies
// that arrive after the request was cleared must not count again.
bool Quarantine::clear(const Fingerprint& content) {
    const auto found = records_.find(content);
    if (found == records_.end() || found->second.crashes == 0)
        return false;
    found->second.crashes = 0;
    found->second.until = {};
    return true;
}

bool Quarantine::is_suspect(const Fingerprint& content) const {
    const auto found = records_.find(content);
    return found != records_.end() && found->second.crashes > 0;
}

// False if the report only holds crashes that were known when the request was cleared.
bool Quarantine::has_new_crashes(const Record& record, const SuspectRequest& report) {
    if (record.crashes > 0 || record.endpoints.empty())
        return true;
    return std::any_of(report.endpoints.begin(), report.endpoints.end(),
                       [&](const EndpointId& id) { return !has_endpoint(record.endpoints, id); });
}

// Several hosts may report the same crash, so the larger count is taken instead of the sum.
bool Quarantine::merge(const SuspectRequest& report, Time now) {
    evict_if_full();
    Record& record = records_[report.content];
    if (!has_new_crashes(record, report))
        return false;
    record.answered = record.answered || report.answered;
    if (report.crashes > record.crashes) {
        record.crashes = report.crashes;
        record.last_crash = now;
    }
    for (const EndpointId& endpoint : report.endpoints)
        if (!has_endpoint(record.endpoints, endpoint))
            add_endpoint(record.endpoints, endpoint);
    if (record.last_crash == Time{})
        record.last_crash = now;
    return report.left_ms > 0 && record.crashes >= crashes_to_quarantine(record.answered) &&
           extend_quarantine(record, now + std::chrono::milliseconds(report.left_ms), now);
}

Duration Quarantine::remaining(const Fingerprint& content, Time now) const {
    const auto found = records_.find(content);
    if (found == records_.end())
        return Duration::zero();
    return std::max(found->second.until - now, Duration::zero());
}

std::size_t Quarantine::quarantined_count(Time now) const {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(),
                      [&](const auto& item) { return item.second.until > now; }));
}

SuspectRequest Quarantine::to_suspect_request(const Fingerprint& content, const Record& record,
                                              Time now) const {
    const Duration left = std::max(record.until - now, Duration::zero());
    return {content, record.crashes, record.endpoints, static_cast<std::uint32_t>(to_millis(left)),
            record.answered};
}

SuspectRequest Quarantine::suspect_request(const Fingerprint& content, Time now) const {
    const auto found = records_.find(content);
    return found == records_.end() ? SuspectRequest{content, 0, {}, 0, false}
                                   : to_suspect_request(content, found->second, now);
}

std::vector<SuspectRequest> Quarantine::suspects_to_send(Time now) const {
    std::vector<SuspectRequest> out;
    for (const auto& [content, record] : records_)
        if (record.crashes > 1)
            out.push_back(to_suspect_request(content, record, now));
    return out;
}

void Quarantine::expire(Time now) {
    std::erase_if(records_, [&](const auto& item) {
        return now > std::max(item.second.last_crash, item.second.until) + RecordKept;
    });
}

// Removes the record with the fewest crashes, and the oldest one among these.
void Quarantine::evict_if_full() {
    if (records_.size() < MaxRecords)
        return;
    const auto least =
        std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second.crashes, a.second.last_crash) <
                   std::pair(b.second.crashes, b.second.last_crash);
        });
    records_.erase(least);
}

} // namespace liftweir
