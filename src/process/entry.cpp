// Run by liftweir-entry: lease renewals, commands to the control hosts, and the shutdown.

#include "process/entry.h"

#include "connection/codec.h"
#include "process/logging.h"
#include "process/metrics.h"
#include "process/observe.h"
#include "process/timeline.h"

#include <algorithm>
#include <random>

namespace liftweir {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(25);
// Three renewals fit into one lease, so that one lost answer does not end it.
constexpr Duration RenewalInterval = std::chrono::milliseconds(320);
constexpr Duration ResendInterval = std::chrono::milliseconds(300);
// A command without a reply is sent again for this long. After that, the retirement of this entry
// host or the window of the claims decides the outcome.
constexpr Duration ResendLimit = std::chrono::minutes(10);
// Within this time the load balancer reads "not ready" and sends no more requests.
constexpr Duration ReadinessGrace = std::chrono::seconds(2);
constexpr Duration DrainDeadline = std::chrono::seconds(120);

Voters voters_of(const ProcessConfig& config) {
    Voters voters;
    for (const auto& [node, address] : config.control)
        voters.insert(node);
    return voters;
}

} // namespace

Entry::Entry(asio::io_context& io, const ProcessConfig& config)
    : io_(io),
      shared_(config),
      builder_(config.site),
      lease_(voters_of(config), shared_.identity.incarnation),
      ticker_(io, TickInterval, [this] { tick(); }) {
    Timeline::instance().name(config.name, shared_.identity.incarnation);
    shared_.submit = [this](Command command, EntryShared::CommandAnswer answer) {
        asio::post(io_, [this, command = std::move(command), answer = std::move(answer)] {
            submit(command, answer);
        });
    };
}

Entry::~Entry() {
    for (const auto& shard : shards_)
        shard->stop();
    for (std::thread& thread : threads_)
        thread.join();
}

void Entry::start() {
    const ProcessConfig& config = shared_.config;
    for (const auto& [node, address] : config.control) {
        auto dialer = std::make_unique<Dialer>(io_, address, shared_.identity, shared_.keys);
        dialer->start([this](const Link::Ptr&) { renew_due_ = {}; },
                      [this](const Link::Ptr&, WireMessage&& message) {
                          if (const auto* lease_ack = std::get_if<LeaseAck>(&message))
                              on_lease_ack(*lease_ack);
                          else if (const auto* reply = std::get_if<CommandReply>(&message))
                              on_reply(*reply);
                      },
                      [](const Link::Ptr&) {});
        control_.emplace(node, std::move(dialer));
    }
    const auto ready = [this] { return !shared_.leaving && shared_.lease_holds(BootClock::now()); };
    metrics_ = serve_http(
        io_, config.metrics, HttpServerLimits{.body_bytes = 4096, .connections = 64},
        [this, ready](const std::shared_ptr<HttpExchange>& exchange) {
            if (!serve_observability(*exchange, shared_.keys, ready))
                respond_json(*exchange, 404,
                             error_body({FailureKind::NotFound, "no such page"}, Outcome::NotRun));
        });
    Metrics::instance().gauge("liftweir_in_flight",
                              [this] { return static_cast<double>(shared_.calls.load()); });
    Metrics::instance().gauge("liftweir_retry_budget", [this] { return shared_.retries.left(); });
    std::random_device device;
    for (std::uint32_t i = 0; i < config.threads; ++i)
        shards_.push_back(std::make_unique<Shard>(shared_, device()));
    for (const auto& shard : shards_)
        threads_.emplace_back([&shard] { shard->run(); });
    record({.kind = EventKind::ProcessStarted, .host = config.name, .detail = "entry"});
    ticker_.start();
}

void Entry::tick() {
    const Time now = BootClock::now();
    if (now >= renew_due_)
        renew(now);
    resend_pending(now);
    record_lease_change(now);
    maybe_stop(now);
}

Dialer* Entry::preferred_control() {
    const auto leader = control_.find(leader_);
    if (leader != control_.end() && leader->second->up())
        return leader->second.get();
    for (const auto& [node, dialer] : control_)
        if (dialer->up())
            return dialer.get();
    return nullptr;
}

// The renewal goes to all control hosts, but only one of them is asked for changes, so that each
// change is sent once.
void Entry::renew(Time now) {
    renew_due_ = now + RenewalInterval;
    const Dialer* source = preferred_control();
    for (const auto& [node, dialer] : control_) {
        if (!dialer->up())
            continue;
        LeaseRenewal renew;
        renew.entry = shared_.config.name;
        renew.incarnation = shared_.identity.incarnation;
        renew.sequence = lease_.renewal_sent(node, now);
        renew.table = builder_.version();
        renew.lease = builder_.lease_version();
        renew.want_delta = dialer.get() == source;
        dialer->send(renew);
    }
}

