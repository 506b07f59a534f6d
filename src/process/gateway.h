// Run by liftweir-site-entry, where endpoints register themselves: admits callers' requests, and
// forwards them to endpoints by the newest document of the operators that is known to be in force.

#ifndef GATEWAY_H_INCLUDED
#define GATEWAY_H_INCLUDED

#include "connection/link.h"
#include "process/admissionlog.h"
#include "process/leaseholder.h"
#include "process/metrics.h"
#include "process/quarantine.h"
#include "process/registryrepair.h"
#include "process/siteconfig.h"
#include "process/ticker.h"
#include "request/admissionlevels.h"
#include "request/answeredparts.h"
#include "request/callerwait.h"
#include "request/demandmeter.h"
#include "request/entryloadtable.h"
#include "request/loadshare.h"
#include "request/relayedcall.h"
#include "request/retryshare.h"
#include "request/startupqueue.h"
#include "request/unreadanswers.h"
#include "request/urgencyranks.h"
#include "version/deployment.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace liftweir {

// Why a request is refused by what its head tells. It has not run.
struct GatewayRefusal {
    int status = 0;
    const char* kind = "";
    Duration retry_after{};
};

// Single-threaded.
class Gateway final : public RelayedCallContext, private RequestScreen {
  public:
    using Decoder = std::function<Expected<Deployment>(const std::string& body)>;

    Gateway(asio::io_context& io, SiteConfig config, const CallerProtocol& protocol,
            Decoder decode);
    ~Gateway() override;
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    void start();
    // Applies a changed settings file. Only the seeds may change while the process runs.
    void reconfigure(const SiteConfig& config);
    // Admits no new requests, finishes those in flight, then stops the event loop.
    void leave();

  private:
    Directory& directory() override { return directory_; }
    HttpChannelPool& pool() override { return *pool_; }
    MemoryBudget& response_memory() override { return response_memory_; }
    const CallerProtocol& protocol() const override { return protocol_; }
    WindowedRetryBudget& budget(const std::string& service) override;
    bool discovering_endpoints(Time now) const override;
    void report_limit(const EndpointId& id, const ResponseSignals& note, Time sent) override;
    void mark_leaving(const EndpointId& id) override;
    void note_backoff(const EndpointId& id, const ResponseSignals& note) override;
    void unreachable(const EndpointId& id) override;
    const Quarantine& quarantine() const override { return quarantine_; }
    AdmissionRefusal check_admission(const RelayedCallRoute& route,
                                     const std::string& model) override;
    void aborted(const AbortedRequest& request, const std::vector<Fingerprint>& parts,
                 const EndpointId& id) override;
    void cleared(const Fingerprint& content) override;
    void answered(const std::vector<Fingerprint>& parts) override;
    void count_demand(const MeteredRequest& request, DemandEvent event) override;
    bool books_retries() const override { return config_.book_retries; }
    Duration opens_in(const std::string& service, const std::string& model) const override;
    void ended(const CallSummary& summary) override;

    // links to control hosts
    void connect_to(const std::string& address);
    void renew(Time now);
    void renew_soon(const std::string& address);
    void renew_all_soon();
    void close_unresponsive_links(Time now);
    void on_message(const std::string& address, WireMessage&& message);
    void choose_source();
    void choose_restored_from(Time now);
    void forget_announced(const std::string& address);
    Version announced_version(const std::string& address) const;
    LeaseRenewal make_renew(const std::string& address, Time now);
    void on_lease_ack(const std::string& address, const LeaseAck& lease_ack);
    void update_load_share(const std::string& address, const LeaseAck& lease_ack);
    void take_retry_share(const LeaseAck& lease_ack, Time now);
    void record_lease_change(Time now);
    void send_load(Time now);
    void send_demand(Time now);
    Dialer* leader_link();
    void on_document(const DocumentPush& push);
    void on_zones(const ZonesOutOfUse& zones, Version document, Time now);
    void on_admission_plan(const AdmissionPlan& plan);
    void send_to_control(const WireMessage& message);
    bool lease_holds(Time now) const;

    // registrations of endpoints, from control hosts
    void on_changes(const EndpointChanges& changes);
    void on_digests(const std::string& address, const RegistryDigests& digests);
    void request_ranges(const std::string& address, const std::vector<std::uint32_t>& ranges);
    void request_agreed_ranges(Time now);
    void close_connections(const EndpointReport& report);
    void on_restored(const EndpointsRestored& remembered);
    void forget_unknown(const std::vector<EndpointId>& unknown);

    // quarantine of requests and parts of prompts that crash endpoints
    // What one endpoint aborted and control hosts have not been told yet.
    struct AbortReport {
        std::vector<AbortedRequest> requests;
        std::map<Fingerprint, std::uint32_t> parts; // time in ms since the latest was sent
    };
    void send_aborted();
    void send_suspects(const std::string& address);
    void on_suspects(const std::string& address, const SuspectRequests& received);
    void send_answered(const std::string& address, const std::vector<SuspectRequest>& suspects);
    void note_quarantined(const Fingerprint& content, Time now);

