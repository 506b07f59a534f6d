// Run by liftweir-site-control: links to control hosts and entry hosts, rounds of the planners, and
// their orders to endpoints.

#include "connection/codec.h"
#include "process/coordinator.h"
#include "process/logging.h"
#include "process/metrics.h"
#include "process/node.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace liftweir {

namespace {

constexpr Duration PlanInterval = std::chrono::milliseconds(150);
// Registry digests are sent to an entry host at most this often. One that lacks the document renews
// its lease more often than that.
constexpr Duration DigestInterval = std::chrono::milliseconds(800);

// A model's work is logged when it changes by this part. Changes of less work than a hundredth of a
// group's are noise.
constexpr double LoggedChange = 0.25;
constexpr double MinLoggedWork = 0.04;

std::string two_decimals(double value) {
    char text[32];
    (void)std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

} // namespace

// ---- links

// Encodes the message once for all links.
void Coordinator::send_to_entries(const WireMessage& message) {
    const EncodedMessage encoded(message);
    for (auto& [name, session] : entries_)
        if (session.link)
            session.link->send(encoded);
}

void Coordinator::send_to_peers(const WireMessage& message) {
    const EncodedMessage encoded(message);
    for (auto& [address, peer] : peers_)
        peer.dialer->send(encoded);
}

// Raft messages get a connection of their own. Behind copies of the registry in the same queue,
// heartbeats and votes would arrive later than an election timeout.
void Coordinator::connect_to(const std::string& address) {
    if (peers_.contains(address))
        return;
    Peer& peer = peers_[address];
    peer.dialer = std::make_unique<Dialer>(io_, address, identity_, keys_);
    peer.dialer->start([this, &peer](const Link::Ptr&) { send_hello(peer); },
                       [this, &peer](const Link::Ptr& link, WireMessage&& m) {
                           on_peer_message(*peer.dialer, link, std::move(m));
                       },
                       [](const Link::Ptr&) {});
    peer.raft = std::make_unique<Dialer>(io_, address, identity_, keys_);
    peer.raft->start([](const Link::Ptr&) {},
                     [this, &peer](const Link::Ptr& link, WireMessage&& m) {
                         on_peer_message(*peer.raft, link, std::move(m));
                     },
                     [](const Link::Ptr&) {});
}

void Coordinator::on_peer_message(Dialer& dialer, const Link::Ptr& link, WireMessage&& message) {
    const auto* probe = std::get_if<LinkProbe>(&message);
    if (probe != nullptr && probe->reply)
        dialer.answered();
    else
        on_message(link, std::move(message));
}

// A link may stay open and carry nothing, while something on the way still acknowledges its bytes.
// Each of the two hosts sends on the link that it opened and hears the other one on the other link,
// so only a reply over the same link shows that it works.
void Coordinator::probe_links(Time now) {
    const EncodedMessage probe(LinkProbe{});
    for (auto& [address, peer] : peers_)
        for (Dialer* dialer : {peer.dialer.get(), peer.raft.get()}) {
            dialer->close_if_unresponsive(now);
            if (peer.answers_probes && dialer->send(probe))
                dialer->expect_reply(now);
        }
}

void Coordinator::add_control_host(NodeId node) {
    if (node == NoNode || same_host(node, node_))
        return;
    nodes_.insert(node);
    connect_to(address_of(node, config_.link_port));
}

std::vector<NodeId> Coordinator::known_nodes() const {
    std::vector<NodeId> nodes;
    if (node_ != NoNode)
        nodes.push_back(node_);
    for (const auto& [address, peer] : peers_)
        if (peer.node != NoNode)
            nodes.push_back(peer.node);
    return nodes;
}

void Coordinator::send_hello(Peer& peer) {
    if (node_ == NoNode)
        return;
    PeerHello hello{node_, known_nodes(), registry_.digest(), registry_complete(BootClock::now())};
    hello.records_leaves = true;
    hello.answers_probes = true;
    peer.dialer->send(hello);
}

void Coordinator::send_hellos() {
    for (auto& [address, peer] : peers_)
        send_hello(peer);
}

// A host has one data directory at a time, so the node number in its latest message replaces
// earlier ones.
void Coordinator::on_hello(const PeerHello& hello) {
    if (same_host(hello.node, node_))
        return;
    std::erase_if(nodes_,
                  [&](NodeId node) { return node != hello.node && same_host(node, hello.node); });
    add_control_host(hello.node);
    Peer& peer = peers_[address_of(hello.node, config_.link_port)];
    if (peer.node != hello.node)
        log(LogLevel::Info, "control host known", {{"node", text_of(hello.node)}});
    peer.node = hello.node;
    peer.records_leaves = hello.records_leaves;
    peer.answers_probes = hello.answers_probes;
    peer_has_registry_ = peer_has_registry_ || hello.registry_complete;
    peer.dialer->retry_now();
    peer.raft->retry_now();
    for (const NodeId node : hello.nodes) {
        const bool host_known =
            std::any_of(nodes_.begin(), nodes_.end(), [&](NodeId n) { return same_host(n, node); });
        if (!host_known)
            add_control_host(node);
    }
    if (hello.registry != registry_.digest() && !peer.dialer->backed_up())
        peer.dialer->send(RegistryDigests{registry_.range_digests(), false});
}

void Coordinator::on_message(const Link::Ptr& link, WireMessage&& message) {
    const LongestStep::Scope step(steps_, MessageNames[message.index()]);
    const Time now = BootClock::now();
    if (const auto* packet = std::get_if<RaftPacket>(&message)) {
        on_raft(link, *packet, now);
    } else if (std::holds_alternative<LinkProbe>(message)) {
        link->send(LinkProbe{true});
    } else if (const auto* hello = std::get_if<PeerHello>(&message)) {
        on_hello(*hello);
    } else if (const auto* renew = std::get_if<LeaseRenewal>(&message)) {
        on_renew(link, *renew);
    } else if (const auto* changes = std::get_if<EndpointChanges>(&message)) {
        on_changes(*changes, now);
    } else if (const auto* alive = std::get_if<EndpointsAlive>(&message)) {
        on_alive(*alive, now);
    } else if (const auto* suspected = std::get_if<GroupSuspected>(&message)) {
        on_suspected(*suspected, now);
    } else if (const auto* aborted = std::get_if<RequestsAborted>(&message)) {
        on_aborted(link, *aborted, now);
    } else if (const auto* suspicions = std::get_if<SuspectRequests>(&message)) {
        on_suspects(link, *suspicions, now);
    } else if (const auto* leaving = std::get_if<EndpointsLeaving>(&message)) {
        on_leaving(link, *leaving, now);
    } else if (const auto* leaves = std::get_if<LeavesToRecord>(&message)) {
        on_leaves_to_record(link, *leaves, now);
    } else if (const auto* recorded = std::get_if<LeavesRecorded>(&message)) {
        on_leaves_recorded(*recorded);
    } else if (const auto* limit_reports = std::get_if<LimitReports>(&message)) {
        on_limit_reports(link, *limit_reports, now);
    } else if (const auto* shares = std::get_if<GroupLoadReports>(&message)) {
        on_load_reports(*shares, now);
    } else if (const auto* demand = std::get_if<DemandReports>(&message)) {
        if (link->peer().role == ProcessRole::Entry)
            demand_.store(demand->entry, demand->lines, now);
    } else if (const auto* digests = std::get_if<RegistryDigests>(&message)) {
        on_digests(link, *digests, now);
    } else if (const auto* wanted = std::get_if<RangesRequested>(&message)) {
        send_ranges(link, *wanted, now);
    }
}

void Coordinator::on_raft(const Link::Ptr& link, const RaftPacket& packet, Time now) {
    const auto body = decode<RaftMessage>(packet.body);
    if (!body || link->peer().role != ProcessRole::Control || packet.to != node_ || !replica_)
        return;
    replica_->step(packet.from, *body, now);
    pump_soon();
}

void Coordinator::on_suspected(const GroupSuspected& suspected, Time now) {
    groups_.suspect(suspected.epoch, std::chrono::milliseconds(suspected.silent_ms), now);
    plan_soon();
}

void Coordinator::on_down(const Link::Ptr& link) {
    for (auto& [name, session] : entries_)
        if (session.link == link)
            session.link.reset();
}

LeaseAck Coordinator::make_lease_ack(std::uint64_t sequence) const {
    LeaseAck lease_ack;
    lease_ack.node = node_;
    lease_ack.sequence = sequence;
    lease_ack.registered = true;
    lease_ack.nodes = known_nodes();
    if (replica_) {
        lease_ack.logged = replica_->logged_lease_version();
        lease_ack.table = replica_->state().document().index;
        lease_ack.zones = replica_->state().zones_out_of_use();
        lease_ack.voters = replica_->raft().voters();
        lease_ack.voters_index = replica_->raft().voters_index();
        lease_ack.leader = replica_->raft().leader();
    }
    lease_ack.entries = entry_totals_.entries;
    lease_ack.in_flight_total = entry_totals_.in_flight;
    return lease_ack;
}

// Leaves out what the entry host knows: with a thousand entry hosts, the lists of hosts would be
// most of what a control host sends.
LeaseAck Coordinator::answer_to(const LeaseRenewal& renew) const {
    LeaseAck lease_ack = make_lease_ack(renew.sequence);
    if (renew.voters_index != 0 && renew.voters_index >= lease_ack.voters_index)
        lease_ack.voters.clear();
    if (renew.nodes != 0 && renew.nodes == digest_of(lease_ack.nodes))
        lease_ack.nodes.clear();
    return lease_ack;
}

RetryShare Coordinator::grant_retry_share(const LeaseRenewal& renew, Time now) {
    if (!leads() || !replica_->raft().quorum_is_recent(now))
        return {};
    return retry_shares_.renew({renew.entry, renew.incarnation, renew.retry_share, renew.calls},
                               now);
}

// Runs once a second rather than for each renewal, which would make the renewals of N entry hosts
// cost N^2 steps.
void Coordinator::count_entries(Time now) {
    entry_totals_ = {};
    for (const auto& [name, session] : entries_) {
        if (now - session.seen > EntrySessionTimeout)
            continue;
        ++entry_totals_.entries;
        entry_totals_.in_flight += session.renew.in_flight;
    }
}

void Coordinator::on_renew(const Link::Ptr& link, const LeaseRenewal& renew) {
    if (link->peer().role != ProcessRole::Entry)
        return;
    EntrySession& session = entries_[renew.entry];
    const bool new_link = session.link != link;
    if (new_link) {
        session.pushed = 0;
        session.restored = false;
    }
    session.link = link;
    session.renew = renew;
    session.seen = BootClock::now();
    if (renew.calls > 0)
        groups_.traffic_began();
    if (new_link)
        send_endpoint_signals(link, session.seen);
    grant_limit_shares(link, renew, session.seen);
    // Without an open log this host can not acknowledge a renewal.
    if (replica_) {
        LeaseAck lease_ack = answer_to(renew);
        lease_ack.retry_share = grant_retry_share(renew, session.seen);
        link->send(lease_ack);
    }
    send_restored(session, new_link);
    if (new_link && leads())
        send_dissolved(link);
    if (const auto known = quarantine_.suspects_to_send(session.seen); new_link && !known.empty())
        link->send(SuspectRequests{known, {}, {}});
    if (replica_)
        push_document_to(session);
    send_digests_if_different(session, new_link, BootClock::now());
}

void Coordinator::send_digests_if_different(EntrySession& session, bool new_link, Time now) {
    const LeaseRenewal& renew = session.renew;
    const bool equal = renew.routable_only ? renew.routable == registry_.routable_digest()
                                           : renew.registry == registry_.digest();
    if (equal || session.link->backed_up() || (!new_link && now < session.digests_due))
        return;
    session.digests_due = now + DigestInterval;
    const RangeDigests& ranges =
        renew.routable_only ? registry_.routable_range_digests() : registry_.range_digests();
    session.link->send(RegistryDigests{ranges, renew.routable_only});
}

// An entry host that has just started asks one control host after the other for the endpoints that
// were known before. Entry hosts of earlier releases do not ask, and get them from all. This host
// must know first which of them have left since.
void Coordinator::send_restored(EntrySession& session, bool new_link) {
    const LeaseRenewal& renew = session.renew;
    const bool wanted = renew.routable_only ? renew.wants_restored : new_link;
    if (!wanted || session.restored || !caught_up_ || cached_.reports.empty())
        return;
    session.restored = true;
    EndpointsRestored restored;
    for (const EndpointReport& report : cached_.reports) {
        const Registry::Item* known = registry_.find(report.id);
        const bool left = known != nullptr && known->report.phase != EndpointPhase::Serving;
        if (!left && (!renew.routable_only || report.routable()))
            restored.reports.push_back(report);
    }
    log(LogLevel::Info, "cached endpoints sent",
        {{"entry", renew.entry}, {"count", std::to_string(restored.reports.size())}});
    session.link->send(restored);
}

// Called once the log is known up to the last leader's last entry. Where it has forgotten leaves
// since the cache was written, the cache may name endpoints that left. An entry host waits this
// long for one control host before it asks the next.
void Coordinator::log_caught_up() {
    constexpr Duration AskedLately = std::chrono::milliseconds(150);
    caught_up_ = true;
    if (replica_->state().departures().forgotten > cached_.leaves_forgotten) {
        log(LogLevel::Info, "cached endpoints are outdated",
            {{"count", std::to_string(cached_.reports.size())}});
        cached_ = {};
    }
    const Time now = BootClock::now();
    for (auto& [name, session] : entries_)
        if (session.link && now - session.seen <= AskedLately)
            send_restored(session, false);
}

// ---- load reports of the entry hosts

void Coordinator::on_load_reports(const GroupLoadReports& shares, Time now) {
    loads_.store(shares.entry, shares.reports, now);
}

// Entry hosts without requests in flight get the load of the others too, since their next request
// needs it.
void Coordinator::send_load(Time now) {
    loads_.expire(now);
    load_due_ = now + loads_.report_interval();
    if (loads_.empty() || !leads())
        return;
    const auto interval_ms = static_cast<std::uint32_t>(to_millis(loads_.report_interval()));
    for (auto& [name, session] : entries_)
        if (session.link && !session.link->backed_up())
            session.link->send(GroupLoadReports{"", interval_ms, loads_.load_of_others(name)});
}

// ---- demand

// Set on hosts that do not lead as well: they get no reports, so what they know expires.
void Coordinator::update_demand(Time now) {
    demand_.expire(now);
    groups_.set_demand(demand_.totals(now));
}

// Adding a gauge again replaces it. Models that a later document lacks read as zero.
void Coordinator::add_demand_gauges(const EngineCost& engine) {
    for (const ModelShape& model : engine.models)
        gauges_.add(
            "liftweir_demand_work",
            [this, name = model.name] {
                const std::map<std::string, double> work = groups_.demand_work();
                const auto found = work.find(name);
                return found == work.end() ? 0 : found->second;
            },
            "model=\"" + model.name + "\"");
}

// Logs the models whose work has changed by a quarter since their last line. Runs once a second.
void Coordinator::log_demand() {
    for (const auto& [model, work] : groups_.demand_work()) {
        double& logged = logged_demand_[model];
        const double change = std::abs(work - logged);
        if (change < LoggedChange * std::max(logged, MinLoggedWork))
            continue;
        log(LogLevel::Info, "demand",
            {{"model", model},
             {"work_groups", two_decimals(work)},
             {"before", two_decimals(logged)}});
        logged = work;
    }
}

// ---- groups

// Each change requests a planning round. Where thousands of endpoints report changes, the rounds
// are paced so that most of the process's time is left for its other work.
void Coordinator::plan_soon() {
    if (leads())
        planning_.schedule();
}

void Coordinator::plan() {
    const LongestStep::Scope step(steps_, "plan");
    const Time now = BootClock::now();
    plan_due_ = planning_.due(now + PlanInterval);
    update_demand(now);
    if (!replica_ || !replica_->ready())
        return;
    if (groups_.plan(*replica_, registry_, now))
        pump_soon();
    for (GroupController::Probe& asked : groups_.take_probes())
        probes_.add(std::move(asked));
    send_probes();
    for (const PlanEvent& event : groups_.take_events())
        log(LogLevel::Info, "group " + event.what,
            {{"group", event.group},
             {"endpoint", text_of(event.endpoint)},
             {"why", event.why},
             {"term", std::to_string(replica_->raft().term())}});
    send_orders();
    send_dissolved(nullptr);
    send_admission_if_supply_changed(now);
}

void Coordinator::send_probes() {
    while (const auto asked = probes_.next())
        probe(*asked, BootClock::now());
}

void Coordinator::probe(const ProbeQueue::Probe& asked, Time now) {
    const Registry::Item* item = registry_.find(asked.endpoint);
    if (item == nullptr) {
        probes_.ended();
        groups_.probed(asked, knows_all_endpoints(now) ? ProbeResult::Silent : ProbeResult::Unknown,
                       now);
        return;
    }
    orders_.probe(item->report, [this, asked](bool alive) {
        probes_.ended();
        groups_.probed(asked, alive ? ProbeResult::Alive : ProbeResult::Silent, BootClock::now());
        send_probes();
        plan_soon();
    });
}

// Notifies entry hosts of dissolved groups. They go by the report of a group's lead, and a lead
// that was lost can not withdraw its last report.
void Coordinator::send_dissolved(const Link::Ptr& only) {
    const std::set<Epoch> all = groups_.dissolved(registry_);
    const bool any_new =
        !std::includes(dissolved_.begin(), dissolved_.end(), all.begin(), all.end());
    dissolved_ = all;
    if (all.empty())
        return;
    const GroupsDissolved message{{all.begin(), all.end()}};
    if (only)
        only->send(message);
    else if (any_new)
        send_to_entries(message);
}

void Coordinator::send_orders() {
    while (const auto item = groups_.next_order())
        send_order(*item);
}

void Coordinator::send_order(const OrderQueue::Item& item) {
    Metrics::instance()
        .counter("liftweir_orders", "kind=\"" + std::string(name_of(item.order.kind)) + "\"")
        .add();
    const Time sent = BootClock::now();
    orders_.send(item.order, [this, item, sent](OrderAnswer answer) {
        const Time now = BootClock::now();
        Metrics::instance().histogram("liftweir_order_seconds").add(to_seconds(now - sent));
        log(LogLevel::Info, "order",
            {{"kind", std::string(name_of(item.order.kind))},
             {"endpoint", text_of(item.order.endpoint)},
             {"group", item.order.group},
             {"answer", std::string(name_of(answer))},
             {"took_ms", std::to_string(to_millis(now - sent))}});
        groups_.answered(item, answer, now);
        send_orders();
        plan_soon();
    });
}

} // namespace liftweir
