#ifndef STATE_H_INCLUDED
#define STATE_H_INCLUDED

#include "process/failure.h"
#include "version/endpointid.h"
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
// A group's epoch is the log index that formed it: unique and monotone.
using Epoch = std::uint64_t;

constexpr Epoch NoEpoch = 0;

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
    // Groups that the host was bound to and whose lead may still hold them open.
    std::vector<Epoch> left;

    auto operator<=>(const Host&) const = default;
    MSGPACK_DEFINE(spec, incarnation, mode, bound, changed, left)
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

// Active groups serve while their lead's gate is open. Draining ones finish what they have.
// Releasing ones wait until their members have acknowledged the release.
enum class GroupPhase : std::uint8_t { Active, Draining, Releasing };

struct Group {
    Epoch epoch = NoEpoch;
    std::string site;
    std::string domain;
    std::string zone;
    ModelSpec model;
    std::vector<Member> members; // the first one leads
    GroupPhase phase = GroupPhase::Active;
    std::string reason;
    Version changed = 0;
    // A member's old group may still be open: its lead has not acknowledged the release.
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

// One attempt of one request, unique over all entry hosts and their restarts.
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

// Right to run a call that may not be repeated.
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

// Commands of the log. Alternatives and fields are only ever appended.

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

// The entry host has been silent for long: what it was running may or may not have run.
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
    std::string order; // operator's order id
    HostName host;
    HostMode mode = HostMode::Active;
    std::string author;
    MSGPACK_DEFINE(order, host, mode, author)
};

struct ChangeSettings {
    std::string order;
    Version base = 0; // settings version that the operator has seen
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
    std::uint32_t limit = 0; // claims that the customer may hold
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

// The holder never sent the call: somebody else may claim it.
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

// An operator who has looked at the endpoint says whether the call ran.
struct ResolveClaim {
    std::string order;
    std::string customer;
    std::string key;
    bool ran = true;
    std::string author;
    MSGPACK_DEFINE(order, customer, key, ran, author)
};

// The operators' whole document of routes, services and customers, exactly as it was sent. The
// highest version wins; the bytes are opaque to the log.
struct ReplaceDocument {
    Version version = 0;
    std::string body;
    MSGPACK_DEFINE(version, body)
};

// No endpoint gets the request until then: it ends those that run it. Wall times, of the leader.
struct QuarantineRequest {
    Fingerprint content;
    std::uint32_t ends = 0;    // endpoints that it has ended
    std::int64_t until_ms = 0; // 0: it may run again
    std::int64_t now_ms = 0;   // when this was decided
    MSGPACK_DEFINE(content, ends, until_ms, now_ms)
};

struct QuarantineRecord {
    std::uint32_t ends = 0;
    std::int64_t until_ms = 0;
    auto operator<=>(const QuarantineRecord&) const = default;
    MSGPACK_DEFINE(ends, until_ms)
};

// The document in force, with the log index that put it there.
struct StoredDocument {
    Version version = 0;
    Version index = 0;
    std::string body;
    auto operator<=>(const StoredDocument&) const = default;
    MSGPACK_DEFINE(version, index, body)
};

// A group of endpoints that register themselves. It is here from before the first order to any of
// its members until none of them can be bound by it any more: whoever leads next knows of every
// group that may have been ordered.
struct PlannedGroup {
    std::string name;
    std::vector<EndpointId> members; // the lead first
    auto operator<=>(const PlannedGroup&) const = default;
    MSGPACK_DEFINE(name, members)
};

using PlannedGroups = std::map<Epoch, PlannedGroup>;

// Groups of one service that are about to be ordered, and such as bind nobody any more.
struct RecordGroups {
    std::string service;
    PlannedGroups formed;
    std::vector<Epoch> ended;
    MSGPACK_DEFINE(service, formed, ended)
};

using Command =
    std::variant<RegisterHost, RegisterEntry, ReleaseHost, FormGroup, DissolveGroup, DrainGroup,
                 SetHostMode, ChangeSettings, ClaimOnce, CloseClaim, DropClaim, ExpireClaims,
                 ResolveClaim, RetireEntry, ReplaceDocument, QuarantineRequest, RecordGroups>;

// What applying a command answered. Equal on every replica.
struct ApplyResult {
    bool ok = true;
    FailureKind failure = FailureKind::Conflict; // where not ok
    std::string detail;
    Version version = 0;              // settings version, or the epoch formed
    std::optional<ClaimRecord> claim; // state of the claim after a ClaimOnce
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

struct OrderRecord {
    bool ok = true;
    FailureKind failure = FailureKind::Conflict;
    std::string detail;
    Version version = 0;
    MSGPACK_DEFINE(ok, failure, detail, version)
};

// What an entry host needs to know of a group.
struct GroupRoute {
    Epoch epoch = NoEpoch;
    std::string site;
    std::string zone;
    ModelSpec model;
    HostName lead;
    Incarnation lead_incarnation = 0;
    std::string address;
    bool admits = true; // takes new work

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

// What changed since the versions that a process has.
struct TableDelta {
    Version base = 0;    // table version that it continues; 0 replaces everything
    Version version = 0; // of groups and services
    std::vector<GroupRoute> groups;
    std::vector<Epoch> removed;
    std::vector<ServiceRoute> services;
    Version settings_version = 0;
    Version lease_version = 0; // see State::lease_version
    std::vector<PlacedSetting> settings;
    std::vector<EntryRecord> entries; // all of them
    Version lease_base = 0;           // lease version that `settings` continue

