// Run by liftweir-site-control: storage, the replicated log, its voters, and the operators'
// document.

#include "process/coordinator.h"

#include "connection/codec.h"
#include "process/logging.h"
#include "process/metrics.h"
#include "process/node.h"

#include <algorithm>
#include <random>

namespace liftweir {

namespace {

// Half of the Raft heartbeat interval. Finer ticks only cost wake-ups on hosts that share a core.
constexpr Duration TickInterval = std::chrono::milliseconds(50);
// A leader whose ticks are this late is close to losing its leadership.
constexpr Duration LateTick = std::chrono::milliseconds(200);
constexpr Duration HousekeepingInterval = std::chrono::milliseconds(1000);
// A full or failing disk is retried this often. The log is then read from it as after a restart.
constexpr Duration ReopenInterval = std::chrono::milliseconds(700);
// The system may have fewer control hosts than the tolerated failures require. After this long a
// leader requires no more copies of a document than there are voters.
constexpr Duration FewVotersTimeout = std::chrono::seconds(3);
// An election costs availability: entry hosts that start get no settings until there is a leader.
// The timeouts cover a round trip between zones, a sync and a lost packet.
constexpr RaftTuning Tuning{.heartbeat = std::chrono::milliseconds(100),
                            .election_min = std::chrono::milliseconds(350),
                            .election_max = std::chrono::milliseconds(700),
                            .first_election_min = std::chrono::milliseconds(120),
                            .first_election_max = std::chrono::milliseconds(350)};

} // namespace

Coordinator::Coordinator(asio::io_context& io, SiteConfig config, EndpointOrders& orders,
                         DocumentDecoder decode)
    : io_(io),
      config_(std::move(config)),
      orders_(orders),
      decode_(std::move(decode)),
      identity_{ProcessRole::Control, config_.name, new_incarnation()},
      voter_selector_(2 * config_.tolerated_hosts + 1),
      registry_(true, heartbeats()),
      groups_({config_.bounds.heartbeat_interval, config_.bounds.load_window,
               config_.plan_by_demand, config_.tolerated_zones > 0, config_.bounds.stall},
              config_.first_start),
      retry_shares_(config_.bounds.retry_window),
      planning_(io, [this] { plan(); }),
      sending_changes_(io, [this] { send_changes(); }),
      ticker_(io, TickInterval, [this] { tick(); }) {}

Coordinator::~Coordinator() = default;

Expected<std::unique_ptr<Coordinator>> Coordinator::open(asio::io_context& io,
                                                         const SiteConfig& config,
                                                         EndpointOrders& orders,
                                                         DocumentDecoder decode) {
    auto storage = open_directory(config.data);
    if (!storage)
        return tl::make_unexpected(storage.error());
    std::unique_ptr<Coordinator> coordinator(
        new Coordinator(io, config, orders, std::move(decode)));
    coordinator->storage_ = std::move(*storage);
    if (auto opened = coordinator->open_replica(); !opened)
        coordinator->storage_failed(opened.error());
    coordinator->endpoint_cache_ = std::make_unique<EndpointCacheFile>(coordinator->storage_);
    coordinator->cached_ = coordinator->endpoint_cache_->load();
    coordinator->started_ = BootClock::now();
    log(LogLevel::Info, "cached endpoints loaded",
        {{"count", std::to_string(coordinator->cached_.reports.size())}});
    return coordinator;
}

// ---- storage and replicated log

// A data directory that fails its checks is treated like a lost disk: it is emptied, and the host
// joins again as another node.
Expected<void> Coordinator::open_replica() {
    for (int attempt = 0; attempt < 2; ++attempt) {
        Expected<void> opened = open_log(config_.first_start && attempt == 0);
        if (opened || opened.error().kind != FailureKind::Damaged)
            return opened;
        log(LogLevel::Error, "data directory is damaged; starting as a new node",
            {{"detail", opened.error().detail}});
        if (auto emptied = empty_directory(); !emptied)
            return emptied;
    }
    return fail(FailureKind::Damaged, "data directory is damaged even after it was emptied");
}

// The first voters are the seeds of the first start. They are stored, since the log holds no set of
// voters until it changes, and the settings name other seeds once machines have been replaced. They
// are stored before the node's number: a founder that was killed between the two has not voted, and
// is a founder still.
Expected<void> Coordinator::open_log(bool first_start) {
    const std::vector<std::string> seeds = config_.seed_ips();
    const auto has_own_ip = [this](const std::vector<std::string>& ips) {
        return std::find(ips.begin(), ips.end(), config_.ip) != ips.end();
    };
    const auto founders = founders_of_directory(*storage_, seeds, first_start && has_own_ip(seeds));
    if (!founders)
        return tl::make_unexpected(founders.error());
    const auto node = node_of_directory(*storage_, config_.ip, has_own_ip(*founders));
    if (!node)
        return tl::make_unexpected(node.error());
    // Directories of earlier releases have no list of founders.
    return open_replica_as(*node, founders->empty() ? seeds : *founders);
}

Expected<void> Coordinator::open_replica_as(NodeId node, const std::vector<std::string>& founders) {
    Voters bootstrap;
    if (node == founder_node(config_.ip))
        for (const std::string& ip : founders)
            bootstrap.insert(founder_node(ip));
    std::random_device device;
    auto replica = Replica::open(*storage_, node, bootstrap, Tuning, device(), BootClock::now());
    if (!replica)
        return tl::make_unexpected(replica.error());
    node_ = node;
    replica_ = std::move(*replica);
    applied_document_ = 0;
    applied_zones_ = 0;
    applied_departures_ = 0;
    log(LogLevel::Info, "log opened",
        {{"node", text_of(node_)},
         {"last_index", std::to_string(replica_->raft().last_index())},
         {"voters", std::to_string(replica_->raft().voters().size())}});
    for (const NodeId voter : replica_->raft().voters())
        add_control_host(voter);
    return {};
}

Expected<void> Coordinator::empty_directory() {
    const auto names = storage_->list();
    if (!names)
        return tl::make_unexpected(names.error());
    for (const std::string& name : *names)
        if (auto removed = storage_->remove(name); !removed)
            return removed;
    return {};
}

// No entry is acknowledged before it is written. So the Raft state in memory can be dropped after a
// failed write, and read from the disk once that works again.
void Coordinator::storage_failed(const Failure& failure) {
    log(LogLevel::Error, "storage failed; the log is closed until it can be read again",
        {{"failure", std::string(name_of(failure.kind))}, {"detail", failure.detail}});
    Metrics::instance().counter("liftweir_storage_failures").add();
    reopen_due_ = BootClock::now() + ReopenInterval;
    if (!replica_)
        return;
    // Destroyed from the event loop, since this may run within a call of the replica itself.
    asio::post(io_,
               [this, old = std::shared_ptr<Replica>(std::move(replica_))] { answer_waiting(); });
    was_leader_ = false;
    groups_.step_down();
}

void Coordinator::start() {
    listener_ = std::make_unique<LinkListener>(io_, config_.link_address(), identity_, keys_);
    listener_->start(
        [](const Link::Ptr&) {},
        [this](const Link::Ptr& link, WireMessage&& m) { on_message(link, std::move(m)); },
        [this](const Link::Ptr& link) { on_down(link); });
    reconfigure(config_);
    gauges_.add("liftweir_endpoints",
                [this] { return static_cast<double>(registry_.items().size()); });
    gauges_.add("liftweir_leads", [this] { return leads() ? 1.0 : 0.0; });
    gauges_.add("liftweir_voters", [this] {
        return replica_ ? static_cast<double>(replica_->raft().voters().size()) : 0.0;
    });
    gauges_.add("liftweir_models_overloaded",
                [this] { return static_cast<double>(admission_.overloaded()); });
    gauges_.add("liftweir_zones_out_of_use",
                [this] { return static_cast<double>(zones_out_of_use().zones.size()); });
    gauges_.add("liftweir_departures", [this] {
        return replica_ ? static_cast<double>(replica_->state().departures().all.size()) : 0.0;
    });
    gauges_.add("liftweir_requests_quarantined", [this] {
        return static_cast<double>(quarantine_.quarantined_count(BootClock::now()));
    });
    ticker_.start();
}

// Only the seeds may change while a process runs.
void Coordinator::reconfigure(const SiteConfig& config) {
    config_.seeds = config.seeds;
    for (const std::string& ip : config_.seed_ips())
        if (ip != config_.ip)
            connect_to(ip + ":" + std::to_string(config_.link_port));
}

// Logged so that an election without a loss can be explained afterwards.
void Coordinator::note_late_tick(Time now) {
    const Duration since = last_tick_ == Time{} ? Duration::zero() : now - last_tick_;
    last_tick_ = now;
    const LongestStep::Step longest = steps_.take();
    if (since - TickInterval < LateTick)
        return;
    Metrics::instance().counter("liftweir_late_ticks").add();
    log(LogLevel::Warning, "event loop late",
        {{"late_ms", std::to_string(to_millis(since - TickInterval))},
         {"longest_step", std::string(longest.name)},
         {"longest_ms", std::to_string(to_millis(longest.took))}});
}

void Coordinator::tick() {
    const Time now = BootClock::now();
    note_late_tick(now);
    if (!replica_ && now >= reopen_due_) {
        if (auto opened = open_replica(); !opened)
            storage_failed(opened.error());
    }
    if (replica_)
        replica_->tick(now);
    pump();
    answer_waiting_leaves();
    if (now >= alive_due_) {
        alive_due_ = now + HeartbeatFlushInterval;
        flush_alive();
    }
    if (now >= load_due_)
        send_load(now);
    if (now >= admission_due_)
        send_admission(now);
    if (now >= housekeeping_due_) {
        housekeeping_due_ = now + HousekeepingInterval;
        run_housekeeping();
    }
    check_addresses(now);
    if (now >= plan_due_)
        planning_.run();
}

void Coordinator::run_housekeeping() {
    const Time now = BootClock::now();
    registry_.expire(now);
    count_entries(now);
    quarantine_.expire(now);
    expire_endpoint_signals(now);
    allocator_.expire(now);
    retry_shares_.expire(now);
    propose_missing_quarantines();
    forget_departures(now);
    write_endpoint_cache(now);
    if (replica_)
        for (const NodeId voter : replica_->raft().voters())
            if (voter != node_)
                add_control_host(voter);
    send_hellos();
    probe_links(now);
    if (leads())
        log_peers_behind();
    if (leads())
        log_demand();
    if (leads())
        for (const auto& [service, line] : groups_.layouts(registry_, now))
            log(LogLevel::Info, "layout", {{"service", service}, {"groups", line}});
    std::erase_if(entries_, [&](const auto& item) {
        return now - item.second.seen > EntrySessionTimeout && !item.second.link;
    });
}

// Logs each control host that lacks committed entries. Runs once a second.
void Coordinator::log_peers_behind() const {
    const Raft& raft = replica_->raft();
    for (const auto& [address, peer] : peers_) {
        const auto view = raft.peer(peer.node);
        if (!view || view->match >= raft.commit())
            continue;
        log(LogLevel::Info, "control host behind",
            {{"node", text_of(peer.node)},
             {"match", std::to_string(view->match)},
             {"commit", std::to_string(raft.commit())},
             {"queued_bytes", std::to_string(peer.dialer->queued_bytes())},
             {"heard_ms_ago", std::to_string(to_millis(BootClock::now() - view->last_contact))}});
    }
}

// Group commit: all proposals of one turn of the event loop share one sync to disk.
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
    const LongestStep::Scope step(steps_, "pump");
    const auto messages = replica_->pump();
    if (!messages) {
        storage_failed(messages.error());
        return;
    }
    send_raft(*messages);
    record_leadership_change();
    groups_.settle(registry_, BootClock::now());
    document_applied();
    zones_applied();
    quarantine_applied();
    departures_applied();
    if (!caught_up_ && replica_->caught_up())
        log_caught_up();
    adjust_voters();
    answer_waiting();
    answer_waiting_leaves();
    send_orders();
}

