// Run by liftweir-control: timers, messages of agents and entry hosts, and what is sent to them.

#include "process/control.h"

#include "connection/codec.h"
#include "process/logging.h"
#include "process/metrics.h"

#include <algorithm>
#include <cstdlib>

namespace liftweir {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration PlanInterval = std::chrono::milliseconds(100);
constexpr Duration ClaimExpiryInterval = std::chrono::seconds(60);
// An entry host is retired when it has sent no lease renewal for this long. The outcome of its
// claims then counts as unknown until a late answer corrects it, so the limit only has to exceed a
// pause of the process.
constexpr Duration RetireEntryAfter = std::chrono::seconds(15);
constexpr std::int64_t MillisPerHour = 3600 * 1000;

} // namespace

Expected<std::unique_ptr<Control>> Control::open(asio::io_context& io,
                                                 const ProcessConfig& config) {
    auto storage = open_directory(config.data);
    if (!storage)
        return tl::make_unexpected(storage.error());
    Voters bootstrap;
    if (!config.join)
        for (const auto& [node, address] : config.control)
            bootstrap.insert(node);
    std::random_device device;
    auto replica =
        Replica::open(**storage, config.node, bootstrap, RaftTuning{}, device(), BootClock::now());
    if (!replica)
        return tl::make_unexpected(replica.error());
    return std::unique_ptr<Control>(
        new Control(io, config, std::move(*storage), std::move(*replica)));
}

Control::Control(asio::io_context& io, const ProcessConfig& config,
                 std::unique_ptr<Storage> storage, std::unique_ptr<Replica> replica)
    : io_(io),
      config_(config),
      identity_{ProcessRole::Control, config.name, new_incarnation()},
      keys_(config.cluster_keys),
      storage_(std::move(storage)),
      replica_(std::move(replica)),
      ticker_(io, TickInterval, [this] { tick(); }) {
    Timeline::instance().name(config.name, identity_.incarnation);
    replica_->on_applied([this](Index index, const Command& command, const ApplyResult& result) {
        on_applied(index, command, result);
    });
}

Control::~Control() = default;

void Control::start() {
    listener_ = std::make_unique<LinkListener>(io_, config_.listen, identity_, keys_);
    listener_->start(
        [](const Link::Ptr&) {},
        [this](const Link::Ptr& link, WireMessage&& m) { on_message(link, std::move(m)); },
        [this](const Link::Ptr& link) { on_down(link); });
    for (const auto& [node, address] : config_.control) {
        if (node == config_.node)
            continue;
        auto dialer = std::make_unique<Dialer>(io_, address, identity_, keys_);
        dialer->start([](const Link::Ptr&) {}, [](const Link::Ptr&, WireMessage&&) {},
                      [](const Link::Ptr&) {});
        peers_.emplace(node, std::move(dialer));
    }
    http_ =
        serve_http(io_, config_.http, HttpServerLimits{.body_bytes = 4u << 20, .connections = 256},
                   admin_handler(*this));
    record({.kind = EventKind::ProcessStarted, .host = config_.name, .detail = "control"});
    ticker_.start();
}

void Control::stop() {
    record({.kind = EventKind::ProcessStopped, .host = config_.name});
    io_.stop();
}

void Control::tick() {
    const Time time = now();
    replica_->tick(time);
    pump();
    if (!replica_->ready())
        return;
    if (time >= plan_due_) {
        plan_due_ = time + PlanInterval;
        plan();
    }
    if (time >= claim_expiry_due_) {
        claim_expiry_due_ = time + ClaimExpiryInterval;
        expire_claims();
    }
}

// Group commit: all proposals of one turn of the event loop share one sync to disk.
void Control::pump_soon() {
    if (std::exchange(pump_posted_, true))
        return;
    asio::post(io_, [this] {
        pump_posted_ = false;
        pump();
    });
}

void Control::pump() {
    const auto messages = replica_->pump();
    if (!messages) {
        // After a failed sync the process might acknowledge entries that never reached the disk.
        log(LogLevel::Error, "storage failed; the process stops",
            {{"failure", std::string(name_of(messages.error().kind))},
             {"detail", messages.error().detail}});
        std::_Exit(3);
    }
    send_raft(*messages);
    record_leadership_change();
    push_tables();
    push_orders();
}

void Control::send_raft(const std::vector<RaftEnvelope>& messages) {
    for (const RaftEnvelope& envelope : messages) {
        const auto peer = peers_.find(envelope.to);
        if (peer != peers_.end())
            peer->second->send(RaftPacket{config_.node, encode(envelope.message)});
    }
}

