// Applies the commands of the log to the replicated state.

#include "version/state.h"

#include "connection/codec.h"

#include <algorithm>
#include <cassert>
#include <json/json.h>

namespace liftweir {

namespace {

// Enough for an operator's tool to resend a command after an outage of a day, at 740 changes a day.
constexpr std::size_t MaxStoredOrders = 4096;
constexpr std::size_t MaxHistoryRecords = 2048;
// At 300 restarts a day, a process may miss more than a week before it needs a full copy.
constexpr std::size_t MaxRemovedGroups = 4096;
constexpr std::size_t MaxDroppedClaims = 4096;
// Each of these requests has crashed three endpoints; this many of them occur only in an attack.
constexpr std::size_t MaxQuarantinedRequests = 1024;
constexpr std::size_t MaxIdempotencyKeyBytes = 256;

ApplyResult refuse(FailureKind kind, std::string detail) {
    ApplyResult result;
    result.ok = false;
    result.failure = kind;
    result.detail = std::move(detail);
    return result;
}

ApplyResult done(Version version) {
    ApplyResult result;
    result.version = version;
    return result;
}

std::string describe(const SettingsRecord& record) {
    std::string keys;
    for (const auto& change : record.changes)
        keys += (keys.empty() ? "" : ", ") + change.path + " " + change.key;
    return "version " + std::to_string(record.version) + " by " + record.author + " changed " +
           keys;
}

GroupRoute route_of(const Group& group) {
    const Member& lead = group.lead();
    return {group.epoch, group.site,       group.zone,   group.model,
            lead.host,   lead.incarnation, lead.address, group.phase == GroupPhase::Active};
}

ServiceRoute route_of(const Host& host) {
    const HostSpec& spec = host.spec;
    return {spec.name,
            host.incarnation,
            spec.site,
            spec.zone,
            spec.service,
            spec.address,
            host.mode == HostMode::Active};
}

} // namespace

std::string text_of(const ZonesOutOfUse& zones) {
    std::string text;
    for (const std::string& zone : zones.zones)
        text += (text.empty() ? "" : ",") + zone;
    return text.empty() ? "none" : text;
}

std::string to_json(const ZonesOutOfUse& zones) {
    Json::Value out;
    out["index"] = Json::UInt64(zones.index);
    out["out_of_use"] = Json::arrayValue;
    for (const std::string& zone : zones.zones)
        out["out_of_use"].append(zone);
    return Json::writeString(Json::StreamWriterBuilder(), out);
}

bool raises_lease_version(const Command& command) {
    return std::holds_alternative<ChangeSettings>(command) ||
           std::holds_alternative<ReplaceDocument>(command) ||
           std::holds_alternative<RetireEntry>(command) ||
           std::holds_alternative<SetZoneUse>(command);
}

ApplyResult State::apply(Version index, const Command& command) {
    return std::visit([&](const auto& c) { return on(index, c); }, command);
}

void State::touch(Version index, Host& host) {
    host.changed = index;
    table_version_ = index;
}

void State::unbind(Version index, Host& host) {
    const Epoch epoch = std::exchange(host.bound, NoEpoch);
    host.previous_groups.push_back(epoch);
    touch(index, host);
    drop_group_if_released(index, epoch);
}

void State::start_release(Version index, Group& group, const std::string& reason) {
    group.phase = GroupPhase::Releasing;
    group.reason = reason;
    group.changed = table_version_ = index;
}

// Only the lead forwards requests to its group. The group can not serve any more once the lead is
// unbound: by its own acknowledgement, by a restart, or by an operator who confirms that it is off.
bool State::may_be_open(Epoch epoch) const {
    const auto group = groups_.find(epoch);
    if (group == groups_.end())
        return false;
    const auto lead = hosts_.find(group->second.lead().host);
    return lead != hosts_.end() && lead->second.bound == epoch;
}

void State::drop_group_if_released(Version index, Epoch epoch) {
    const auto found = groups_.find(epoch);
    if (found == groups_.end())
        return;
    const auto bound = [&](const Member& member) {
        const auto host = hosts_.find(member.host);
        return host != hosts_.end() && host->second.bound == epoch;
    };
    if (std::any_of(found->second.members.begin(), found->second.members.end(), bound))
        return;
    groups_.erase(found);
    table_version_ = index;
    removed_.push_back({index, epoch});
    if (removed_.size() > MaxRemovedGroups) {
        removed_floor_ = removed_.front().at;
        removed_.pop_front();
    }
}

// A new incarnation of an agent belongs to no group: the previous agent process has ended, since
// both need the same port. The group that it was part of can not become complete again under its
// epoch, so it is released.
ApplyResult State::on(Version index, const RegisterHost& c) {
    Host& host = hosts_[c.spec.name];
    if (c.incarnation < host.incarnation)
        return refuse(FailureKind::Conflict, "an older incarnation");
    if (c.incarnation == host.incarnation && c.spec == host.spec &&
        host.mode != HostMode::Forgotten)
        return done(host.changed);
    const bool returned = c.incarnation != host.incarnation;
    host.spec = c.spec;
    host.incarnation = c.incarnation;
    if (host.mode == HostMode::Forgotten)
        host.mode = HostMode::Active;
    touch(index, host);
    if (returned && host.bound != NoEpoch) {
        const auto group = groups_.find(host.bound);
        if (group != groups_.end())
            start_release(index, group->second, "restart of " + c.spec.name);
        unbind(index, host);
    }
    return done(index);
}

// A resent or superseded document changes nothing and succeeds like the first one.
ApplyResult State::on(Version index, const ReplaceDocument& c) {
    if (c.version > document_.version) {
        document_ = {c.version, index, c.body};
        lease_version_ = index;
    }
    return done(document_.version);
}

// Removes expired records; if there are still too many, removes the one that expires first.
// Every command sets the index, also one that changes nothing: an entry host must reach the index
// of the last command in the log before its lease is renewed.
ApplyResult State::on(Version index, const SetZoneUse& c) {
    if (c.in_use)
        zones_out_of_use_.zones.erase(c.zone);
    else
        zones_out_of_use_.zones.insert(c.zone);
    zones_out_of_use_.index = index;
    lease_version_ = index;
    return done(index);
}

ApplyResult State::on(Version index, const RecordDepartures& c) {
    departures_.index = index;
    for (const EndpointId& id : c.forgotten)
        departures_.all.erase(id);
    if (!c.forgotten.empty())
        departures_.forgotten = index;
    bool all_added = true;
    for (const EndpointReport& report : c.departed)
        all_added = departures_.add(index, report) && all_added;
    return all_added ? done(index) : refuse(FailureKind::Overloaded, "too many endpoints leave");
}

ApplyResult State::on(Version index, const QuarantineRequest& c) {
    std::erase_if(quarantined_, [&](const auto& item) { return item.second.until_ms <= c.now_ms; });
    if (c.until_ms <= c.now_ms) {
        quarantined_.erase(c.content);
        return done(index);
    }
    QuarantineRecord& record = quarantined_[c.content];
    record.crashes = std::max(record.crashes, c.crashes);
    record.until_ms = std::max(record.until_ms, c.until_ms);
    if (quarantined_.size() > MaxQuarantinedRequests)
        quarantined_.erase(std::min_element(
            quarantined_.begin(), quarantined_.end(),
            [](const auto& a, const auto& b) { return a.second.until_ms < b.second.until_ms; }));
    return done(index);
}

ApplyResult State::on(Version index, const RecordGroups& c) {
    PlannedGroups& groups = planned_groups_[c.service];
    groups.insert(c.formed.begin(), c.formed.end());
    for (const Epoch epoch : c.ended)
        groups.erase(epoch);
    if (groups.empty())
        planned_groups_.erase(c.service);
    return done(index);
}

const PlannedGroups& State::planned_groups(const std::string& service) const {
    static const PlannedGroups none;
    const auto found = planned_groups_.find(service);
    return found == planned_groups_.end() ? none : found->second;
}

ApplyResult State::on(Version index, const RegisterEntry& c) {
    EntryRecord& entry = entries_[c.entry.name];
    if (c.entry.incarnation < entry.incarnation)
        return refuse(FailureKind::Conflict, "an older incarnation");
    if (entry == c.entry)
        return done(index);
    if (entry.incarnation != c.entry.incarnation && entry.incarnation != 0)
        mark_claims_unknown(entry.incarnation);
    entry = c.entry;
    table_version_ = index;
    return done(index);
}

// A retired entry host can not renew its settings lease before it has registered again, so changes
// of settings need not wait for it.
ApplyResult State::on(Version index, const RetireEntry& c) {
    const auto found = entries_.find(c.name);
    if (found == entries_.end() || found->second.incarnation != c.incarnation)
        return refuse(FailureKind::NotFound, c.name);
    mark_claims_unknown(c.incarnation);
    entries_.erase(found);
    lease_version_ = table_version_ = index;
    return done(index);
}

// No process can report how the calls of this entry host ended. Unknown is always safe, and a late
// result of a holder that was only slow still corrects it.
void State::mark_claims_unknown(Incarnation entry) {
    for (auto& [customer, claims] : claims_)
        for (auto& [key, record] : claims)
            if (record.holder.entry == entry && record.phase == ClaimPhase::Running)
                record.phase = ClaimPhase::Unknown;
}

ApplyResult State::on(Version index, const ReleaseHost& c) {
    const auto host = hosts_.find(c.host);
    if (host == hosts_.end())
        return refuse(FailureKind::NotFound, c.host);
    if (host->second.incarnation != c.incarnation || host->second.bound != c.epoch)
        return refuse(FailureKind::Conflict, "not bound to this epoch in this incarnation");
    const auto group = groups_.find(c.epoch);
    if (group != groups_.end() && group->second.phase != GroupPhase::Releasing)
        return refuse(FailureKind::Conflict, "the group is not releasing");
    unbind(index, host->second);
    return done(index);
}

// The only command that binds hosts to a group.
ApplyResult State::on(Version index, const FormGroup& c) {
    if (c.members.empty())
        return refuse(FailureKind::BadRequest, "no members");
    Group group;
    group.epoch = index;
    group.model = c.model;
    group.reason = c.reason;
    group.changed = index;
    std::set<HostName> seen;
    for (const HostRef& ref : c.members) {
        const auto found = hosts_.find(ref.host);
        if (found == hosts_.end() || found->second.incarnation != ref.incarnation)
            return refuse(FailureKind::Conflict, ref.host + " is not in this incarnation");
        const Host& host = found->second;
        if (host.bound != NoEpoch || host.mode != HostMode::Active || !seen.insert(ref.host).second)
            return refuse(FailureKind::Conflict, ref.host + " is not free");
        const HostSpec& first = hosts_.at(c.members.front().host).spec;
        if (host.spec.domain != first.domain || host.spec.site != first.site ||
            host.spec.role != HostRole::Engine)
            return refuse(FailureKind::Conflict, ref.host + " is in another fabric domain");
        group.members.push_back(
            {ref.host, ref.incarnation, host.spec.address, host.spec.ping_address});
        group.waits_to_open = group.waits_to_open ||
                              std::any_of(host.previous_groups.begin(), host.previous_groups.end(),
                                          [this](Epoch epoch) { return may_be_open(epoch); });
    }
    const HostSpec& lead = hosts_.at(c.members.front().host).spec;
    group.site = lead.site;
    group.domain = lead.domain;
    group.zone = lead.zone;
    for (const HostRef& ref : c.members) {
        Host& host = hosts_.at(ref.host);
        host.bound = index;
        std::erase_if(host.previous_groups, [this](Epoch epoch) { return !may_be_open(epoch); });
        touch(index, host);
    }
    groups_.emplace(index, std::move(group));
    return done(index);
}

ApplyResult State::on(Version index, const DissolveGroup& c) {
    const auto group = groups_.find(c.epoch);
    if (group == groups_.end())
        return refuse(FailureKind::NotFound, "no such group");
    if (group->second.phase == GroupPhase::Releasing)
        return done(group->second.changed);
    start_release(index, group->second, c.reason);
    return done(index);
}

ApplyResult State::on(Version index, const DrainGroup& c) {
    const auto group = groups_.find(c.epoch);
    if (group == groups_.end())
        return refuse(FailureKind::NotFound, "no such group");
    if (group->second.phase != GroupPhase::Active)
        return done(group->second.changed);
    group->second.phase = GroupPhase::Draining;
    group->second.reason = c.reason;
    group->second.changed = table_version_ = index;
    return done(index);
}

ApplyResult State::on(Version index, const SetHostMode& c) {
    ApplyResult known;
    if (known_order(c.order, known) != nullptr)
        return known;
    const auto found = hosts_.find(c.host);
    if (found == hosts_.end())
        return store_order_result(c.order, refuse(FailureKind::NotFound, c.host));
    Host& host = found->second;
    host.mode = c.mode;
    touch(index, host);
    // The operator confirms that a forgotten host is off, so it no longer belongs to a group.
    if (c.mode == HostMode::Forgotten && host.bound != NoEpoch) {
        const auto group = groups_.find(host.bound);
        if (group != groups_.end())
            start_release(index, group->second, c.host + " was forgotten");
        unbind(index, host);
    }
    return store_order_result(c.order, done(index));
}

// Compare-and-set: of two changes based on the same version, the first in the log wins, and the
// second one fails with a description of the first. A resent command gets the first result.
ApplyResult State::on(Version index, const ChangeSettings& c) {
    ApplyResult known;
    if (known_order(c.order, known) != nullptr)
        return known;
    if (c.base != settings_version_) {
        const std::string winner =
            history_.empty() ? "no change was made yet" : describe(history_.back());
        ApplyResult conflict = refuse(FailureKind::Conflict, winner);
        conflict.version = settings_version_;
        return store_order_result(c.order, conflict);
    }
    for (const SettingChange& change : c.changes)
        if (const auto checked = SettingsTree::check(change); !checked)
            return store_order_result(c.order,
                                      refuse(checked.error().kind, checked.error().detail));
    for (const SettingChange& change : c.changes)
        settings_.apply(change, index, c.author);
    settings_version_ = lease_version_ = index;
    history_.push_back({index, c.author, c.wall_ms, c.changes});
    if (history_.size() > MaxHistoryRecords)
        history_.pop_front();
    return store_order_result(c.order, done(index));
}

// Claiming is idempotent by attempt: an entry host that lost the reply sends the claim again and
// learns that it holds the claim.
ApplyResult State::on(Version index, const ClaimOnce& c) {
    if (c.key.size() > MaxIdempotencyKeyBytes)
        return refuse(FailureKind::BadRequest, "the idempotency key is longer than 256 bytes");
    if (dropped_.contains(c.attempt))
        return refuse(FailureKind::Conflict, "the claim was given up");
    Claims& claims = claims_[c.customer];
    const auto found = claims.find(c.key);
    if (found == claims.end()) {
        if (claims.size() >= c.limit)
            return refuse(FailureKind::Overloaded, "too many idempotency keys are held");
        const ClaimRecord record{c.digest, c.attempt, ClaimPhase::Running, {}, false, c.wall_ms};
        claims.emplace(c.key, record);
        ApplyResult result = done(index);
        result.claim = record;
        return result;
    }
    ApplyResult result = done(index);
    result.claim = found->second;
    const bool own = found->second.holder == c.attempt;
    if (found->second.digest != c.digest) {
        result.ok = false;
        result.failure = FailureKind::Mismatch;
        result.detail = "the idempotency key was used with another request";
    } else if (!own && found->second.phase == ClaimPhase::Running) {
        result.ok = false;
        result.failure = FailureKind::InProgress;
        result.detail = "the first call with this key still runs";
    } else if (!own && found->second.phase == ClaimPhase::Unknown) {
        result.ok = false;
        result.failure = FailureKind::OutcomeUnknown;
        result.detail = "the first call with this key may have run";
    }
    return result;
}

ApplyResult State::on(Version index, const CloseClaim& c) {
    const auto customer = claims_.find(c.customer);
    if (customer == claims_.end() || !customer->second.contains(c.key))
        return refuse(FailureKind::NotFound, "no such claim");
    ClaimRecord& record = customer->second.at(c.key);
    if (record.holder != c.attempt)
        return refuse(FailureKind::Conflict, "the claim has another holder");
    // A late result may still replace Unknown; Completed is final.
    if (record.phase != ClaimPhase::Completed) {
        record.phase = c.phase;
        record.answer = c.answer;
        record.answer_kept = c.answer_kept;
    }
    return done(index);
}

// A claim that an entry host withdraws while control is unreachable may still arrive later. A
// tombstone prevents it from taking the key for a call that will never be sent.
ApplyResult State::on(Version index, const DropClaim& c) {
    if (dropped_.insert(c.attempt).second) {
        dropped_queue_.push_back(c.attempt);
        if (dropped_queue_.size() > MaxDroppedClaims) {
            dropped_.erase(dropped_queue_.front());
            dropped_queue_.pop_front();
        }
    }
    const auto customer = claims_.find(c.customer);
    if (customer == claims_.end() || !customer->second.contains(c.key))
        return done(index);
    const ClaimRecord& record = customer->second.at(c.key);
    if (record.holder != c.attempt || record.phase != ClaimPhase::Running)
        return refuse(FailureKind::Conflict, "the claim has another holder or is closed");
    customer->second.erase(c.key);
    return done(index);
}

ApplyResult State::on(Version index, const ExpireClaims& c) {
    for (auto& [customer, claims] : claims_)
        std::erase_if(claims,
                      [&](const auto& item) { return item.second.claimed_ms < c.before_ms; });
    std::erase_if(claims_, [](const auto& item) { return item.second.empty(); });
    return done(index);
}

ApplyResult State::on(Version index, const ResolveClaim& c) {
    ApplyResult known;
    if (known_order(c.order, known) != nullptr)
        return known;
    const auto customer = claims_.find(c.customer);
    if (customer == claims_.end() || !customer->second.contains(c.key))
        return store_order_result(c.order, refuse(FailureKind::NotFound, "no such claim"));
    ClaimRecord& record = customer->second.at(c.key);
    if (record.phase == ClaimPhase::Completed)
        return store_order_result(c.order, refuse(FailureKind::Conflict, "the claim is completed"));
    if (c.ran)
        record.phase = ClaimPhase::Completed;
    else
        customer->second.erase(c.key);
    return store_order_result(c.order, done(index));
}

const ApplyResult* State::known_order(const std::string& order, ApplyResult& out) const {
    const auto found = orders_.find(order);
    if (order.empty() || found == orders_.end())
        return nullptr;
    const OrderRecord& record = found->second;
    out = ApplyResult{record.ok, record.failure, record.detail, record.version, std::nullopt};
    return &out;
}

ApplyResult State::store_order_result(const std::string& order, ApplyResult result) {
    if (order.empty())
        return result;
    orders_[order] = {result.ok, result.failure, result.detail, result.version};
    order_queue_.push_back(order);
    if (order_queue_.size() > MaxStoredOrders) {
        orders_.erase(order_queue_.front());
        order_queue_.pop_front();
    }
    return result;
}

std::optional<ClaimRecord> State::claim(const std::string& customer, const std::string& key) const {
    const auto claims = claims_.find(customer);
    if (claims == claims_.end())
        return std::nullopt;
    const auto found = claims->second.find(key);
    if (found == claims->second.end())
        return std::nullopt;
    return found->second;
}

std::vector<std::pair<std::string, ClaimRecord>> State::claims_of(const std::string& customer,
                                                                  std::size_t limit) const {
    std::vector<std::pair<std::string, ClaimRecord>> out;
    const auto claims = claims_.find(customer);
    if (claims == claims_.end())
        return out;
    for (const auto& item : claims->second) {
        if (out.size() == limit)
            break;
        out.emplace_back(item);
    }
    return out;
}

std::size_t State::claims() const {
    std::size_t count = 0;
    for (const auto& [customer, claims] : claims_)
        count += claims.size();
    return count;
}

TableDelta State::delta_since(Version table, Version lease) const {
    TableDelta delta;
    const Version base = table < removed_floor_ ? 0 : table;
    delta.base = base;
    delta.version = table_version_;
    delta.settings_version = settings_version_;
    delta.lease_version = lease_version_;
    delta.lease_base = lease;
    if (base < table_version_) {
        for (const auto& [epoch, group] : groups_)
            if (group.changed > base)
                delta.groups.push_back(route_of(group));
        for (const RemovedGroup& removed : removed_)
            if (base != 0 && removed.at > base)
                delta.removed.push_back(removed.epoch);
        for (const auto& [name, host] : hosts_)
            if (host.spec.role == HostRole::Service && host.changed > base)
                delta.services.push_back(route_of(host));
        for (const auto& [name, entry] : entries_)
            delta.entries.push_back(entry);
    }
    if (lease < lease_version_)
        delta.settings = settings_.changed_since(lease);
    return delta;
}

std::vector<std::string> State::violations() const {
    std::vector<std::string> out;
    std::map<HostName, Epoch> holder;
    for (const auto& [epoch, group] : groups_) {
        for (const Member& member : group.members) {
            const auto host = hosts_.find(member.host);
            if (host == hosts_.end() || host->second.bound != epoch)
                continue;
            if (!holder.emplace(member.host, epoch).second)
                out.push_back(member.host + " is in two groups");
            if (host->second.spec.domain != group.domain)
                out.push_back(member.host + " is outside its group's fabric domain");
        }
    }
    return out;
}

std::string State::save() const {
    return encode_struct(*this);
}

Expected<State> State::load(std::string_view bytes) {
    return decode_struct<State>(bytes);
}

} // namespace liftweir
