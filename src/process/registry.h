// The endpoints that register themselves, as known to one process.
// Runs in liftweir-site-control and liftweir-site-entry.

#ifndef REGISTRY_H_INCLUDED
#define REGISTRY_H_INCLUDED

#include "process/clock.h"
#include "process/endpointindex.h"
#include "process/heartbeat.h"
#include "version/endpointid.h"
#include "version/endpointreport.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace liftweir {

// Reasons to reject a report: no correct endpoint sends such a report.
enum class ReportFault : std::uint8_t {
    None,
    Unreadable, // not a complete JSON object
    Name,       // the name is missing or not a string
    Start,      // the start time is not a whole number
    Service,    // the service is missing or not configured
    Address,    // the address is not of the form ip:port
    Place,      // the zone is missing, or the fabric domain is not a string
    Phase,      // the phase is neither serving nor draining
    Slots,      // the number of slots is missing or invalid
    Sequence,   // the sequence number is missing or invalid
    Group,      // the membership, the models or another value has the wrong form
    Changed     // the service or address differs from earlier reports of this incarnation
};

// The fault's name in log messages and metrics.
std::string_view name_of(ReportFault fault);

// The first fault of a report, whichever host it came from. All numbers of a report without a fault
// are within their bounds. A report with phase Gone needs a name only.
ReportFault fault_of(const EndpointReport& report);

// Number of ranges over which endpoints are spread by a hash of their names. With 3,000 endpoints
// a range holds 47 reports of 200 bytes each, and its digest costs 9 bytes on the wire.
constexpr std::size_t RegistryRanges = 64;
using RangeDigests = std::array<std::uint64_t, RegistryRanges>;

// All registered endpoints, as one process knows them. This is soft state: reports are merged by
// their sequence numbers, in any order and from any host, and all copies converge.
//
// At most one endpoint that is not gone occupies an address. If a new id reports an address that
// another endpoint occupies, the new id is unconfirmed: it may be a new incarnation, or one that
// crashed long ago and whose report was delayed. An unconfirmed endpoint is not visible to users of
// the registry until the other one is gone, until the process at the address has confirmed the new
// id, or until the other one is unresponsive while the new one keeps reporting. Only such evidence
// ends an endpoint, never the order in which reports arrive, so that hosts with the same
// information converge. An endpoint that is gone never returns. A later incarnation under the same
// name proves that the earlier ones have ended; their reports are ignored from then on.
//
// A report with a fault is ignored, whichever host passes it on.
class Registry {
  public:
    struct Item {
        EndpointReport report;
        Time last_contact{};      // when the endpoint was last known to be alive
        bool cached = false;      // only known from an endpoint cache; any endpoint may replace it
        std::uint64_t digest = 0; // of the report's content; zero if the endpoint is gone
        std::uint64_t routable_digest = 0; // the same; zero if the endpoint is not routable
    };

    // A request to ask the process at an address whether it is the unconfirmed endpoint.
    struct AddressCheck {
        EndpointReport endpoint; // unconfirmed
        EndpointId against;      // the endpoint that occupies its address

        auto operator<=>(const AddressCheck&) const = default;
    };

    // `receives_heartbeats` is true where all registrations arrive, so that missing ones mean
    // something. An entry host receives changes only and leaves unconfirmed endpoints to the
    // control hosts.
    explicit Registry(bool receives_heartbeats = true, HeartbeatTimes heartbeats = {})
        : receives_heartbeats_(receives_heartbeats), heartbeats_(heartbeats) {}

    // `alive_at` is when the endpoint was known to be alive and to send this report. Returns true
    // where the content changed; the change must then be forwarded, after those of take_resolved().
    bool merge(EndpointReport report, Time alive_at);
    // Adds a cached report from before a restart, unless newer information about the endpoint or
    // its address is known. Returns true where it was added.
    bool add_cached(const EndpointReport& report, Time now);
    void forget(const EndpointId& id);
    // The endpoint has ended, or will end without another report. This is final.
    bool mark_gone(const EndpointId& id, Time now);
    // The endpoint is known to be alive at `now`, without a new report.
    void seen_alive(const EndpointId& id, Time now);
    // Address checks that are due for unconfirmed endpoints.
    std::vector<AddressCheck> take_address_checks(Time now);
    // The process at the address confirmed the unconfirmed endpoint after the check was taken.
    void confirmed(const AddressCheck& check, Time now);
    // Endpoints that ended or became visible since the last call because of another endpoint's
    // report or of an address check. Those that ended come before those that replace them.
    std::vector<EndpointId> take_resolved() { return std::exchange(resolved_, {}); }
    // Removes endpoints that have been gone or unresponsive for long.
    void expire(Time now);

    const std::map<EndpointId, Item>& items() const { return items_; }
    // The same endpoints, indexed by what requests ask for.
    const EndpointIndex& index() const { return index_; }
    // Null if the endpoint is not known.
    const Item* find(const EndpointId& id) const;
    // The latest incarnation under the name; null if none is known.
    const Item* latest(const std::string& name) const;
    // The endpoint other than `other_than` that occupies the address; null if there is none.
    const Item* occupant(const std::string& address, const EndpointId& other_than) const;
    // True if the endpoint is gone and another incarnation has its name or its address.
    bool replaced(const EndpointReport& report) const;
    // The routable endpoints.
    const std::set<EndpointId>& routable() const { return routable_; }
    // Registries with equal digests have the same content.
    std::uint64_t digest() const { return all_.digest; }
    // The digest of each range of names.
    const RangeDigests& range_digests() const { return all_.ranges; }
    // The same for the routable endpoints only, which are all that entry hosts need to know.
    std::uint64_t routable_digest() const { return routable_only_.digest; }
    const RangeDigests& routable_range_digests() const { return routable_only_.ranges; }
    static std::size_t range_of(const std::string& name);

  private:
    // An unconfirmed endpoint: its id is new here and another one occupies its address.
    struct Conflict {
        EndpointReport report;
        Time first{}; // first and last time it was known to be alive
        Time alive_at{};
        Time check_due{};
    };

    bool add_first_report(EndpointReport report, Time alive_at);
    bool is_outdated(const EndpointReport& report) const;
    bool end_without_start_time(const EndpointReport& report, Time alive_at);
    void end_earlier_incarnations(const EndpointId& id, Time now);
    bool conflict(EndpointReport report, Time alive_at, const Item& holder);
    void admit(const EndpointId& id, const EndpointId& replaced_id, Time now);
    void put(const EndpointId& id, Item item);
    void drop(const EndpointId& id);
    // Sums of the digests of a set of endpoints, modulo 2^64.
    struct Digests {
        std::uint64_t digest = 0;
        RangeDigests ranges{};

        void replace(std::size_t range, std::uint64_t before, std::uint64_t after);
    };

    void update_indexes(Item& item);
    void set_digests(Item& item, std::uint64_t digest, bool routable);

    bool receives_heartbeats_;
    HeartbeatTimes heartbeats_;
    std::map<EndpointId, Item> items_;
    std::multimap<std::string, EndpointId> by_address_; // all items, including those that are gone
    EndpointIndex index_;
    std::map<EndpointId, Conflict> conflicts_;
    std::vector<EndpointId> resolved_;
    std::set<EndpointId> routable_;
    Digests all_;
    Digests routable_only_;
};

} // namespace liftweir

#endif // REGISTRY_H_INCLUDED
