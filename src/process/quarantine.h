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

// What one host tells another of a request that was cut off when endpoints ended.
struct SuspectRequest {
    Fingerprint content;
    std::uint32_t ends = 0;            // endpoints that ended while they had it
    std::vector<EndpointId> endpoints; // those of them that are known by name
    std::uint32_t left_ms = 0;         // for how much longer no endpoint gets it; 0: it may run

    auto operator<=>(const SuspectRequest&) const = default;
    MSGPACK_DEFINE(content, ends, endpoints, left_ms)
};

// A request that an endpoint broke off.
struct AbortedRequest {
    Fingerprint content;
    std::uint32_t age_ms = 0; // since it was sent there

    auto operator<=>(const AbortedRequest&) const = default;
    MSGPACK_DEFINE(content, age_ms)
};

// So many endpoints in a row must have ended before a request is held back.
constexpr std::uint32_t EndsToQuarantine = 3;

// For how long a request that has ended so many endpoints is held back; zero below
// EndsToQuarantine.
Duration quarantine_time(std::uint32_t ends);

// Requests that ended the endpoints that had them, as one process knows them. A request is known by
// what it asks, so that it is the same one in each try, under each id and at each entry host. Hosts
// tell each other; in whatever order they do, all end up the same. Pure.
class Quarantine {
  public:
    // The endpoint broke the request off. True where that puts it under quarantine.
    bool aborted(const AbortedRequest& what, const EndpointId& endpoint, Time now);
    // An endpoint has answered it whole, so it ends nobody. True where anything was held against
    // it. Late words of the ends before change nothing any more.
    bool clear(const Fingerprint& content);
    // Takes over what another host knows. True where that puts the request under quarantine.
    bool merge(const SuspectRequest& told, Time now);

    // For how much longer no endpoint gets the request; zero where it may run.
    Duration left(const Fingerprint& content, Time now) const;
    // Anything is held against it.
    bool is_suspect(const Fingerprint& content) const;
    bool empty() const { return records_.empty(); }
    std::size_t size() const { return records_.size(); }
    // How many are held back.
    std::size_t held(Time now) const;
    // What is known of the request; no ends where nothing is.
    SuspectRequest suspicion(const Fingerprint& content, Time now) const;
    // What other hosts should know: requests that ended more than one endpoint.
    std::vector<SuspectRequest> suspects_to_send(Time now) const;
    // Forgets what has ended nobody for long.
    void expire(Time now);

  private:
    struct Record {
        std::uint32_t ends = 0;            // since the last whole answer
        std::vector<EndpointId> endpoints; // the latest ones, those before the answer too
        Time last_end{};
        Time until{}; // held back
    };

    static bool tells_news(const Record& record, const SuspectRequest& told);
    static bool is_of_one_cause(const Record& record, const AbortedRequest& what, Time now);
    SuspectRequest told_of(const Fingerprint& content, const Record& record, Time now) const;
    bool hold(Record& record, Time until, Time now);
    void make_room();

    std::map<Fingerprint, Record> records_;
};

} // namespace liftweir

#endif // QUARANTINE_H_INCLUDED