void Coordinator::send_raft(const std::vector<RaftEnvelope>& messages) {
    for (const RaftEnvelope& envelope : messages) {
        const auto peer = peers_.find(address_of(envelope.to, config_.link_port));
        if (peer == peers_.end())
            continue;
        Dialer& dialer = peer->second.raft->up() ? *peer->second.raft : *peer->second.dialer;
        dialer.send(RaftPacket{node_, encode(envelope.message), envelope.to});
    }
}

void Coordinator::record_term_change() {
    const Term term = replica_->raft().term();
    if (term == known_term_)
        return;
    known_term_ = term;
    last_term_began_ = std::max(started_, term_began_);
    term_began_ = BootClock::now();
}

void Coordinator::record_leadership_change() {
    record_term_change();
    const bool leads = replica_->raft().leads_with_commit();
    if (leads == was_leader_)
        return;
    was_leader_ = leads;
    leads_since_ = BootClock::now();
    proposed_document_ = 0;
    proposed_leaves_ = {};
    log(LogLevel::Info, leads ? "leads" : "leads no more",
        {{"term", std::to_string(replica_->raft().term())}, {"node", text_of(node_)}});
    const bool several_recent_leaders =
        leads_since_ - last_term_began_ < config_.bounds.load_window;
    if (leads)
        allocator_.take_over(leads_since_);
    // No entry host has received requests before there is a document.
    if (leads)
        retry_shares_.take_over(known_term_, replica_->state().document().index != 0, leads_since_);
    if (leads)
        groups_.take_over({known_term_, leads_since_, several_recent_leaders}, replica_->state());
    else
        groups_.step_down();
}

