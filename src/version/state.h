// The replicated state of the control hosts, and the commands of the Raft log that change it.

#ifndef STATE_H_INCLUDED
#define STATE_H_INCLUDED

#include "process/failure.h"
#include "version/departures.h"
#include "version/endpointid.h"
#include "version/endpointreport.h"
#include "version/epoch.h"
#include "version/fingerprint.h"
#include "version/settings.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace liftweir {

using HostName = std::string;
using Incarnation = std::uint64_t;
enum class HostRole : std::uint8_t { Engine, Service };
enum class HostMode : std::uint8_t { Active, Draining, Forgotten };

struct HostSpec {
    HostName name;
    std::string site;
    std::string zone;
    std::string domain; // fabric domain
    std::uint32_t accelerators = 0;
    HostRole role = HostRole::Engine;
    std::string service;      // name of the plain service, for HostRole::Service
    std::string address;      // agent's TCP address, ip:port
    std::string ping_address; // agent's UDP address, ip:port
    std::string http;         // agent's HTTP address, ip:port

    auto operator<=>(const HostSpec&) const = default;
    MSGPACK_DEFINE(name, site, zone, domain, accelerators, role, service, address, ping_address,
                   http)
};

struct Host {
    HostSpec spec;
    Incarnation incarnation = 0;
    HostMode mode = HostMode::Active;
    Epoch bound = NoEpoch; // group that the host belongs to or has not yet released
    Version changed = 0;
    // Earlier groups of this host whose lead may still have its gate open.
    std::vector<Epoch> previous_groups;

    auto operator<=>(const Host&) const = default;
    MSGPACK_DEFINE(spec, incarnation, mode, bound, changed, previous_groups)
};

struct Member {
    HostName host;
    Incarnation incarnation = 0;
    std::string address;
    std::string ping_address;

    auto operator<=>(const Member&) const = default;
    MSGPACK_DEFINE(host, incarnation, address, ping_address)
};

struct ModelSpec {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;

    auto operator<=>(const ModelSpec&) const = default;
    MSGPACK_DEFINE(model, version, adapters)
};

// An active group serves while its lead's gate is open. A draining group finishes its requests but
// admits no new ones. A releasing group waits until all members have acknowledged the release.
enum class GroupPhase : std::uint8_t { Active, Draining, Releasing };

struct Group {
    Epoch epoch = NoEpoch;
    std::string site;
    std::string domain;
    std::string zone;
    ModelSpec model;
    std::vector<Member> members; // the lead first
    GroupPhase phase = GroupPhase::Active;
    std::string reason;
    Version changed = 0;
    // An earlier group of a member may still be open: its lead has not acknowledged the release.
    bool waits_to_open = false;

    const Member& lead() const { return members.front(); }
    auto operator<=>(const Group&) const = default;
    MSGPACK_DEFINE(epoch, site, domain, zone, model, members, phase, reason, changed, waits_to_open)
};

struct EntryRecord {
    std::string name;
    Incarnation incarnation = 0;
    std::string address;
    std::string site;

    auto operator<=>(const EntryRecord&) const = default;
    MSGPACK_DEFINE(name, incarnation, address, site)
};

// Identifies one attempt of one request, unique across all entry hosts and their restarts.
struct AttemptId {
    Incarnation entry = 0;
    std::uint64_t sequence = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const AttemptId&) const = default;
    MSGPACK_DEFINE(entry, sequence, attempt)
};

enum class ClaimPhase : std::uint8_t { Running, Completed, Unknown };

struct Answer {
    int status = 0;
    std::string content_type;
    std::string body;

    auto operator<=>(const Answer&) const = default;
    MSGPACK_DEFINE(status, content_type, body)
};

// The claim of an idempotency key: the right to run a call that must not be repeated.
struct ClaimRecord {
    std::string digest; // of method, path and body
    AttemptId holder;
    ClaimPhase phase = ClaimPhase::Running;
    Answer answer;
    bool answer_kept = false;
    std::int64_t claimed_ms = 0; // wall time

    auto operator<=>(const ClaimRecord&) const = default;
    MSGPACK_DEFINE(digest, holder, phase, answer, answer_kept, claimed_ms)
};

// Commands of the log. New alternatives and fields are only appended, so that existing logs and
// older releases keep working.

struct RegisterHost {
    HostSpec spec;
    Incarnation incarnation = 0;
    MSGPACK_DEFINE(spec, incarnation)
};

struct RegisterEntry {
    EntryRecord entry;
    MSGPACK_DEFINE(entry)
};

struct ReleaseHost {
    HostName host;
    Incarnation incarnation = 0;
    Epoch epoch = NoEpoch;
    MSGPACK_DEFINE(host, incarnation, epoch)
};

