#ifndef COORDINATOR_H_INCLUDED
#define COORDINATOR_H_INCLUDED

#include "connection/link.h"
#include "process/endpointcachefile.h"
#include "process/groupcontroller.h"
#include "process/limitallocator.h"
#include "process/metrics.h"
#include "process/quarantine.h"
#include "process/registry.h"
#include "process/registryrepair.h"
#include "process/reportedlimits.h"
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

// How orders reach endpoints. Implemented by whoever knows their protocol.
class EndpointOrders {
  public:
    virtual ~EndpointOrders() = default;
    virtual void send(const EndpointOrder& order, std::function<void(OrderAnswer)> answered) = 0;
    // Asks an endpoint for a sign of life; false where it gave none in time, or another incarnation
    // has its address.
    virtual void probe(const EndpointReport& endpoint, std::function<void(bool)> answered) = 0;
};

// Reads the operators' document. Fails with BadSettings, never with a part of it.
using DocumentDecoder = std::function<Expected<Deployment>(const std::string& body)>;

// A control host where endpoints register themselves: keeps the operators' document in the
// replicated log, merges registrations, and while it leads, keeps the voters complete and plans
// the groups. Single-threaded; all decisions are in the state machines that it drives.
class Coordinator {
  public:
    using Done = std::function<void(const Expected<void>&)>;
    using Read = std::function<void(const Expected<StoredDocument>&)>;

    // Fails with Storage where the data folder can not be opened at all.
    static Expected<std::unique_ptr<Coordinator>> open(asio::io_context& io,
                                                       const SiteConfig& config,
                                                       EndpointOrders& orders,
                                                       DocumentDecoder decode);
    ~Coordinator();

    void start();
    // The settings file has changed.
    void reconfigure(const SiteConfig& config);

    // Answers the operators' calls that wait, and takes no more: another host may lead soon.
    void leave();

    // Done once the document, or a newer one, is on enough disks. NotLeader names no one else:
    // see leader_ip.
    void replace_document(Version version, const std::string& body, Done done);
    void read_document(Read read);
    // Where the leader is; empty where none is known, or this host leads.
    std::string leader_ip() const;
    // This host leads, and knows what was committed before.
    bool leads() const { return !leaving_ && replica_ && replica_->raft().leads_with_commit(); }

    // An endpoint registered itself, or deregistered. Leaving is handed on before these return. A
    // report that is not taken changes nothing.
    ReportFault report(const EndpointReport& report);
    void gone(EndpointId id);
    // A report under the name was not taken: counted, and logged within bounds.
    void refused(const std::string& name, ReportFault fault);

  private:
    Coordinator(asio::io_context& io, SiteConfig config, EndpointOrders& orders,
                DocumentDecoder decode);

    // An entry host that has not renewed for so long is out of touch and not counted.
    static constexpr Duration EntrySessionKept = std::chrono::seconds(4);

    // Signs of life are gathered for so long before they are passed on.
    static constexpr Duration AliveEvery = std::chrono::milliseconds(500);

    // An entry host that renews here.
    struct EntrySession {
        Link::Ptr link;
        LeaseRenewal renew;
        Time heard{};
        Time digests_due{}; // told again how this host's registry differs
        Version pushed = 0; // index of the last document that was sent over the link
    };
    // Another control host.
    struct Peer {
        std::unique_ptr<Dialer> dialer;
        std::unique_ptr<Dialer> raft; // carries the log's packets alone
        NodeId node = NoNode;
    };
    // Reports of one fault that were not taken.
    struct RefusedReports {
        Time logged{};
        std::uint64_t since = 0; // not told in the log yet
    };
    // An operator's call that waits for its document to be on enough disks.
    struct Waiting {
        Version version = 0;
        Done done;
        Time begun{};
    };

    // storage and log
    Expected<void> open_replica();
    Expected<void> open_replica_as(NodeId node);
    Expected<void> empty_folder();
    void storage_failed(const Failure& failure);
    void pump();
    void pump_soon();
    void send_raft(const std::vector<RaftEnvelope>& messages);
    void note_term();
    void note_leadership();
    void keep_voters();
    Voters learners() const;
    std::vector<NodeView> views_of(Voters nodes) const;
    void settle_waiting();
    static void acknowledge(const Waiting& item);
    bool durable(const StoredDocument& document) const;
    void document_applied();
    void push_document();
    void send_to_entries(const WireMessage& message);
    void send_to_peers(const WireMessage& message);
    void push_document_to(EntrySession& session);

    // links
    void connect_to(const std::string& address);
    void learn(NodeId node);
    void greet(Peer& peer);
    void greet_all();
    void on_message(const Link::Ptr& link, WireMessage&& message);
    void on_raft(const Link::Ptr& link, const RaftPacket& packet, Time now);
    void on_suspected(const GroupSuspected& suspected, Time now);
    void on_down(const Link::Ptr& link);
    void on_hello(const PeerHello& hello);
    void on_renew(const Link::Ptr& link, const LeaseRenewal& renew);
    LeaseAck make_lease_ack(std::uint64_t sequence) const;
    std::vector<NodeId> known_nodes() const;