void Control::record_leadership_change() {
    const bool leads = replica_->raft().leads_with_commit();
    if (leads == was_leader_)
        return;
    was_leader_ = leads;
    unapplied_commands_ = 0;
    record({.kind = leads ? EventKind::LeaderElected : EventKind::LeaderLost,
            .host = config_.name,
            .detail = "term " + std::to_string(replica_->raft().term())});
    if (!leads)
        return;
    planner_.reset(now());
    in_force_.reset(now());
    for (const auto& [name, session] : entries_)
        in_force_.acknowledged(name, session.renew.lease);
}

std::map<std::string, PlacementSettings> Control::placement_by_site() const {
    const State& state = replica_->state();
    std::set<std::string> sites;
    for (const auto& [name, host] : state.hosts())
        sites.insert(host.spec.site);
    if (placement_cache_version_ == state.settings_version() &&
        placement_cache_sites_ == sites.size() && !placement_cache_.empty())
        return placement_cache_;
    placement_cache_.clear();
    for (const std::string& site : sites)
        placement_cache_[site] = placement_settings(SiteSettings(state.settings(), site));
    placement_cache_version_ = state.settings_version();
    placement_cache_sites_ = sites.size();
    return placement_cache_;
}

// A new plan waits until all commands of the last one are applied, so that no command is proposed
// twice.
void Control::plan() {
    if (unapplied_commands_ > 0)
        return;
    const auto commands = planner_.plan(replica_->state(), placement_by_site(), now());
    for (Event& event : planner_.take_events())
        record(std::move(event));
    unapplied_commands_ = commands.size();
    for (const Command& command : commands)
        replica_->propose(command, [this](const Expected<ApplyResult>&) {
            unapplied_commands_ -= unapplied_commands_ > 0 ? 1 : 0;
        });
    plan_retirements();
    if (!commands.empty())
        pump_soon();
}

void Control::plan_retirements() {
    for (const auto& [name, record] : replica_->state().entries()) {
        auto [session, added] = entries_.try_emplace(name);
        if (added)
            session->second.last_renewal = now();
        if (now() - session->second.last_renewal < RetireEntryAfter)
            continue;
        session->second.last_renewal = now();
        replica_->propose(RetireEntry{name, record.incarnation}, [](const auto&) {});
        pump_soon();
    }
}

void Control::expire_claims() {
    std::int64_t hours = 0;
    for (const std::string& path : replica_->state().settings().paths())
        hours = std::max(
            hours, SiteSettings(replica_->state().settings(), path).integer("once/window_hours"));
    if (hours == 0 || replica_->state().claims() == 0)
        return;
    replica_->propose(ExpireClaims{wall_millis() - hours * MillisPerHour}, [](const auto&) {});
    pump_soon();
}

void Control::propose(const Command& command, Replica::Answer answer) {
    replica_->propose(command, std::move(answer));
    pump_soon();
}

void Control::propose_voters(const Voters& voters, Replica::Answer answer) {
    replica_->propose_voters(voters, std::move(answer));
    pump_soon();
}

void Control::read(Replica::ReadAnswer answer) {
    replica_->read(std::move(answer));
    pump_soon();
}

void Control::when_in_force(Version version, std::function<void()> done) {
    std::set<std::string> registered;
    for (const auto& [name, record] : replica_->state().entries())
        registered.insert(name);
    if (in_force_.reached(version, registered, now())) {
        done();
        return;
    }
    constexpr Duration PollInterval = std::chrono::milliseconds(5);
    auto timer = std::make_shared<asio::steady_timer>(io_, PollInterval);
    timer->async_wait([this, timer, version, done = std::move(done)](asio::error_code error) {
        if (!error)
            when_in_force(version, done);
    });
}

