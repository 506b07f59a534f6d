// Run by liftweir-site-control, where endpoints register themselves: keeps the operators' document
// in the replicated log, merges the registrations of endpoints, and while it leads, maintains the
// set of voters and plans the serving groups.

#ifndef COORDINATOR_H_INCLUDED
#define COORDINATOR_H_INCLUDED

#include "connection/link.h"
#include "process/admissionlog.h"
#include "process/admissionplan.h"
#include "process/changefeed.h"
#include "process/demandtable.h"
#include "process/endpointcachefile.h"
#include "process/groupcontroller.h"
#include "process/limitallocator.h"
#include "process/longeststep.h"
#include "process/metrics.h"
#include "process/probequeue.h"
#include "process/quarantine.h"
#include "process/registry.h"
#include "process/registryrepair.h"
#include "process/reportedlimits.h"
#include "process/retryshareallocator.h"
#include "process/siteconfig.h"
#include "process/throttledwork.h"
#include "process/ticker.h"
#include "process/voterselector.h"
#include "request/entryloadtable.h"
#include "version/deployment.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace liftweir {

// Sends orders to endpoints. Implemented for each protocol that endpoints speak.
class EndpointOrders {
  public:
    virtual ~EndpointOrders() = default;
    virtual void send(const EndpointOrder& order, std::function<void(OrderAnswer)> on_answer) = 0;
    // Asks an endpoint whether it is alive. Answers false where no answer came in time, or where
    // another incarnation answered at its address.
    virtual void probe(const EndpointReport& endpoint, std::function<void(bool)> on_answer) = 0;
};

// Decodes the operators' document. Fails with BadSettings; never returns a part of a document.
using DocumentDecoder = std::function<Expected<Deployment>(const std::string& body)>;

// Single-threaded. All decisions are made in the state machines that it drives.
class Coordinator {
  public:
    using Done = std::function<void(const Expected<void>&)>;
    using Read = std::function<void(const Expected<StoredDocument>&)>;

    // Fails with Storage only where the data directory can not be opened. A damaged one is emptied.
    static Expected<std::unique_ptr<Coordinator>> open(asio::io_context& io,
                                                       const SiteConfig& config,
                                                       EndpointOrders& orders,
                                                       DocumentDecoder decode);
    ~Coordinator();

    void start();
    // Applies a changed settings file. Only the seeds may change while the process runs.
    void reconfigure(const SiteConfig& config);

    // Prepares the shutdown: answers the operators' calls that wait, and accepts no more, since
    // another host may lead soon.
    void leave();

    // Calls `done` once the document, or a newer one, is on enough disks. Fails with NotLeader
    // where another host leads; leader_ip() says which one.
    void replace_document(Version version, const std::string& body, Done done);
    void read_document(Read read);
    // Takes an availability zone out of use, or back into use. Calls `done` once that is on enough
    // disks. Fails with NotLeader like replace_document(), and with NotFound where the deployment
    // has no such zone.
    void set_zone_use(const std::string& zone, bool in_use, Done done);
    const ZonesOutOfUse& zones_out_of_use() const;
    // IP of the leader; empty where none is known, or where this host leads.
    std::string leader_ip() const;
    // Whether this host leads and has applied all entries that were committed before.
    bool leads() const { return !leaving_ && replica_ && replica_->raft().leads_with_commit(); }

    // Merges the registration of an endpoint. A rejected report changes nothing, and `done` is not
    // called. An endpoint that drains is announced to all hosts before this returns, and `done` is
    // called once that is on enough disks; it fails with NoQuorum where that takes too long.
    ReportFault merge_report(const EndpointReport& report, Done done);
    // Deregisters an endpoint, and announces that to all hosts before it returns. `done` is called
    // as above.
    void deregister(EndpointId id, Done done);
    // Counts a rejected report under the name, and logs it at a limited rate.
    void note_rejected_report(const std::string& name, ReportFault fault);

  private:
    Coordinator(asio::io_context& io, SiteConfig config, EndpointOrders& orders,
                DocumentDecoder decode);

    // An entry host that has not renewed its lease for this long is not counted.
    static constexpr Duration EntrySessionTimeout = std::chrono::seconds(4);

    // Heartbeats of endpoints are collected for this long before they are forwarded to peers.
    static constexpr Duration HeartbeatFlushInterval = std::chrono::milliseconds(500);

    // An entry host that renews its lease at this host.
    struct EntrySession {
        Link::Ptr link;
        LeaseRenewal renew;
        Time seen{};
        Time digests_due{};    // when the registry digests may be sent again
        Version pushed = 0;    // log index of the last document that was sent over the link
        bool restored = false; // the cached endpoints were sent over the link
    };
    // Sums over the entry hosts that have renewed their leases lately.
    struct EntryTotals {
        std::uint32_t entries = 0;
        std::uint32_t in_flight = 0;
    };
    // Another control host.
    struct Peer {
        std::unique_ptr<Dialer> dialer;
        std::unique_ptr<Dialer> raft; // carries only the messages of the replicated log
        NodeId node = NoNode;
        bool records_leaves = false;
        bool answers_probes = false;
    };
    // Rejected reports of one kind of fault.
    struct RejectedReports {
        Time logged{};
        std::uint64_t since = 0; // rejected since the last logged line
    };
    // An operator's call that waits until its document is on enough disks.
    struct WaitingCall {
        Version version = 0;
        Done done;
        Time started{};
    };
    // An operator's order that is committed, and waits until it is on enough disks.
    struct WaitingOrder {
        Index index = 0;
        Done done;
    };

