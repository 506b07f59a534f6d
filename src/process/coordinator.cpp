#include "process/coordinator.h"

#include "connection/codec.h"
#include "process/logging.h"
#include "process/metrics.h"
#include "process/node.h"

#include <algorithm>
#include <random>

namespace liftweir {

namespace {

// Half of the raft heartbeat: finer ticks only cost wake-ups on hosts that share a core.
constexpr Duration TickEvery = std::chrono::milliseconds(50);
constexpr Duration PlanEvery = std::chrono::milliseconds(150);
constexpr Duration AliveEvery = std::chrono::milliseconds(500);
constexpr Duration SecondlyEvery = std::chrono::milliseconds(1000);
// A full or failing disk is tried again; the log is read anew from it, as after a restart.
constexpr Duration ReopenEvery = std::chrono::milliseconds(700);
// The system may have fewer control hosts than the tolerance asks for. After this long a leader
// acknowledges on the disks that there are.
constexpr Duration FewVotersPatience = std::chrono::seconds(3);
// An entry host that has not renewed for so long is out of touch and not counted.
constexpr Duration EntryKept = std::chrono::seconds(4);
// Changes may be under way: only a difference seen twice in a row is mended by a full copy.
constexpr int DigestMissesAllowed = 1;

std::string text_of(NodeId node) {
    return std::to_string(node >> 32) + "@" + ip_of(node);
}

} // namespace

Coordinator::Coordinator(asio::io_context& io, FleetConfig config, EndpointOrders& orders,
                         DocumentDecoder decode)
    : io_(io),
      config_(std::move(config)),
      orders_(orders),
      decode_(std::move(decode)),
      identity_{ProcessRole::Control, config_.name, new_incarnation()},
      keeper_(2 * config_.tolerated_hosts + 1),
      ticker_(io, TickEvery, [this] { tick(); }) {}

Coordinator::~Coordinator() = default;

Expected<std::unique_ptr<Coordinator>> Coordinator::open(asio::io_context& io,
                                                         const FleetConfig& config,
                                                         EndpointOrders& orders,
                                                         DocumentDecoder decode) {
    auto storage = open_folder(config.data);
    if (!storage)
        return tl::make_unexpected(storage.error());
    std::unique_ptr<Coordinator> coordinator(
        new Coordinator(io, config, orders, std::move(decode)));
    coordinator->storage_ = std::move(*storage);
    if (auto opened = coordinator->open_replica(); !opened)
        coordinator->storage_failed(opened.error());
    return coordinator;
}

// ---- storage and log

// A data folder that fails its checks is worth no more than a lost disk, and is treated like one:
// it is emptied, and the host comes back as another node.
Expected<void> Coordinator::open_replica() {
    const std::vector<std::string> seeds = config_.seed_ips();
    const bool founder =
        config_.first_start && std::find(seeds.begin(), seeds.end(), config_.ip) != seeds.end();
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto node = node_of_folder(*storage_, config_.ip, founder && attempt == 0);
        Voters bootstrap;
        if (node && *node == founder_node(config_.ip))
            for (const std::string& ip : seeds)
                bootstrap.insert(founder_node(ip));
        std::random_device device;
        Expected<std::unique_ptr<Replica>> replica =
            node ? Replica::open(*storage_, *node, bootstrap, RaftTuning{}, device(),
                                 BootClock::now())
                 : tl::make_unexpected(node.error());
        if (replica) {
            node_ = *node;
            replica_ = std::move(*replica);
            applied_document_ = 0;
            log(LogLevel::Info, "log opened",
                {{"node", text_of(node_)},
                 {"last_index", std::to_string(replica_->raft().last_index())},
                 {"voters", std::to_string(replica_->raft().voters().size())}});
            return {};
        }
        if (replica.error().kind != FailureKind::Damaged)
            return tl::make_unexpected(replica.error());
        log(LogLevel::Error, "data folder is damaged; starting as a new node",
            {{"detail", replica.error().detail}});
        const auto names = storage_->list();
        if (!names)
            return tl::make_unexpected(names.error());
        for (const std::string& name : *names)
            if (auto removed = storage_->remove(name); !removed)
                return removed;
    }
    return fail(FailureKind::Damaged, "an emptied data folder is damaged again");
}