// Control hosts that are not voters but could become voters: known, and with a node number that
// they announced themselves.
Voters Coordinator::learners() const {
    const Voters& voters = replica_->raft().voters();
    Voters learners;
    for (const NodeId node : nodes_) {
        const auto peer = peers_.find(address_of(node, config_.link_port));
        if (!voters.contains(node) && peer != peers_.end() && peer->second.node == node)
            learners.insert(node);
    }
    return learners;
}

std::vector<NodeView> Coordinator::views_of(Voters nodes) const {
    const Raft& raft = replica_->raft();
    const Time now = BootClock::now();
    nodes.erase(node_);
    std::vector<NodeView> views;
    for (const NodeId node : nodes)
        if (const auto peer = raft.peer(node))
            views.push_back({node, peer->match >= raft.commit(), now - peer->last_contact});
    return views;
}

// Voters change one at a time: each change is committed before the next one is proposed.
void Coordinator::adjust_voters() {
    if (!leads())
        return;
    Raft& raft = replica_->mutable_raft();
    Voters known = learners();
    raft.set_learners(known);
    known.insert(raft.voters().begin(), raft.voters().end());
    const auto next = voter_selector_.next(node_, raft.voters(), views_of(std::move(known)));
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

// A majority of three hosts is two disks, and the loss of both would lose an acknowledged change.
// So the acknowledgement waits until one disk more than the tolerated losses has the document, in a
// set of voters that still has a majority without the lost ones.
bool Coordinator::is_durable(Index index) const {
    const Raft& raft = replica_->raft();
    const std::size_t copies = raft.synced_copies(index);
    const std::size_t needed = config_.tolerated_hosts + 1;
    if (copies >= needed && raft.voters().size() >= voter_selector_.target())
        return true;
    return BootClock::now() - leads_since_ > FewVotersTimeout &&
           copies >= std::min(needed, raft.voters().size());
}

void Coordinator::replace_document(Version version, const std::string& body, Done done) {
    if (!leads()) {
        done(fail(FailureKind::NotLeader, leader_ip()));
        return;
    }
    waiting_.push_back({version, std::move(done), BootClock::now()});
    const Version newest = std::max(replica_->state().document().version, proposed_document_);
    if (version > newest) {
        proposed_document_ = version;
        replica_->propose(ReplaceDocument{version, body}, [](const Expected<ApplyResult>&) {});
    }
    pump_soon();
}

void Coordinator::leave() {
    log(LogLevel::Info, "leaving", {{"waiting", std::to_string(waiting_.size())}});
    leaving_ = true;
    answer_waiting();
    answer_waiting_leaves();
}

void Coordinator::acknowledge(const WaitingCall& item) {
    Metrics::instance()
        .histogram("liftweir_document_seconds")
        .add(to_seconds(BootClock::now() - item.started));
    item.done({});
}

void Coordinator::answer_waiting() {
    answer_waiting_orders();
    if (waiting_.empty())
        return;
    std::vector<WaitingCall> unanswered;
    for (WaitingCall& item : std::exchange(waiting_, {})) {
        if (!leads())
            item.done(fail(FailureKind::NoQuorum, "leadership was lost"));
        else if (replica_->state().document().version >= item.version &&
                 is_durable(replica_->state().document().index))
            acknowledge(item);
        else
            unanswered.push_back(std::move(item));
    }
    waiting_ = std::move(unanswered);
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
    services_.clear();
    engines_.clear();
    for (const Service& service : deployment->services) {
        services_.insert(service.name);
        if (service.engine)
            engines_.emplace(service.name, *service.engine);
        if (service.engine)
            groups_.configure(service.name, *service.engine, replica_->state(), registry_,
                              BootClock::now());
        if (service.engine)
            add_demand_gauges(*service.engine);
    }
    push_document();
    plan_soon();
}

void Coordinator::push_document() {
    for (auto& [name, session] : entries_)
        if (session.link)
            push_document_to(session);
    send_to_entries(make_lease_ack(0));
}

// A document is sent once over each link: it arrives, or the link breaks, and an entry host that
// lacks the document asks for it with each renewal. Where the link has a long send queue, the
// newest document is sent at a later renewal.
void Coordinator::push_document_to(EntrySession& session) {
    const StoredDocument& document = replica_->state().document();
    const Version known = std::max(session.renew.lease, session.pushed);
    if (!session.renew.want_delta || known >= document.index || session.link->backed_up())
        return;
    session.pushed = document.index;
    session.link->send(DocumentPush{document, replica_->state().zones_out_of_use()});
}

} // namespace liftweir