void Control::on_applied(Index index, const Command& command, const ApplyResult& result) {
    if (!result.ok)
        return;
    if (const auto* c = std::get_if<ChangeSettings>(&command)) {
        in_force_.committed(index, now());
        record({.kind = EventKind::SettingsChanged,
                .detail = "version " + std::to_string(index) + " by " + c->author});
    } else if (std::holds_alternative<RetireEntry>(command)) {
        in_force_.committed(index, now());
        in_force_.retired(now());
    } else if (const auto* f = std::get_if<FormGroup>(&command)) {
        std::string members;
        for (const HostRef& member : f->members)
            members += (members.empty() ? "" : ",") + member.host;
        record({.kind = EventKind::GroupFormed,
                .group = index,
                .detail = f->model.model + " on " + members,
                .cause = f->reason});
    } else if (const auto* d = std::get_if<DissolveGroup>(&command)) {
        record({.kind = EventKind::GroupDissolved, .group = d->epoch, .cause = d->reason});
    } else if (const auto* r = std::get_if<DrainGroup>(&command)) {
        record({.kind = EventKind::GroupDraining, .group = r->epoch, .cause = r->reason});
    } else if (const auto* h = std::get_if<RegisterHost>(&command)) {
        record({.kind = EventKind::HostRegistered,
                .host = h->spec.name,
                .detail = "incarnation " + std::to_string(h->incarnation)});
    } else if (const auto* m = std::get_if<SetHostMode>(&command)) {
        record({.kind = EventKind::HostModeSet, .host = m->host, .cause = m->author});
    } else if (const auto* l = std::get_if<ReleaseHost>(&command)) {
        record({.kind = EventKind::HostReleased, .host = l->host, .group = l->epoch});
    }
}

// Sends changes at once to the entry hosts that asked this control host for them. Renewals only
// make up for lost messages.
void Control::push_tables() {
    const State& state = replica_->state();
    if (state.table_version() == sent_table_version_ &&
        state.lease_version() == sent_lease_version_)
        return;
    sent_table_version_ = state.table_version();
    sent_lease_version_ = state.lease_version();
    for (auto& [name, session] : entries_) {
        if (!session.link || !session.renew.want_delta)
            continue;
        LeaseRenewal known = session.renew;
        known.sequence = 0;
        session.link->send(make_lease_ack(known));
        session.renew.table = state.table_version();
        session.renew.lease = state.lease_version();
    }
}

void Control::push_orders() {
    if (!replica_->ready() || replica_->state().table_version() == ordered_table_version_)
        return;
    ordered_table_version_ = replica_->state().table_version();
    for (auto& [name, session] : agents_) {
        const auto host = replica_->state().hosts().find(name);
        if (host == replica_->state().hosts().end() || !session.link)
            continue;
        const AgentOrder order = order_for(host->second, session.status);
        const bool releases = order.fence > session.status.fence || session.status.held != NoEpoch;
        if (!order.has_assignment && (order.fence == NoEpoch || !releases))
            continue;
        // Sent once: the agent's next status shows whether the order arrived.
        session.status.held = order.has_assignment ? order.assignment.epoch : NoEpoch;
        session.status.fence = std::max(session.status.fence, order.fence);
        session.status.phase = order.has_assignment && order.assignment.draining
                                   ? AgentPhase::Draining
                                   : session.status.phase;
        session.link->send(order);
    }
}

void Control::on_message(const Link::Ptr& link, WireMessage&& message) {
    if (auto* packet = std::get_if<RaftPacket>(&message)) {
        const auto body = decode<RaftMessage>(packet->body);
        if (!body || link->peer().role != ProcessRole::Control)
            return;
        replica_->step(packet->from, *body, now());
        pump_soon();
    } else if (const auto* status = std::get_if<AgentStatus>(&message)) {
        on_agent_status(link, *status);
    } else if (const auto* renew = std::get_if<LeaseRenewal>(&message)) {
        on_renew(link, *renew);
    } else if (const auto* request = std::get_if<CommandRequest>(&message)) {
        on_command(link, *request);
    }
}

void Control::on_down(const Link::Ptr& link) {
    for (auto& [name, session] : agents_)
        if (session.link == link)
            session.link.reset();
    for (auto& [name, session] : entries_)
        if (session.link == link)
            session.link.reset();
}

void Control::on_agent_status(const Link::Ptr& link, const AgentStatus& status) {
    if (link->peer().role != ProcessRole::Agent || link->peer().name != status.host)
        return;
    if (!replica_->ready()) {
        link->send(NotLeaderReply{replica_->raft().leads() ? NoNode : replica_->raft().leader()});
        return;
    }
    AgentSession& session = agents_[status.host];
    const auto host = replica_->state().hosts().find(status.host);
    const bool known = host != replica_->state().hosts().end() &&
                       host->second.incarnation == status.incarnation &&
                       host->second.mode != HostMode::Forgotten &&
                       (status.spec.name.empty() || host->second.spec == status.spec);
    session.link = link;
    session.status = status;
    if (known) {
        planner_.observe(status, now());
        const AgentOrder order = order_for(host->second, status);
        link->send(order);
        session.status.held = order.has_assignment ? order.assignment.epoch : status.held;
        session.status.fence = std::max(status.fence, order.fence);
        return;
    }
    link->send(AgentOrder{replica_->raft().term(), false, false, {}, NoEpoch});
    if (status.spec.name.empty() || session.registering)
        return;
    session.registering = true;
    propose(RegisterHost{status.spec, status.incarnation},
            [this, name = status.host](const Expected<ApplyResult>&) {
                agents_[name].registering = false;
            });
}