// Nothing was promised on the strength of what could not be written: raft's state after a failed
// write is thrown away, and read back from the disk once it works again.
void Coordinator::storage_failed(const Failure& failure) {
    log(LogLevel::Error, "storage failed; the log is closed until it can be read again",
        {{"failure", std::string(name_of(failure.kind))}, {"detail", failure.detail}});
    Metrics::instance().counter("liftweir_storage_failures").add();
    reopen_due_ = BootClock::now() + ReopenEvery;
    if (!replica_)
        return;
    // From the loop: this may run within one of the replica's own calls.
    asio::post(io_, [this, old = std::shared_ptr<Replica>(std::move(replica_))] {
        settle_waiting();
    });
    led_ = false;
}

void Coordinator::start() {
    listener_ =
        std::make_unique<LinkListener>(io_, config_.link_address(), identity_, keys_);
    listener_->start([](const Link::Ptr&) {},
                     [this](const Link::Ptr& link, Wire&& m) { on_message(link, std::move(m)); },
                     [this](const Link::Ptr& link) { on_down(link); });
    reconfigure(config_);
    Metrics::instance().gauge("liftweir_endpoints", [this] {
        return static_cast<double>(registry_.items().size());
    });
    Metrics::instance().gauge("liftweir_leads", [this] { return leads() ? 1.0 : 0.0; });
    Metrics::instance().gauge("liftweir_voters", [this] {
        return replica_ ? static_cast<double>(replica_->raft().voters().size()) : 0.0;
    });
    ticker_.start();
}

// Only the seeds may change while a process runs.
void Coordinator::reconfigure(const FleetConfig& config) {
    config_.seeds = config.seeds;
    for (const std::string& ip : config_.seed_ips())
        if (ip != config_.ip)
            connect_to(ip + ":" + std::to_string(config_.link_port));
}

void Coordinator::tick() {
    const Time now = BootClock::now();
    if (!replica_ && now >= reopen_due_) {
        if (auto opened = open_replica(); !opened)
            storage_failed(opened.error());
    }
    if (replica_)
        replica_->tick(now);
    pump();
    if (now >= alive_due_) {
        alive_due_ = now + AliveEvery;
        if (!alive_.empty()) {
            const EndpointsAlive message{{alive_.begin(), alive_.end()}};
            alive_.clear();
            for (auto& [address, peer] : peers_)
                peer.dialer->send(message);
        }
    }
    if (now >= second_due_) {
        second_due_ = now + SecondlyEvery;
        every_second();
    }
    if (now >= plan_due_)
        plan();
}

void Coordinator::every_second() {
    const Time now = BootClock::now();
    registry_.expire(now);
    if (replica_)
        for (const NodeId voter : replica_->raft().voters())
            if (voter != node_)
                learn(voter);
    for (auto& [address, peer] : peers_)
        greet(peer);
    if (leads())
        for (auto& [service, planner] : planners_)
            log(LogLevel::Info, "layout",
                {{"service", service}, {"groups", planner.layout(registry_, now)}});
    std::erase_if(entries_, [&](const auto& item) {
        return now - item.second.heard > EntryKept && !item.second.link;
    });
}

// Work of one turn of the loop shares one sync: this is the group commit.
void Coordinator::pump_soon() {
    if (std::exchange(pump_posted_, true))
        return;
    asio::post(io_, [this] {
        pump_posted_ = false;
        pump();
    });
}

void Coordinator::pump() {
    if (!replica_)
        return;
    const auto messages = replica_->pump();
    if (!messages) {
        storage_failed(messages.error());
        return;
    }
    send_raft(*messages);
    note_leadership();
    document_applied();
    keep_voters();
    settle_waiting();
}

void Coordinator::send_raft(const std::vector<RaftEnvelope>& messages) {
    for (const RaftEnvelope& envelope : messages) {
        const auto peer = peers_.find(address_of(envelope.to, config_.link_port));
        if (peer != peers_.end())
            peer->second.dialer->send(RaftPacket{node_, encode(envelope.message), envelope.to});
    }
}