    bool operator==(const TableDelta&) const = default;
    MSGPACK_DEFINE(base, version, groups, removed, services, settings_version, lease_version,
                   settings, entries, lease_base)
};

// A group that is gone, for deltas.
struct RemovedGroup {
    Version at = 0;
    Epoch epoch = NoEpoch;
    auto operator<=>(const RemovedGroup&) const = default;
    MSGPACK_DEFINE(at, epoch)
};

// The replicated state: a pure function of the log. No clock and no randomness; every time in it
// came with a command.
class State {
  public:
    ApplyResult apply(Version index, const Command& command);

    const std::map<HostName, Host>& hosts() const { return hosts_; }
    const std::map<Epoch, Group>& groups() const { return groups_; }
    const std::map<std::string, EntryRecord>& entries() const { return entries_; }
    const SettingsTree& settings() const { return settings_; }
    const std::deque<SettingsRecord>& history() const { return history_; }
    Version settings_version() const { return settings_version_; }
    // Index of the last command that an entry host must know of before it may admit new work: a
    // change of settings, or the retirement of an entry host.
    Version lease_version() const { return lease_version_; }
    Version table_version() const { return table_version_; }
    const StoredDocument& document() const { return document_; }
    // Requests that no endpoint gets.
    const std::map<Fingerprint, QuarantineRecord>& quarantined() const { return quarantined_; }
    // Groups of the service that may bind members.
    const PlannedGroups& planned_groups(const std::string& service) const;
    std::optional<ClaimRecord> claim(const std::string& customer, const std::string& key) const;
    std::vector<std::pair<std::string, ClaimRecord>> claims_of(const std::string& customer,
                                                               std::size_t limit) const;
    std::size_t claims() const;

    TableDelta delta_since(Version table, Version settings) const;
    // Group and host of every broken invariant; empty when all hold.
    std::vector<std::string> violations() const;

    std::string save() const;
    static Expected<State> load(std::string_view bytes);

    MSGPACK_DEFINE(hosts_, groups_, entries_, settings_, history_, settings_version_,
                   table_version_, claims_, orders_, order_queue_, lease_version_, removed_,
                   removed_floor_, dropped_, dropped_queue_, document_, quarantined_,
                   planned_groups_)

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

    void disown_claims(Incarnation entry);
    void unbind(Version index, Host& host);
    void start_release(Version index, Group& group, const std::string& reason);
    void drop_group_if_released(Version index, Epoch epoch);
    void touch(Version index, Host& host);
    bool may_be_open(Epoch epoch) const;
    const ApplyResult* known_order(const std::string& order, ApplyResult& out) const;
    ApplyResult remember(const std::string& order, ApplyResult result);

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
    Version removed_floor_ = 0;   // removals up to here are forgotten
    std::set<AttemptId> dropped_; // claims that were given up; a delayed copy must not claim
    std::deque<AttemptId> dropped_queue_;
    StoredDocument document_;
    std::map<Fingerprint, QuarantineRecord> quarantined_;
    std::map<std::string, PlannedGroups> planned_groups_; // by service
};

// True for commands that raise the lease version if they succeed.
bool raises_lease_version(const Command& command);

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::HostRole)
MSGPACK_ADD_ENUM(liftweir::HostMode)
MSGPACK_ADD_ENUM(liftweir::GroupPhase)
MSGPACK_ADD_ENUM(liftweir::ClaimPhase)
MSGPACK_ADD_ENUM(liftweir::FailureKind)

#endif // STATE_H_INCLUDED