    // The leave of an endpoint that waits to be on enough disks.
    struct WaitingLeave {
        EndpointReport report;
        Done done;
        Link::Ptr peer; // that is told instead of calling `done`; null for an endpoint's own call
        Time started{};
        Time request_due{};    // when it is proposed, or the leader is asked, again
        bool recorded = false; // the leader has said so
    };

    // storage and replicated log
    Expected<void> open_replica();
    Expected<void> open_log(bool first_start);
    Expected<void> open_replica_as(NodeId node, const std::vector<std::string>& founders);
    Expected<void> empty_directory();
    void storage_failed(const Failure& failure);
    void pump();
    void pump_soon();
    void send_raft(const std::vector<RaftEnvelope>& messages);
    void record_term_change();
    void record_leadership_change();
    void adjust_voters();
    Voters learners() const;
    std::vector<NodeView> views_of(Voters nodes) const;
    void answer_waiting();
    static void acknowledge(const WaitingCall& item);
    bool is_durable(Index index) const;
    void answer_waiting_orders();
    void document_applied();
    void zones_applied();
    bool is_known_zone(const std::string& zone) const;
    void push_document();
    void send_to_entries(const WireMessage& message);
    void send_to_peers(const WireMessage& message);
    void push_document_to(EntrySession& session);

    // links to control hosts and entry hosts
    void connect_to(const std::string& address);
    void add_control_host(NodeId node);
    void send_hello(Peer& peer);
    void send_hellos();
    void probe_links(Time now);
    void on_peer_message(Dialer& dialer, const Link::Ptr& link, WireMessage&& message);
    void on_message(const Link::Ptr& link, WireMessage&& message);
    void on_raft(const Link::Ptr& link, const RaftPacket& packet, Time now);
    void on_suspected(const GroupSuspected& suspected, Time now);
    void on_down(const Link::Ptr& link);
    void on_hello(const PeerHello& hello);
    void on_renew(const Link::Ptr& link, const LeaseRenewal& renew);
    LeaseAck make_lease_ack(std::uint64_t sequence) const;
    LeaseAck answer_to(const LeaseRenewal& renew) const;
    RetryShare grant_retry_share(const LeaseRenewal& renew, Time now);
    void send_digests_if_different(EntrySession& session, bool new_link, Time now);
    void send_restored(EntrySession& session, bool new_link);
    void log_caught_up();
    void count_entries(Time now);
    std::vector<NodeId> known_nodes() const;

    // registrations
    ReportFault fault_here(const EndpointReport& report) const;
    void merge(const EndpointReport& report, bool first_hand, Time seen);
    void on_changes(const EndpointChanges& changes, Time now);
    void on_alive(const EndpointsAlive& alive, Time now);
    void note_change(const EndpointReport& report);
    void changed_for_all(const EndpointReport& report);
    void forward_unconfirmed(const EndpointReport& report);
    void forward_resolved();
    void check_addresses(Time now);
    void send_changes();
    void flush_alive();
    HeartbeatTimes heartbeats() const { return {config_.bounds.heartbeat_interval}; }
    bool registry_complete(Time now) const;
    void write_endpoint_cache(Time now);
    void on_digests(const Link::Ptr& link, const RegistryDigests& digests, Time now);
    void send_ranges(const Link::Ptr& link, const RangesRequested& wanted, Time now) const;
    bool knows_all_endpoints(Time now) const;

    // endpoints that leave, in the replicated log
    void record_leave(const EndpointReport& report, Done done);
    void request_leave_records(Time now);
    void propose_leave(const EndpointReport& report);
    Dialer* leader_that_records_leaves();
    void on_leaves_to_record(const Link::Ptr& link, const LeavesToRecord& received, Time now);
    void on_leaves_recorded(const LeavesRecorded& received);
    bool is_recorded(const WaitingLeave& leave) const;
    void departures_applied();
    void answer_waiting_leaves();
    void answer(const WaitingLeave& leave, bool recorded, Duration took);
    void forget_departures(Time now);

    // groups
    void plan();
    void plan_soon();
    void send_probes();
    void probe(const ProbeQueue::Probe& asked, Time now);
    void send_dissolved(const Link::Ptr& only);
    void send_orders();
    void send_order(const OrderQueue::Item& item);

