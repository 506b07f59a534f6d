#ifndef REGISTRY_H_INCLUDED
#define REGISTRY_H_INCLUDED

#include "process/clock.h"
#include "process/endpointindex.h"
#include "version/endpointid.h"
#include "version/state.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace liftweir {

// How far a member is in its group, by its own word.
enum class MemberState : std::uint8_t {
    Joining, // loads or warms up
    Ready,   // holds its part; the group is not in service
    Open,    // the lead takes requests
    Closing, // the lead finishes what it has
    Broken   // stood still too long; the lead refuses everything
};

// The state's word in the log.
std::string_view name_of(MemberState state);

// An endpoint's own word about the group that it belongs to.
struct Membership {
    std::string group;
    Epoch epoch = NoEpoch;
    std::uint32_t rank = 0; // 0 leads
    MemberState state = MemberState::Joining;

    auto operator<=>(const Membership&) const = default;
    MSGPACK_DEFINE(group, epoch, rank, state)
};

// Whether an endpoint takes requests, finishes what it has, or has ended.
enum class EndpointPhase : std::uint8_t { Serving, Draining, Gone };

// What an endpoint says of itself when it registers. Later reports have higher sequences.
struct EndpointReport {
    EndpointId id;
    std::string service;
    std::string address; // ip:port
    std::string zone;
    std::string domain; // fabric domain; empty for plain services
    EndpointPhase phase = EndpointPhase::Serving;
    std::uint32_t slots = 0;
    std::vector<std::string> staged; // models whose weights lie on its host
    Membership membership;           // epoch NoEpoch: in no group
    std::uint64_t sequence = 0;
    bool cold = false; // slow since its start, and bears less than later

    auto operator<=>(const EndpointReport&) const = default;
    MSGPACK_DEFINE(id, service, address, zone, domain, phase, slots, staged, membership, sequence,
                   cold)

    bool grouped() const { return membership.epoch != NoEpoch; }
    // Its group serves, and requests for it go to this endpoint.
    bool leads_open_group() const {
        return phase == EndpointPhase::Serving && grouped() && membership.rank == 0 &&
               membership.state == MemberState::Open;
    }
    // Equal but for the sequence.
    bool same_content(const EndpointReport& other) const;
};

// What is wrong with a report that an endpoint of ours can not have written.
enum class ReportFault : std::uint8_t {
    None,
    Unreadable, // no whole JSON object
    Name,       // no name, or one that is no text
    Start,      // a start that is no whole number
    Service,    // no service, or none that the operators name
    Address,    // no address of ip:port
    Place,      // no zone, or a domain that is no text
    Phase,      // neither serving nor draining
    Slots,      // no number of places
    Sequence,   // no number
    Group,      // a membership, models or other figures of another form
    Changed     // another service or address than this start had before
};

// The fault's word in the log and in metrics.
std::string_view name_of(ReportFault fault);

// The first fault of a report, from whomever it was taken over. One that has ended names only
// itself.
ReportFault fault_of(const EndpointReport& report);

// Endpoints are spread over so many ranges by their names. With 3,000 endpoints a range holds 47,
// of 200 bytes each; its digest costs 9 bytes.
constexpr std::size_t RegistryRanges = 64;
using RangeDigests = std::array<std::uint64_t, RegistryRanges>;

// All endpoints that have registered, as one process knows them. Soft state: reports are merged
// by their sequence, in any order and from any side, and every copy ends up the same.
//
// At most one endpoint that is not gone stands at an address. An id that is heard of first while
// another stands there is in doubt: it may be a new start, or one that crashed long ago and whose
// report was held back. It is shown to nobody until the other one is gone, its address has answered
// for it, or the other one has fallen silent while it goes on reporting. An endpoint that is gone
// stays so, and is ended by such a proof only, never by the order of arrival: hosts that have heard
// the same end up the same. A later start under a name proves the end of the earlier ones, whose
// words change nothing from then on.
//
// A report that no endpoint of ours can have written changes nothing, whoever passes it on.
class Registry {
  public:
    struct Item {
        EndpointReport report;
        Time last_contact{};      // last sign of life, from whichever side
        bool remembered = false;  // known from before a restart only; anyone may take its place
        std::uint64_t digest = 0; // of the report's content; zero where the endpoint is gone
    };