void Coordinator::note_leadership() {
    const bool leads = replica_->raft().leads_with_commit();
    if (leads == led_)
        return;
    led_ = leads;
    const Time now = BootClock::now();
    leads_since_ = now;
    proposed_document_ = 0;
    log(LogLevel::Info, leads ? "leads" : "leads no more",
        {{"term", std::to_string(replica_->raft().term())}, {"node", text_of(node_)}});
    if (!leads)
        return;
    for (auto& [service, planner] : planners_)
        planner.take_over(replica_->raft().term(), now);
}

// Voters change one at a time, each change in the log before the next begins.
void Coordinator::keep_voters() {
    if (!leads())
        return;
    Raft& raft = replica_->mutable_raft();
    Voters learners;
    for (const NodeId node : nodes_) {
        const auto peer = peers_.find(address_of(node, config_.link_port));
        if (!raft.voters().contains(node) && peer != peers_.end() && peer->second.node == node)
            learners.insert(node);
    }
    raft.set_learners(learners);
    const Time now = BootClock::now();
    std::vector<NodeView> views;
    Voters others = raft.voters();
    others.insert(learners.begin(), learners.end());
    others.erase(node_);
    for (const NodeId node : others)
        if (const auto peer = raft.peer(node))
            views.push_back({node, peer->match >= raft.commit(), now - peer->heard});
    const auto next = keeper_.next(node_, raft.voters(), views);
    if (!next)
        return;
    const auto proposed = raft.propose_voters(*next);
    if (!proposed)
        return;
    std::string voters;
    for (const NodeId node : *next)
        voters += (voters.empty() ? "" : ",") + text_of(node);
    log(LogLevel::Info, "voters change", {{"voters", voters}});
    pump_soon();
}

// ---- the operators' document

// A majority of three hosts is two disks: the loss of two would take an acknowledged change with
// it. So the answer waits until one disk more than may be lost has it, in a set of voters that
// still has a majority without the lost ones.
bool Coordinator::durable(const StoredDocument& document) const {
    const Raft& raft = replica_->raft();
    const std::size_t copies = raft.synced_copies(document.index);
    const std::size_t needed = config_.tolerated_hosts + 1;
    if (copies >= needed && raft.voters().size() >= keeper_.target())
        return true;
    return BootClock::now() - leads_since_ > FewVotersPatience &&
           copies >= std::min(needed, raft.voters().size());
}

void Coordinator::replace_document(Version version, const std::string& body, Done done) {
    if (!leads()) {
        done(fail(FailureKind::NotLeader, leader_ip()));
        return;
    }
    waiting_.push_back({version, std::move(done)});
    const Version newest = std::max(replica_->state().document().version, proposed_document_);
    if (version > newest) {
        proposed_document_ = version;
        replica_->propose(ReplaceDocument{version, body}, [](const Expected<ApplyResult>&) {});
    }
    pump_soon();
}

void Coordinator::settle_waiting() {
    if (waiting_.empty())
        return;
    std::vector<Waiting> still;
    for (Waiting& item : std::exchange(waiting_, {})) {
        if (!leads())
            item.done(fail(FailureKind::NoQuorum, "leadership was lost"));
        else if (replica_->state().document().version >= item.version &&
                 durable(replica_->state().document()))
            item.done({});
        else
            still.push_back(std::move(item));
    }
    waiting_ = std::move(still);
}

void Coordinator::read_document(Read read) {
    if (!leads()) {
        read(fail(FailureKind::NotLeader, leader_ip()));
        return;
    }
    replica_->read([this, read = std::move(read)](const Expected<void>& confirmed) {
        if (!confirmed)
            read(tl::make_unexpected(confirmed.error()));
        else
            read(replica_ ? replica_->state().document() : StoredDocument{});
    });
    pump_soon();
}

std::string Coordinator::leader_ip() const {
    if (!replica_ || replica_->raft().leader() == NoNode || replica_->raft().leader() == node_)
        return "";
    return ip_of(replica_->raft().leader());
}