void Entry::on_lease_ack(const LeaseAck& lease_ack) {
    if (lease_ack.leader != NoNode)
        leader_ = lease_ack.leader;
    if (lease_ack.has_delta && builder_.apply(lease_ack.delta))
        publish();
    lease_.on_lease_ack(lease_ack, builder_.lease_version(), BootClock::now());
    // The lease is extended only after the tables that it covers are published.
    shared_.lease_until.store(lease_.valid_until().time_since_epoch().count(),
                              std::memory_order_release);
    record_lease_change(BootClock::now());
    if (lease_.behind())
        renew_due_ = std::min(renew_due_, BootClock::now() + RenewalInterval / 8);
    if (!lease_ack.registered && !std::exchange(registering_, true)) {
        const ProcessConfig& config = shared_.config;
        submit(
            RegisterEntry{{config.name, shared_.identity.incarnation, config.metrics, config.site}},
            [this](const CommandReply&) {
                registering_ = false;
                renew_due_ = {};
            });
    }
}

void Entry::publish() {
    const auto table = builder_.build();
    shared_.table.store(table, std::memory_order_release);
    set_log_level(table->log_level);
    for (const auto& shard : shards_)
        shard->table_changed();
    // Renew at once: a change is in force when every entry host has acknowledged it.
    renew_due_ = {};
}

void Entry::record_lease_change(Time now) {
    const bool holds = shared_.lease_holds(now);
    if (holds == had_lease_)
        return;
    had_lease_ = holds;
    record({.kind = holds ? EventKind::LeaseRegained : EventKind::LeaseLost,
            .host = shared_.config.name,
            .detail = "version " + std::to_string(builder_.lease_version())});
}

// ---- commands

void Entry::submit(Command command, EntryShared::CommandAnswer answer) {
    const Time now = BootClock::now();
    const std::uint64_t id = next_id_++;
    PendingCommand& pending = pending_[id];
    pending = {std::move(command), std::move(answer), now, {}};
    send_pending(id, pending);
}

void Entry::send_pending(std::uint64_t id, PendingCommand& pending) {
    pending.sent = BootClock::now();
    if (Dialer* dialer = preferred_control())
        dialer->send(CommandRequest{id, encode(pending.command)});
}

// Every command of an entry host is idempotent, so it can be sent again.
void Entry::resend_pending(Time now) {
    for (auto it = pending_.begin(); it != pending_.end();) {
        PendingCommand& pending = it->second;
        if (now - pending.first_sent > ResendLimit) {
            it = pending_.erase(it);
            continue;
        }
        if (now - pending.sent > ResendInterval)
            send_pending(it->first, pending);
        ++it;
    }
}

void Entry::on_reply(const CommandReply& reply) {
    const auto found = pending_.find(reply.id);
    if (found == pending_.end())
        return;
    const bool no_leader = !reply.ok && (reply.failure == FailureKind::NotLeader ||
                                         reply.failure == FailureKind::NoQuorum);
    // The command stays pending; the timer of the call that waits for it limits the wait.
    if (no_leader) {
        leader_ = static_cast<NodeId>(std::atoi(reply.detail.c_str()));
        return;
    }
    const PendingCommand pending = std::move(found->second);
    pending_.erase(found);
    if (pending.answer)
        pending.answer(reply);
}

// ---- leaving

void Entry::leave() {
    if (shared_.leaving.load()) {
        record({.kind = EventKind::ProcessStopped,
                .host = shared_.config.name,
                .detail = std::to_string(shared_.calls.load()) + " in flight were aborted",
                .cause = "second signal"});
        io_.stop();
        return;
    }
    // Only the readiness probe fails at first: new requests are served until the load balancer has
    // stopped sending them.
    leaving_since_ = BootClock::now();
    record({.kind = EventKind::ProcessDraining, .host = shared_.config.name});
    shared_.leaving.store(true);
}

void Entry::maybe_stop(Time now) {
    if (leaving_since_ == Time{})
        return;
    if (now - leaving_since_ > ReadinessGrace && std::exchange(accepting_, false)) {
        shared_.draining.store(true);
        for (const auto& shard : shards_)
            shard->drain();
    }
    const bool late = now - leaving_since_ > DrainDeadline;
    const bool busy = std::any_of(shards_.begin(), shards_.end(),
                                  [](const auto& shard) { return shard->busy(); });
    const bool idle = !accepting_ && !busy && shared_.calls.load() == 0 && pending_.empty() &&
                      now - leaving_since_ > ReadinessGrace + ReadinessGrace / 4;
    if (!idle && !late)
        return;
    record({.kind = EventKind::ProcessStopped,
            .host = shared_.config.name,
            .detail = late ? std::to_string(shared_.calls.load()) + " in flight were aborted"
                           : "drained"});
    io_.stop();
}

} // namespace liftweir