// Removes an entry host that has been unreachable for a long time. The outcome of its running calls
// is unknown.
struct RetireEntry {
    std::string name;
    Incarnation incarnation = 0;
    MSGPACK_DEFINE(name, incarnation)
};

struct HostRef {
    HostName host;
    Incarnation incarnation = 0;
    auto operator<=>(const HostRef&) const = default;
    MSGPACK_DEFINE(host, incarnation)
};

struct FormGroup {
    ModelSpec model;
    std::vector<HostRef> members;
    std::string reason;
    MSGPACK_DEFINE(model, members, reason)
};

struct DissolveGroup {
    Epoch epoch = NoEpoch;
    std::string reason;
    MSGPACK_DEFINE(epoch, reason)
};

struct DrainGroup {
    Epoch epoch = NoEpoch;
    std::string reason;
    MSGPACK_DEFINE(epoch, reason)
};

struct SetHostMode {
    std::string order; // id of the operator's command, by which a resend is recognised
    HostName host;
    HostMode mode = HostMode::Active;
    std::string author;
    MSGPACK_DEFINE(order, host, mode, author)
};

struct ChangeSettings {
    std::string order;
    Version base = 0; // settings version that the change is based on
    std::string author;
    std::vector<SettingChange> changes;
    std::int64_t wall_ms = 0;
    MSGPACK_DEFINE(order, base, author, changes, wall_ms)
};

struct ClaimOnce {
    std::string customer;
    std::string key;
    std::string digest;
    AttemptId attempt;
    std::int64_t wall_ms = 0;
    std::uint32_t limit = 0; // most claims that the customer may hold
    MSGPACK_DEFINE(customer, key, digest, attempt, wall_ms, limit)
};

struct CloseClaim {
    std::string customer;
    std::string key;
    AttemptId attempt;
    ClaimPhase phase = ClaimPhase::Unknown;
    Answer answer;
    bool answer_kept = false;
    MSGPACK_DEFINE(customer, key, attempt, phase, answer, answer_kept)
};

// Withdraws a claim whose holder never sent the call, so that the key can be claimed again.
struct DropClaim {
    std::string customer;
    std::string key;
    AttemptId attempt;
    MSGPACK_DEFINE(customer, key, attempt)
};

struct ExpireClaims {
    std::int64_t before_ms = 0;
    MSGPACK_DEFINE(before_ms)
};

// An operator who has inspected the endpoint decides whether the call ran.
struct ResolveClaim {
    std::string order;
    std::string customer;
    std::string key;
    bool ran = true;
    std::string author;
    MSGPACK_DEFINE(order, customer, key, ran, author)
};

// Replaces the operators' document of routes, services and customers. The body is stored exactly as
// it was sent and not interpreted here. The highest version wins.
struct ReplaceDocument {
    Version version = 0;
    std::string body;
    MSGPACK_DEFINE(version, body)
};

// Quarantines a request that crashes the endpoints that run it: until the given time it is sent to
// no endpoint. Times are wall times of the leader.
struct QuarantineRequest {
    Fingerprint content;
    std::uint32_t crashes = 0; // endpoints that the request has crashed
    std::int64_t until_ms = 0; // 0 lifts the quarantine
    std::int64_t now_ms = 0;   // time of the decision
    MSGPACK_DEFINE(content, crashes, until_ms, now_ms)
};

struct QuarantineRecord {
    std::uint32_t crashes = 0;
    std::int64_t until_ms = 0;
    auto operator<=>(const QuarantineRecord&) const = default;
    MSGPACK_DEFINE(crashes, until_ms)
};

// The document in force, with the index of the log entry that set it.
struct StoredDocument {
    Version version = 0;
    Version index = 0;
    std::string body;
    auto operator<=>(const StoredDocument&) const = default;
    MSGPACK_DEFINE(version, index, body)
};

// A group of endpoints that register themselves. It is recorded before the first order to any of
// its members and removed once none of them can be bound by it, so that the next leader knows every
// group that may have been ordered.
struct PlannedGroup {
    std::string name;
    std::vector<EndpointId> members; // the lead first
    auto operator<=>(const PlannedGroup&) const = default;
    MSGPACK_DEFINE(name, members)
};

using PlannedGroups = std::map<Epoch, PlannedGroup>;

// Records groups of one service that are about to be ordered, and removes those that bind no
// endpoint any more.
struct RecordGroups {
    std::string service;
    PlannedGroups formed;
    std::vector<Epoch> ended; // to be removed
    MSGPACK_DEFINE(service, formed, ended)
};