    // quarantine of requests and parts of prompts that crash endpoints
    void on_aborted(const Link::Ptr& link, const RequestsAborted& aborted, Time now);
    void on_suspects(const Link::Ptr& link, const SuspectRequests& received, Time now);
    void add_crash(const Fingerprint& content, bool quarantined, Time now,
                   SuspectRequests& updates);
    void note_answered(const std::vector<Fingerprint>& parts, Time now);
    void clear(const std::vector<Fingerprint>& contents);
    void note_quarantined(const Fingerprint& content, Time now);
    void send_decision_to_peers(const SuspectRequest& held);
    void propose_missing_quarantines();
    void quarantine_applied();
    void propose_quarantine(const SuspectRequest& held);
    void probe_aborting_endpoints(const SuspectRequest& held);

    // limits and shutdown notices that endpoints send in their answers
    void on_leaving(const Link::Ptr& link, const EndpointsLeaving& received, Time now);
    void send_endpoint_signals(const Link::Ptr& link, Time now) const;
    void expire_endpoint_signals(Time now);
    void on_limit_reports(const Link::Ptr& link, const LimitReports& received, Time now);
    void grant_limit_shares(const Link::Ptr& link, const LeaseRenewal& renew, Time now);

    // load reports of the entry hosts
    void on_load_reports(const GroupLoadReports& shares, Time now);
    void send_load(Time now);

    // demand that the entry hosts report
    void update_demand(Time now);
    void log_demand();
    void add_demand_gauges(const EngineCost& engine);
    // admission under overload
    void send_admission(Time now);
    void send_admission_if_supply_changed(Time now);

    void tick();
    void note_late_tick(Time now);
    void run_housekeeping();
    void log_peers_behind() const;

    asio::io_context& io_;
    SiteConfig config_;
    EndpointOrders& orders_;
    DocumentDecoder decode_;
    Identity identity_;
    ClusterKeys keys_ = ClusterKeys::none();
    std::shared_ptr<Storage> storage_;
    std::unique_ptr<Replica> replica_; // null while the storage fails
    NodeId node_ = NoNode;
    Time reopen_due_{};
    VoterSelector voter_selector_;
    std::unique_ptr<LinkListener> listener_;
    std::map<std::string, Peer> peers_; // by link address
    std::set<NodeId> nodes_;            // the other known control hosts
    std::map<std::string, EntrySession> entries_;
    EntryTotals entry_totals_;
    Registry registry_;
    RegistryRepair repair_;
    std::unique_ptr<EndpointCacheFile> endpoint_cache_;
    CachedEndpoints cached_;         // read at the start, until it is outdated
    bool caught_up_ = false;         // with the leaves that the log held at the start
    bool peer_has_registry_ = false; // another control host has a complete registry
    Time started_{};
    Time cache_write_due_{};
    std::set<std::string> services_;                          // of the document in force
    std::map<ReportFault, RejectedReports> rejected_reports_; // by fault
    ChangeFeed changes_;                                      // to be sent to other hosts
    std::set<Epoch> dissolved_;                               // that entry hosts were notified of
    std::set<EndpointId> alive_; // that sent a report since the last flush
    GroupController groups_;
    ProbeQueue probes_;
    std::vector<WaitingCall> waiting_;
    std::vector<WaitingOrder> waiting_orders_;
    std::vector<WaitingLeave> waiting_leaves_;
    Departures proposed_leaves_;                    // in this term, and not yet applied
    std::set<EndpointId> confirmed_drains_;         // that this host has acknowledged
    std::map<EndpointId, Time> departures_noticed_; // since when this host has led with them
    Version applied_departures_ = 0; // log index of the last change of the departures
    Version applied_document_ = 0;
    Version applied_zones_ = 0; // log index of the last change of a zone's use
    Version proposed_document_ = 0;
    bool leaving_ = false;
    bool was_leader_ = false;
    Time leads_since_{};
    Term known_term_ = 0;
    Time term_began_{};
    Time last_term_began_{}; // start of the previous term, or of this process where that is later
    bool pump_posted_ = false;
    Quarantine quarantine_;
    std::map<Fingerprint, QuarantineRecord> applied_quarantine_; // as of the replicated log
    std::map<EndpointId, Time> leaving_endpoints_;               // since when, by their answers
    ReportedLimits limits_;
    LimitAllocator allocator_;
    RetryShareAllocator retry_shares_;
    EntryLoadTable loads_;
    Time load_due_{};
    DemandTable demand_;
    std::map<std::string, EngineCost> engines_; // of the document in force, by service
    AdmissionPlanner admission_;
    AdmissionLog admission_log_;
    std::map<std::pair<std::string, std::string>, double> planned_groups_; // by service and model
    bool sent_levels_ = false; // the last admission plan was not empty
    Time admission_due_{};
    std::map<std::string, double> logged_demand_; // work by model, of the last line in the log
    Time last_tick_{};
    LongestStep steps_; // of this event loop, since the last tick
    Time housekeeping_due_{};
    Time alive_due_{};
    Time plan_due_{};
    ThrottledWork planning_;
    ThrottledWork sending_changes_; // sends changes of endpoints to peers and entry hosts
    Ticker ticker_;
    OwnedGauges gauges_;
};

} // namespace liftweir

#endif // COORDINATOR_H_INCLUDED
