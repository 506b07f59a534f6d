// Detects requests, and parts of prompts, that crash endpoints and quarantines them.
// Runs in liftweir-site-control and liftweir-site-entry.

#ifndef QUARANTINE_H_INCLUDED
#define QUARANTINE_H_INCLUDED

#include "process/clock.h"
#include "process/registry.h"
#include "version/fingerprint.h"

#include <compare>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <vector>

namespace liftweir {

// What one host sends another about a request, or a part of prompts, that was aborted when
// endpoints crashed.
struct SuspectRequest {
    Fingerprint content;
    std::uint32_t crashes = 0;         // endpoints that crashed while they had it
    std::vector<EndpointId> endpoints; // the latest of these endpoints
    std::uint32_t left_ms = 0;         // remaining quarantine; 0: the request may run
    bool answered = false;             // a part of prompts that was answered before its crashes

    auto operator<=>(const SuspectRequest&) const = default;
    MSGPACK_DEFINE(content, crashes, endpoints, left_ms, answered)
};

// A request that an endpoint aborted.
struct AbortedRequest {
    Fingerprint content;
    std::uint32_t age_ms = 0; // since it was sent to the endpoint

    auto operator<=>(const AbortedRequest&) const = default;
    MSGPACK_DEFINE(content, age_ms)
};

// A part of the prompts of requests that an endpoint aborted before it had begun to answer them.
struct AbortedPart {
    Fingerprint part;
    std::uint32_t age_ms = 0; // since the latest of these requests was sent to the endpoint
    bool answered = false;    // the reporting host has seen answers to requests with the part

    auto operator<=>(const AbortedPart&) const = default;
    MSGPACK_DEFINE(part, age_ms, answered)
};

// A request is quarantined after it has crashed this many endpoints without a complete answer in
// between.
constexpr std::uint32_t CrashesToQuarantine = 3;
// The same for a part of prompts that was answered before: another part that occurs with it may
// cause the crashes.
constexpr std::uint32_t CrashesToQuarantineAnswered = 5;

// Duration of the quarantine of a request, or of a part of prompts that was answered before its
// crashes, that has crashed `crashes` endpoints; zero where these are too few.
Duration quarantine_time(std::uint32_t crashes, bool answered = false);

// Requests and parts of prompts that crashed endpoints, as one process knows them. A request is
// identified by its content, so that it is recognised in each attempt, under each request id and at
// each entry host; a part of prompts by its id, so that it is recognised in requests that have
// nothing else in common. Hosts exchange their records; in whatever order these arrive, all hosts
// converge. Does no I/O.
class Quarantine {
  public:
    // The endpoint aborted the request. Returns true where the request is quarantined by this.
    bool aborted(const AbortedRequest& request, const EndpointId& endpoint, Time now);
    // The endpoint aborted requests with the part. Returns true where it is quarantined by this.
    bool aborted(const AbortedPart& part, const EndpointId& endpoint, Time now);
    // The part was answered before its crashes. Returns true where it is under quarantine and has
    // fewer crashes than such a part needs.
    bool note_answered(const Fingerprint& part, Time now);
    // An endpoint has answered the request completely, so it crashes none. Returns true where
    // crashes were recorded for it. Delayed reports of these crashes are ignored from then on.
    bool clear(const Fingerprint& content);
    // Adds what another host knows. Returns true where the request is quarantined by this.
    bool merge(const SuspectRequest& report, Time now);

    // Remaining quarantine of the request; zero if it may run.
    Duration remaining(const Fingerprint& content, Time now) const;
    // True if crashes are recorded for the request.
    bool is_suspect(const Fingerprint& content) const;
    bool empty() const { return records_.empty(); }
    std::size_t size() const { return records_.size(); }
    // Number of requests in quarantine.
    std::size_t quarantined_count(Time now) const;
    // What is known about the request; zero `crashes` if nothing is.
    SuspectRequest suspect_request(const Fingerprint& content, Time now) const;
    // Requests to report to other hosts: those that crashed more than one endpoint.
    std::vector<SuspectRequest> suspects_to_send(Time now) const;
    // Forgets requests that have not crashed an endpoint for long.
    void expire(Time now);

  private:
    struct Record {
        std::uint32_t crashes = 0;         // crashes since the last complete answer
        std::vector<EndpointId> endpoints; // the latest ones, also from before the answer
        Time last_crash{};
        Time until{};          // end of the quarantine
        bool answered = false; // before the first of the crashes
    };

    static bool has_new_crashes(const Record& record, const SuspectRequest& report);
    static bool has_common_cause(const Record& record, std::uint32_t age_ms, Time now);
    bool count_crash(Record& record, std::uint32_t age_ms, const EndpointId& endpoint, Time now);
    SuspectRequest to_suspect_request(const Fingerprint& content, const Record& record,
                                      Time now) const;
    bool extend_quarantine(Record& record, Time until, Time now);
    void evict_if_full();

    std::map<Fingerprint, Record> records_;
};

} // namespace liftweir

#endif // QUARANTINE_H_INCLUDED