// Takes an availability zone out of use, or back into use. Operators may repeat it: the last one in
// the log decides.
struct SetZoneUse {
    std::string zone;
    bool in_use = true;
    MSGPACK_DEFINE(zone, in_use)
};

// The availability zones whose endpoints get no new requests.
struct ZonesOutOfUse {
    Version index = 0; // of the log entry that last set a zone's use
    std::set<std::string> zones;
    auto operator<=>(const ZonesOutOfUse&) const = default;
    MSGPACK_DEFINE(index, zones)
};

// The names of the zones, separated by commas; "none" where all are in use.
std::string text_of(const ZonesOutOfUse& zones);
std::string to_json(const ZonesOutOfUse& zones);

// Records endpoints whose leave a control host is about to acknowledge, by their last reports, and
// removes those that can send no more reports.
struct RecordDepartures {
    std::vector<EndpointReport> departed; // draining or gone
    std::vector<EndpointId> forgotten;
    MSGPACK_DEFINE(departed, forgotten)
};

using Command = std::variant<RegisterHost, RegisterEntry, ReleaseHost, FormGroup, DissolveGroup,
                             DrainGroup, SetHostMode, ChangeSettings, ClaimOnce, CloseClaim,
                             DropClaim, ExpireClaims, ResolveClaim, RetireEntry, ReplaceDocument,
                             QuarantineRequest, RecordGroups, SetZoneUse, RecordDepartures>;

// The result of applying a command. Equal on every replica.
struct ApplyResult {
    bool ok = true;
    FailureKind failure = FailureKind::Conflict; // meaningful if not ok
    std::string detail;
    Version version = 0;              // settings version, or the epoch of the new group
    std::optional<ClaimRecord> claim; // the claim after a ClaimOnce
    bool operator==(const ApplyResult&) const = default;
};

struct SettingsRecord {
    Version version = 0;
    std::string author;
    std::int64_t wall_ms = 0;
    std::vector<SettingChange> changes;
    auto operator<=>(const SettingsRecord&) const = default;
    MSGPACK_DEFINE(version, author, wall_ms, changes)
};

// The stored result of an operator's command, which answers a resend of it.
struct OrderRecord {
    bool ok = true;
    FailureKind failure = FailureKind::Conflict;
    std::string detail;
    Version version = 0;
    MSGPACK_DEFINE(ok, failure, detail, version)
};

// The part of a group that entry hosts need for routing.
struct GroupRoute {
    Epoch epoch = NoEpoch;
    std::string site;
    std::string zone;
    ModelSpec model;
    HostName lead;
    Incarnation lead_incarnation = 0;
    std::string address;
    bool admits = true; // accepts new requests

    auto operator<=>(const GroupRoute&) const = default;
    MSGPACK_DEFINE(epoch, site, zone, model, lead, lead_incarnation, address, admits)
};

// One host of a plain service.
struct ServiceRoute {
    HostName host;
    Incarnation incarnation = 0;
    std::string site;
    std::string zone;
    std::string service;
    std::string address;
    bool admits = true;

    auto operator<=>(const ServiceRoute&) const = default;
    MSGPACK_DEFINE(host, incarnation, site, zone, service, address, admits)
};

// The changes since the versions that an entry host has.
struct TableDelta {
    Version base = 0;    // table version that the delta is relative to; 0 replaces everything
    Version version = 0; // of groups and services
    std::vector<GroupRoute> groups;
    std::vector<Epoch> removed;
    std::vector<ServiceRoute> services;
    Version settings_version = 0;
    Version lease_version = 0; // see State::lease_version
    std::vector<PlacedSetting> settings;
    std::vector<EntryRecord> entries; // all of them
    Version lease_base = 0;           // lease version that `settings` is relative to

    bool operator==(const TableDelta&) const = default;
    MSGPACK_DEFINE(base, version, groups, removed, services, settings_version, lease_version,
                   settings, entries, lease_base)
};

// A removed group, which deltas report to entry hosts.
struct RemovedGroup {
    Version at = 0;
    Epoch epoch = NoEpoch;
    auto operator<=>(const RemovedGroup&) const = default;
    MSGPACK_DEFINE(at, epoch)
};

// The replicated state, a pure function of the log. It uses neither a clock nor randomness: every
// time in it was part of a command.
class State {
  public:
    ApplyResult apply(Version index, const Command& command);