void Coordinator::document_applied() {
    const StoredDocument& document = replica_->state().document();
    if (document.index == 0 || document.index == applied_document_)
        return;
    applied_document_ = document.index;
    const auto deployment = decode_(document.body);
    log(LogLevel::Info, "document in force",
        {{"version", std::to_string(document.version)}, {"index", std::to_string(document.index)}});
    if (!deployment) {
        log(LogLevel::Error, "the log holds a document that can not be decoded",
            {{"detail", deployment.error().detail}});
        return;
    }
    for (const Service& service : deployment->services) {
        if (!service.engine)
            continue;
        auto found = planners_.find(service.name);
        if (found == planners_.end()) {
            const PlannerBounds bounds{config_.bounds.beat, config_.bounds.load_window};
            found =
                planners_
                    .emplace(service.name, GroupPlanner(service.name, bounds, config_.first_start))
                    .first;
            for (const auto& [id, item] : registry_.items())
                if (item.report.service == service.name)
                    found->second.observe(item.report, BootClock::now());
            if (leads())
                found->second.take_over(replica_->raft().term(), BootClock::now());
        }
        found->second.configure(*service.engine);
    }
    const Vouch notice = make_vouch(0);
    const DocumentPush push{document};
    for (auto& [name, session] : entries_) {
        if (!session.link)
            continue;
        if (session.renew.want_delta)
            session.link->send(push);
        session.link->send(notice);
    }
    plan_soon();
}

// ---- links

void Coordinator::connect_to(const std::string& address) {
    if (peers_.contains(address))
        return;
    Peer& peer = peers_[address];
    peer.dialer = std::make_unique<Dialer>(io_, address, identity_, keys_);
    peer.dialer->start([this, &peer](const Link::Ptr&) { greet(peer); },
                       [this](const Link::Ptr& link, Wire&& m) { on_message(link, std::move(m)); },
                       [](const Link::Ptr&) {});
}