// The order names the group that the agent should hold, but only where the agent's status differs.
AgentOrder Control::order_for(const Host& host, const AgentStatus& status) const {
    const State& state = replica_->state();
    AgentOrder order;
    order.term = replica_->raft().term();
    order.registered = true;
    const auto group = state.groups().find(host.bound);
    if (group == state.groups().end() || group->second.phase == GroupPhase::Releasing) {
        order.fence = std::max(host.bound, status.held);
        return order;
    }
    order.fence = 0;
    const bool draining = group->second.phase == GroupPhase::Draining;
    if (status.held == host.bound && draining == (status.phase == AgentPhase::Draining))
        return order;
    const SiteSettings settings(state.settings(), host.spec.site);
    order.has_assignment = true;
    order.assignment.epoch = host.bound;
    order.assignment.model = group->second.model;
    order.assignment.members = group->second.members;
    order.assignment.draining = draining;
    order.assignment.waits_to_open = group->second.waits_to_open;
    order.assignment.echo_timeout_ms =
        static_cast<std::uint32_t>(settings.integer("gate/echo_timeout_ms"));
    order.assignment.slots = static_cast<std::uint32_t>(settings.integer("routing/group_slots"));
    order.assignment.queue = static_cast<std::uint32_t>(settings.integer("routing/queue_length"));
    return order;
}

LeaseAck Control::make_lease_ack(const LeaseRenewal& renew) const {
    const State& state = replica_->state();
    LeaseAck lease_ack;
    lease_ack.node = config_.node;
    lease_ack.sequence = renew.sequence;
    lease_ack.logged = replica_->logged_lease_version();
    lease_ack.table = state.table_version();
    lease_ack.voters = replica_->raft().voters();
    lease_ack.voters_index = replica_->raft().voters_index();
    lease_ack.leader = replica_->raft().leader();
    const auto entry = state.entries().find(renew.entry);
    lease_ack.registered =
        entry != state.entries().end() && entry->second.incarnation == renew.incarnation;
    lease_ack.has_delta = renew.want_delta && (renew.table < state.table_version() ||
                                               renew.lease < state.lease_version());
    if (lease_ack.has_delta)
        lease_ack.delta = state.delta_since(renew.table, renew.lease);
    return lease_ack;
}

// Every control host acknowledges renewals, whether it leads or not: an entry host needs a
// majority, not a leader.
void Control::on_renew(const Link::Ptr& link, const LeaseRenewal& renew) {
    if (link->peer().role != ProcessRole::Entry || link->peer().name != renew.entry)
        return;
    EntrySession& session = entries_[renew.entry];
    session.link = link;
    session.renew = renew;
    session.last_renewal = now();
    in_force_.acknowledged(renew.entry, renew.lease);
    link->send(make_lease_ack(renew));
    if (renew.want_delta) {
        session.renew.table = std::max(renew.table, replica_->state().table_version());
        session.renew.lease = std::max(renew.lease, replica_->state().lease_version());
    }
}

// Entry hosts may only claim idempotency keys and register themselves. All other commands come from
// operators and the planner.
void Control::on_command(const Link::Ptr& link, const CommandRequest& request) {
    const auto command = decode<Command>(request.command);
    CommandReply reply;
    reply.id = request.id;
    const bool allowed = command && link->peer().role == ProcessRole::Entry &&
                         (std::holds_alternative<ClaimOnce>(*command) ||
                          std::holds_alternative<CloseClaim>(*command) ||
                          std::holds_alternative<DropClaim>(*command) ||
                          std::holds_alternative<RegisterEntry>(*command));
    if (!allowed) {
        reply.failure = FailureKind::Forbidden;
        link->send(reply);
        return;
    }
    propose(*command, [link, reply](const Expected<ApplyResult>& result) mutable {
        reply.ok = result && result->ok;
        if (!result) {
            reply.failure = result.error().kind;
            reply.detail = result.error().detail;
        } else {
            reply.failure = result->failure;
            reply.detail = result->detail;
            reply.version = result->version;
            reply.has_claim = result->claim.has_value();
            reply.claim = result->claim.value_or(ClaimRecord{});
        }
        link->send(reply);
    });
}

} // namespace liftweir