    // registrations
    ReportFault fault_here(const EndpointReport& report) const;
    void merge(const EndpointReport& report, bool first_hand, Time heard);
    void on_changes(const EndpointChanges& changes, Time now);
    void on_alive(const EndpointsAlive& alive, Time now);
    void changed(const EndpointReport& report, bool to_peers);
    void pass_on_doubted(const EndpointReport& report);
    void pass_on_settled();
    void settle_doubts(Time now);
    void send_changes();
    void flush_alive();
    bool settled(Time now) const;
    void keep_roster(Time now);
    void on_digests(const Link::Ptr& link, const RegistryDigests& digests, Time now);
    void send_ranges(const Link::Ptr& link, const RangesRequested& wanted, Time now) const;

    // groups
    void plan();
    void plan_soon();
    void probe(const GroupController::Probe& asked, Time now);
    void tell_dissolved(const Link::Ptr& only);
    void send_orders();
    void give(const OrderQueue::Item& item);

    // requests that end endpoints
    void on_aborted(const Link::Ptr& link, const RequestsAborted& aborted, Time now);
    void on_suspicions(const Link::Ptr& link, const SuspectRequests& told, Time now);
    void clear(const std::vector<Fingerprint>& contents);
    void note_quarantined(const Fingerprint& content, Time now);
    void tell_peers(const SuspectRequest& held);
    void keep_quarantine();
    void quarantine_applied();
    void propose_quarantine(const SuspectRequest& held);
    void ask_whether_ended(const SuspectRequest& held);

    // what endpoints say in their answers
    void on_leaving(const Link::Ptr& link, const EndpointsLeaving& told, Time now);
    void tell_answers(const Link::Ptr& link, Time now) const;
    void forget_answers(Time now);
    void on_limit_words(const Link::Ptr& link, const LimitReports& told, Time now);
    void lend_limits(const Link::Ptr& link, const LeaseRenewal& renew, Time now);

    // what entry hosts have under way
    void on_shares(const GroupLoadReports& shares, Time now);
    void tell_shares(Time now);

    void tick();
    void every_second();
    void note_peers_behind() const;

    asio::io_context& io_;
    SiteConfig config_;
    EndpointOrders& orders_;
    DocumentDecoder decode_;
    Identity identity_;
    ClusterKeys keys_ = ClusterKeys::none();
    std::shared_ptr<Storage> storage_;
    std::unique_ptr<Replica> replica_; // null while the disk refuses to work
    NodeId node_ = NoNode;
    Time reopen_due_{};
    VoterSelector voter_selector_;
    std::unique_ptr<LinkListener> listener_;
    std::map<std::string, Peer> peers_; // by link address
    std::set<NodeId> nodes_;            // control hosts heard of, without this one
    std::map<std::string, EntrySession> entries_;
    Registry registry_;
    RegistryRepair repair_;
    std::unique_ptr<EndpointCacheFile> endpoint_cache_;
    std::vector<EndpointReport> remembered_; // from before the start; empty once that is old
    bool peer_settled_ = false;              // another control host ran on while this one did not
    Time started_{};
    Time roster_due_{};
    std::set<std::string> services_;                // of the document in force
    std::map<ReportFault, RefusedReports> refused_; // by what was wrong with them
    std::vector<EndpointReport> changes_;           // to peers and entry hosts
    std::vector<EndpointReport> entry_changes_;     // to entry hosts only
    std::set<Epoch> dissolved_;                     // told to entry hosts
    std::set<EndpointId> alive_;                    // heard since the last flush
    GroupController groups_;
    std::vector<Waiting> waiting_;
    Version applied_document_ = 0;
    Version proposed_document_ = 0;
    bool leaving_ = false;
    bool led_ = false;
    Time leads_since_{};
    Term known_term_ = 0;
    Time term_began_{};
    Time last_term_began_{}; // of the term before; not before this process
    bool pump_posted_ = false;
    Quarantine quarantine_;
    std::map<Fingerprint, QuarantineRecord> applied_quarantine_; // of the log
    std::map<EndpointId, Time> leaving_endpoints_;               // by their answers, since when
    ReportedLimits limits_;
    LimitAllocator allocator_;
    EntryLoadTable work_;
    Time shares_due_{};
    Time second_due_{};
    Time alive_due_{};
    Time plan_due_{};
    ThrottledWork planning_;
    ThrottledWork telling_; // changes of endpoints, to peers and entry hosts
    Ticker ticker_;
    OwnedGauges gauges_;
};

} // namespace liftweir

#endif // COORDINATOR_H_INCLUDED