void Coordinator::learn(NodeId node) {
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

void Coordinator::greet(Peer& peer) {
    if (node_ != NoNode)
        peer.dialer->send(PeerHello{node_, known_nodes(), registry_.digest()});
}

// A host has one data folder at a time: the number that it says now is the one that counts.
void Coordinator::on_hello(const Link::Ptr&, const PeerHello& hello) {
    if (same_host(hello.node, node_))
        return;
    std::erase_if(nodes_, [&](NodeId node) {
        return node != hello.node && same_host(node, hello.node);
    });
    learn(hello.node);
    Peer& peer = peers_[address_of(hello.node, config_.link_port)];
    if (peer.node != hello.node)
        log(LogLevel::Info, "control host known", {{"node", text_of(hello.node)}});
    peer.node = hello.node;
    for (const NodeId node : hello.nodes) {
        const bool host_known = std::any_of(nodes_.begin(), nodes_.end(),
                                            [&](NodeId n) { return same_host(n, node); });
        if (!host_known)
            learn(node);
    }
    if (hello.registry == registry_.digest()) {
        peer.digest_misses = 0;
        return;
    }
    if (++peer.digest_misses <= DigestMissesAllowed)
        return;
    peer.digest_misses = 0;
    send_registry([&peer](const Wire& message) { peer.dialer->send(message); });
}

void Coordinator::on_message(const Link::Ptr& link, Wire&& message) {
    const Time now = BootClock::now();
    if (const auto* packet = std::get_if<RaftPacket>(&message)) {
        const auto body = decode<RaftMessage>(packet->body);
        if (!body || link->peer().role != ProcessRole::Control || packet->to != node_ || !replica_)
            return;
        replica_->step(packet->from, *body, now);
        pump_soon();
    } else if (const auto* hello = std::get_if<PeerHello>(&message)) {
        on_hello(link, *hello);
    } else if (const auto* renew = std::get_if<Renew>(&message)) {
        on_renew(link, *renew);
    } else if (const auto* changes = std::get_if<EndpointChanges>(&message)) {
        for (const EndpointReport& report : changes->reports)
            merge(report, false);
    } else if (const auto* alive = std::get_if<EndpointsAlive>(&message)) {
        for (const EndpointId& id : alive->ids)
            registry_.heard(id, now);
    } else if (const auto* suspected = std::get_if<GroupSuspected>(&message)) {
        for (auto& [service, planner] : planners_)
            planner.suspect(suspected->epoch, now);
        if (leads())
            plan_soon();
    }
}

void Coordinator::on_down(const Link::Ptr& link) {
    for (auto& [name, session] : entries_)
        if (session.link == link)
            session.link.reset();
}

Vouch Coordinator::make_vouch(std::uint64_t sequence) const {
    Vouch vouch;
    vouch.node = node_;
    vouch.sequence = sequence;
    vouch.registered = true;
    vouch.nodes = known_nodes();
    if (replica_) {
        vouch.logged = replica_->logged_lease_version();
        vouch.table = replica_->state().document().index;
        vouch.voters = replica_->raft().voters();
        vouch.voters_index = replica_->raft().voters_index();
        vouch.leader = replica_->raft().leader();
    }
    const Time now = BootClock::now();
    for (const auto& [name, session] : entries_) {
        if (now - session.heard > EntryKept)
            continue;
        ++vouch.entries;
        vouch.in_flight_total += session.renew.in_flight;
    }
    return vouch;
}

void Coordinator::on_renew(const Link::Ptr& link, const Renew& renew) {
    if (link->peer().role != ProcessRole::Entry)
        return;
    EntrySession& session = entries_[renew.entry];
    const bool new_link = session.link != link;
    session.link = link;
    session.renew = renew;
    session.heard = BootClock::now();
    if (renew.calls > 0)
        for (auto& [service, planner] : planners_)
            planner.traffic_began();
    // A closed log can vouch for nothing.
    if (replica_)
        link->send(make_vouch(renew.sequence));
    if (new_link && leads())
        tell_dissolved(link);
    if (replica_ && renew.want_delta && renew.lease < replica_->state().document().index)
        link->send(DocumentPush{replica_->state().document()});
    session.digest_misses = renew.registry == registry_.digest() ? 0 : session.digest_misses + 1;
    if (session.digest_misses > DigestMissesAllowed || (new_link && session.digest_misses > 0)) {
        session.digest_misses = 0;
        send_registry([&link](const Wire& message) { link->send(message); });
    }
}

// ---- registrations

void Coordinator::send_registry(const std::function<void(const Wire&)>& send) const {
    EndpointChanges all;
    for (const auto& [id, item] : registry_.items())
        all.reports.push_back(item.report);
    send(all);
}

void Coordinator::report(const EndpointReport& report) {
    merge(report, true);
}

void Coordinator::heard(const EndpointId& id) {
    registry_.heard(id, BootClock::now());
    alive_.insert(id);
}

void Coordinator::gone(const EndpointId& id) {
    if (!registry_.mark_gone(id, BootClock::now()))
        return;
    changed(registry_.find(id)->report, true);
    flush_changes();
}

void Coordinator::merge(const EndpointReport& report, bool first_hand) {
    const Time now = BootClock::now();
    const Registry::Item* before = registry_.find(report.id);
    const EndpointPhase phase = before == nullptr ? EndpointPhase::Serving : before->report.phase;
    const bool is_change = registry_.merge(report, now);
    if (first_hand)
        alive_.insert(report.id);
    if (!is_change)
        return;
    const EndpointReport& current = registry_.find(report.id)->report;
    if (first_hand)
        changed(current, true);
    else if (current.phase != phase)
        changed(current, false);
    else if (GroupPlanner* planner = planner_of(current.service))
        planner->observe(current, now);
    // The one who registers is answered after this: nobody may still send it work then.
    if (first_hand && current.phase != EndpointPhase::Serving)
        flush_changes();
    plan_soon();
}

void Coordinator::changed(const EndpointReport& report, bool to_peers) {
    if (GroupPlanner* planner = planner_of(report.service))
        planner->observe(report, BootClock::now());
    const Membership& membership = report.membership;
    log(LogLevel::Info, "endpoint",
        {{"id", report.id},
         {"address", report.address},
         {"phase", std::to_string(static_cast<int>(report.phase))},
         {"group", membership.group},
         {"state", report.grouped() ? std::string(name_of(membership.state)) : "none"},
         {"rank", std::to_string(membership.rank)},
         {"sequence", std::to_string(report.sequence)}});
    (to_peers ? changes_ : entry_changes_).push_back(report);
    if (std::exchange(flush_posted_, true))
        return;
    asio::post(io_, [this] { flush_changes(); });
}

void Coordinator::flush_changes() {
    flush_posted_ = false;
    if (changes_.empty() && entry_changes_.empty())
        return;
    const EndpointChanges to_peers{std::exchange(changes_, {})};
    EndpointChanges to_entries = to_peers;
    for (EndpointReport& report : std::exchange(entry_changes_, {}))
        to_entries.reports.push_back(std::move(report));
    for (auto& [name, session] : entries_)
        if (session.link)
            session.link->send(to_entries);
    if (to_peers.reports.empty())
        return;
    for (auto& [address, peer] : peers_)
        peer.dialer->send(to_peers);
}

// ---- groups

GroupPlanner* Coordinator::planner_of(const std::string& service) {
    const auto found = planners_.find(service);
    return found == planners_.end() ? nullptr : &found->second;
}

void Coordinator::plan_soon() {
    if (!leads() || std::exchange(plan_posted_, true))
        return;
    asio::post(io_, [this] {
        plan_posted_ = false;
        plan();
    });
}

void Coordinator::plan() {
    const Time now = BootClock::now();
    plan_due_ = now + PlanEvery;
    if (!replica_ || !replica_->ready())
        return;
    for (auto& [service, planner] : planners_) {
        for (const EndpointOrder& order : planner.plan(registry_, now))
            give(planner, order);
        for (const EndpointId& id : planner.take_probes()) {
            const Registry::Item* item = registry_.find(id);
            if (item == nullptr) {
                planner.probed(id, false, now);
                continue;
            }
            orders_.probe(item->report, [this, &planner, id](bool alive) {
                planner.probed(id, alive, BootClock::now());
                plan_soon();
            });
        }
        for (const PlanEvent& event : planner.take_events())
            log(LogLevel::Info, "group " + event.what,
                {{"group", event.group},
                 {"endpoint", event.endpoint},
                 {"why", event.why},
                 {"term", std::to_string(replica_->raft().term())}});
    }
    tell_dissolved(nullptr);
}

// Entry hosts believe a lead's own report. A lost lead can not take back its last one.
void Coordinator::tell_dissolved(const Link::Ptr& only) {
    GroupsDissolved message;
    std::set<Epoch> all;
    for (const auto& [service, planner] : planners_)
        for (const Epoch epoch : planner.dissolved(registry_))
            all.insert(epoch);
    const bool news = !std::includes(dissolved_.begin(), dissolved_.end(), all.begin(), all.end());
    dissolved_ = all;
    message.epochs.assign(all.begin(), all.end());
    if (message.epochs.empty())
        return;
    if (only)
        only->send(message);
    else if (news)
        for (auto& [name, session] : entries_)
            if (session.link)
                session.link->send(message);
}

void Coordinator::give(GroupPlanner& planner, const EndpointOrder& order) {
    Metrics::instance()
        .counter("liftweir_orders", "kind=\"" + std::string(name_of(order.kind)) + "\"")
        .add();
    const Time sent = BootClock::now();
    orders_.send(order, [this, &planner, order, sent](OrderAnswer answer) {
        const Time now = BootClock::now();
        log(LogLevel::Info, "order",
            {{"kind", std::string(name_of(order.kind))},
             {"endpoint", order.endpoint},
             {"group", order.group},
             {"answer", std::string(name_of(answer))},
             {"took_ms", std::to_string(to_millis(now - sent))}});
        planner.answered(order, answer, now);
        plan_soon();
    });
}

} // namespace liftweir