    // limits and shutdown notices that endpoints send in their answers
    void on_leaving(const EndpointsLeaving& received);
    void send_limits(Time now);
    void on_limit_reports(const LimitReports& received);
    void on_limit_shares(const std::string& address, const LimitShares& granted);
    static void note_ignored_header(const EndpointId& id, const char* what, NumberFault fault);
    void limit_changed(const EndpointId& id, const char* from);

    // calls
    void put_in_force(Deployment deployment);
    void on_request(const std::shared_ptr<HttpExchange>& exchange);
    void admit(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request);
    void note_admitted_while_leaving(const HttpExchange& exchange, const CallerRequest& request,
                                     Time now);
    bool in_service(Time now) const;
    void admit_queued(Time now);
    // Called before a large body is read.
    std::optional<HttpRefusal> refuse(const RequestView& head) override;
    // Counts and logs the refusal.
    HttpRefusal refusal_of(const CallerRequest& request, const GatewayRefusal& refusal);
    void respond_error(HttpExchange& exchange, const CallerRequest& request,
                       const GatewayRefusal& refusal);
    // Sets the route and the customer of a request in the plan. Returns a refusal if there is none.
    std::optional<GatewayRefusal> find_route(const CallerRequest& request, Time now,
                                             RelayedCallRoute& plan) const;
    std::optional<GatewayRefusal> authorise(const CallerRequest& request, Time now,
                                            RelayedCallRoute& plan) const;
    const Service* choose_service(const RouteTable& table, const Route& route);
    std::set<std::shared_ptr<RelayedCall>> calls() const { return calls_; }
    void tick();
    void check_stalls(Time now);
    void report_stall(const EndpointId& id, Time now);
    void end_unread(Time now);
    void end_unread(const EndedAnswer& ended);

    // shutdown
    bool ready() const;
    bool is_draining(Time now) const;
    bool drained(Time now);
    void maybe_stop(Time now);
    void stop(Duration last_answers);

    asio::io_context& io_;
    SiteConfig config_;
    const CallerProtocol& protocol_;
    Decoder decode_;
    Identity identity_;
    ClusterKeys keys_ = ClusterKeys::none();
    LeaseHolder lease_;
    bool had_lease_ = false;
    bool ever_in_service_ = false;
    Time in_service_since_{};
    CallerWaitEstimator waits_;
    StartupQueue startup_queue_; // holds requests until this host is first in service
    Directory directory_;
    std::unique_ptr<HttpChannelPool> pool_;
    MemoryBudget response_memory_;
    std::unique_ptr<HttpServer> callers_;
    std::unique_ptr<HttpServer> ready_;
    std::unique_ptr<HttpServer> metrics_;
    std::map<std::string, std::unique_ptr<Dialer>> control_; // by link address
    std::map<std::string, NodeId> nodes_; // by link address, from the control hosts' answers
    std::map<std::string, std::uint64_t> listed_nodes_; // digest of the nodes listed, by address
    std::map<std::string, Version> announced_versions_; // newest document, by link address
    std::string source_;        // control host that is asked for the document
    std::string restored_from_; // control host that is asked for the endpoints it knew before
    Time restored_due_{};       // when another one is asked
    std::size_t restored_tries_ = 0;
    bool restored_received_ = false;
    StoredDocument document_;
    std::shared_ptr<const RouteTable> table_;
    UrgencyRanks urgency_ranks_; // by the document in force
    AdmissionLevels admission_;
    AdmissionLog admission_log_;
    std::map<std::string, WindowedRetryBudget> budgets_; // by service
    HeldRetryShare retry_share_;                         // of each of them
    std::set<std::shared_ptr<RelayedCall>> calls_;
    RegistryRepair repair_;
    std::map<EndpointId, Time> stall_reports_; // when a stall was last reported to control hosts
    Quarantine quarantine_;
    AnsweredParts answered_parts_;
    std::map<EndpointId, AbortReport> aborted_;
    std::set<EndpointId> unconfirmed_; // cached endpoints without a report since
    std::uint64_t calls_admitted_ = 0;
    ReportedCalls reported_calls_;
    LoadShare load_share_;
    std::minstd_rand random_;
    NodeId leader_ = NoNode;          // as control hosts report it
    Duration load_report_interval_{}; // interval of the load reports
    bool sent_load_ = false;          // the last load report was not empty
    Time load_report_due_{};
    DemandMeter demand_;
    bool sent_demand_ = false; // the last demand report was not empty
    Time demand_report_due_{};
    Time renew_due_{};                           // of the source, or of any other control host
    std::map<std::string, Time> link_renew_due_; // by link address
    Time housekeeping_due_{};
    UnreadAnswers unread_;
    Time unread_due_{}; // of the next measurement of the answers that callers have not read
    Time leaving_since_{};
    Time drained_since_{};
    bool stopped_ = false; // the last answers are being sent; no request is admitted any more
    Ticker ticker_;
    OwnedGauges gauges_;
};

} // namespace liftweir

#endif // GATEWAY_H_INCLUDED