    const std::map<HostName, Host>& hosts() const { return hosts_; }
    const std::map<Epoch, Group>& groups() const { return groups_; }
    const std::map<std::string, EntryRecord>& entries() const { return entries_; }
    const SettingsTree& settings() const { return settings_; }
    const std::deque<SettingsRecord>& history() const { return history_; }
    Version settings_version() const { return settings_version_; }
    // Index of the last command that an entry host must have applied before it may admit new
    // requests: a change of settings, of the document or of a zone's use, or the retirement of an
    // entry host.
    Version lease_version() const { return lease_version_; }
    Version table_version() const { return table_version_; }
    const StoredDocument& document() const { return document_; }
    const ZonesOutOfUse& zones_out_of_use() const { return zones_out_of_use_; }
    const Departures& departures() const { return departures_; }
    // Requests that are sent to no endpoint.
    const std::map<Fingerprint, QuarantineRecord>& quarantined() const { return quarantined_; }
    // Groups of the service that may still bind their members.
    const PlannedGroups& planned_groups(const std::string& service) const;
    std::optional<ClaimRecord> claim(const std::string& customer, const std::string& key) const;
    std::vector<std::pair<std::string, ClaimRecord>> claims_of(const std::string& customer,
                                                               std::size_t limit) const;
    std::size_t claims() const;

    TableDelta delta_since(Version table, Version settings) const;
    // A description of every violated invariant; empty if all hold.
    std::vector<std::string> violations() const;

    std::string save() const;
    static Expected<State> load(std::string_view bytes);

    MSGPACK_DEFINE(hosts_, groups_, entries_, settings_, history_, settings_version_,
                   table_version_, claims_, orders_, order_queue_, lease_version_, removed_,
                   removed_floor_, dropped_, dropped_queue_, document_, quarantined_,
                   planned_groups_, zones_out_of_use_, departures_)

  private:
    using Claims = std::map<std::string, ClaimRecord>;

    ApplyResult on(Version index, const RegisterHost& c);
    ApplyResult on(Version index, const RegisterEntry& c);
    ApplyResult on(Version index, const ReleaseHost& c);
    ApplyResult on(Version index, const FormGroup& c);
    ApplyResult on(Version index, const DissolveGroup& c);
    ApplyResult on(Version index, const DrainGroup& c);
    ApplyResult on(Version index, const SetHostMode& c);
    ApplyResult on(Version index, const ChangeSettings& c);
    ApplyResult on(Version index, const ClaimOnce& c);
    ApplyResult on(Version index, const CloseClaim& c);
    ApplyResult on(Version index, const DropClaim& c);
    ApplyResult on(Version index, const ExpireClaims& c);
    ApplyResult on(Version index, const ResolveClaim& c);
    ApplyResult on(Version index, const RetireEntry& c);
    ApplyResult on(Version index, const ReplaceDocument& c);
    ApplyResult on(Version index, const QuarantineRequest& c);
    ApplyResult on(Version index, const RecordGroups& c);
    ApplyResult on(Version index, const SetZoneUse& c);
    ApplyResult on(Version index, const RecordDepartures& c);

    void mark_claims_unknown(Incarnation entry);
    void unbind(Version index, Host& host);
    void start_release(Version index, Group& group, const std::string& reason);
    void drop_group_if_released(Version index, Epoch epoch);
    void touch(Version index, Host& host);
    bool may_be_open(Epoch epoch) const;
    const ApplyResult* known_order(const std::string& order, ApplyResult& out) const;
    ApplyResult store_order_result(const std::string& order, ApplyResult result);

    std::map<HostName, Host> hosts_;
    std::map<Epoch, Group> groups_;
    std::map<std::string, EntryRecord> entries_;
    SettingsTree settings_;
    std::deque<SettingsRecord> history_;
    Version settings_version_ = 0;
    Version table_version_ = 0;
    std::map<std::string, Claims> claims_; // by customer, then key
    std::map<std::string, OrderRecord> orders_;
    std::deque<std::string> order_queue_;
    Version lease_version_ = 0;
    std::deque<RemovedGroup> removed_;
    Version removed_floor_ = 0;   // removals up to this version are no longer in removed_
    std::set<AttemptId> dropped_; // withdrawn claims, which a delayed ClaimOnce must not take
    std::deque<AttemptId> dropped_queue_;
    StoredDocument document_;
    std::map<Fingerprint, QuarantineRecord> quarantined_;
    std::map<std::string, PlannedGroups> planned_groups_; // by service
    ZonesOutOfUse zones_out_of_use_;
    Departures departures_;
};

// True for commands that raise the lease version if they are applied successfully.
bool raises_lease_version(const Command& command);

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::HostRole)
MSGPACK_ADD_ENUM(liftweir::HostMode)
MSGPACK_ADD_ENUM(liftweir::GroupPhase)
MSGPACK_ADD_ENUM(liftweir::ClaimPhase)
MSGPACK_ADD_ENUM(liftweir::FailureKind)

#endif // STATE_H_INCLUDED