    // A question that the holder of the registry should put to an address.
    struct AddressCheck {
        EndpointReport endpoint; // in doubt
        EndpointId against;      // who stands at its address

        auto operator<=>(const AddressCheck&) const = default;
    };

    // Whether all signs of life come in here, so that silence tells something. An entry host hears
    // of changes only, and leaves it to control hosts to settle doubts.
    explicit Registry(bool hears_beats = true) : hears_beats_(hears_beats) {}

    // `heard` is when the endpoint showed the sign of life that the report stems from. True where
    // the content changed; the change is then to be passed on, after those of take_resolved().
    bool merge(EndpointReport report, Time heard);
    // Adds what was known before a restart, unless something newer is known of the endpoint or of
    // its address. True where it was added.
    bool remember(const EndpointReport& report, Time now);
    void forget(const EndpointId& id);
    // The endpoint has ended, or will without another word. Final.
    bool mark_gone(const EndpointId& id, Time now);
    // A sign of life, without a report.
    void seen_alive(const EndpointId& id, Time now);
    // Endpoints in doubt whose addresses should be asked now.
    std::vector<AddressCheck> take_address_checks(Time now);
    // The endpoint in doubt has answered at its address, after the question was taken.
    void confirmed(const AddressCheck& question, Time now);
    // Endpoints whose standing changed by another's report or by an answer, since the last call.
    // Those that ended come before those that took their places.
    std::vector<EndpointId> take_resolved() { return std::exchange(settled_, {}); }
    // Forgets endpoints that are gone or have been silent for long.
    void expire(Time now);

    const std::map<EndpointId, Item>& items() const { return items_; }
    // The same endpoints by what requests ask for.
    const EndpointIndex& index() const { return index_; }
    // Null where the endpoint is not known.
    const Item* find(const EndpointId& id) const;
    // The latest start under the name; null where none is known.
    const Item* latest(const std::string& name) const;
    // The endpoint that stands at the address, but for `other_than`; null where none does.
    const Item* standing(const std::string& address, const EndpointId& other_than) const;
    // The endpoint is gone, and another incarnation has its name or its address.
    bool replaced(const EndpointReport& report) const;
    // Two registries of equal digest hold the same content.
    std::uint64_t digest() const { return digest_; }
    // The same of each range of names.
    const RangeDigests& range_digests() const { return range_digests_; }
    static std::size_t range_of(const std::string& name);

  private:
    // An id that is new here, at an address where another stands.
    struct Doubt {
        EndpointReport report;
        Time first{}; // first and last sign of life
        Time heard{};
        Time ask_due{};
    };

    bool meet(EndpointReport report, Time heard);
    bool is_outdated(const EndpointReport& report) const;
    bool end_unnamed_start(const EndpointReport& report, Time heard);
    void end_starts_before(const EndpointId& id, Time now);
    bool doubt(EndpointReport report, Time heard, const Item& holder);
    void admit(const EndpointId& id, const EndpointId& instead_of, Time now);
    void put(const EndpointId& id, Item item);
    void drop(const EndpointId& id);
    void changed(Item& item);
    void add_to_digests(const std::string& name, std::uint64_t digest);

    bool hears_beats_;
    std::map<EndpointId, Item> items_;
    std::multimap<std::string, EndpointId> by_address_; // of all items, ended ones too
    EndpointIndex index_;
    std::map<EndpointId, Doubt> doubts_;
    std::vector<EndpointId> settled_;
    std::uint64_t digest_ = 0; // sum over all items
    RangeDigests range_digests_{};
};

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::MemberState)
MSGPACK_ADD_ENUM(liftweir::EndpointPhase)

#endif // REGISTRY_H_INCLUDED
