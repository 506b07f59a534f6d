// Run by liftweir-control: the event loop of a control host. It drives one replica of the
// replicated log and, while that replica leads, the planner of the serving groups.

#ifndef CONTROL_H_INCLUDED
#define CONTROL_H_INCLUDED

#include "connection/httpserver.h"
#include "connection/link.h"
#include "process/config.h"
#include "process/placement.h"
#include "process/replica.h"
#include "process/settingsrollout.h"
#include "process/ticker.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace liftweir {

// Single-threaded. All decisions are made in the state machines that it drives.
class Control {
  public:
    // Opens the data directory and the replica in it. Fails with Damaged or Storage.
    static Expected<std::unique_ptr<Control>> open(asio::io_context& io,
                                                   const ProcessConfig& config);
    ~Control();

    void start();
    void stop();

    // Used by the administration interface.
    Replica& replica() { return *replica_; }
    const PlacementPlanner& planner() const { return planner_; }
    const ProcessConfig& config() const { return config_; }
    const Identity& identity() const { return identity_; }
    const ClusterKeys& keys() const { return keys_; }
    std::map<std::string, PlacementSettings> placement_by_site() const;
    void propose(const Command& command, Replica::Answer answer);
    void propose_voters(const Voters& voters, Replica::Answer answer);
    void read(Replica::ReadAnswer answer);
    // Calls `done` once the settings version is in force at every entry host.
    void when_in_force(Version version, std::function<void()> done);
    void pump_soon();
    Time now() const { return BootClock::now(); }

  private:
    Control(asio::io_context& io, const ProcessConfig& config, std::unique_ptr<Storage> storage,
            std::unique_ptr<Replica> replica);

    void tick();
    void pump();
    void send_raft(const std::vector<RaftEnvelope>& messages);
    void record_leadership_change();
    void plan();
    void plan_retirements();
    void expire_claims();
    void on_applied(Index index, const Command& command, const ApplyResult& result);
    void push_tables();
    void push_orders();

    void on_message(const Link::Ptr& link, WireMessage&& message);
    void on_down(const Link::Ptr& link);
    void on_agent_status(const Link::Ptr& link, const AgentStatus& status);
    void on_renew(const Link::Ptr& link, const LeaseRenewal& renew);
    void on_command(const Link::Ptr& link, const CommandRequest& request);
    LeaseAck make_lease_ack(const LeaseRenewal& renew) const;
    AgentOrder order_for(const Host& host, const AgentStatus& status) const;

    struct AgentSession {
        Link::Ptr link;
        AgentStatus status;
        bool registering = false;
    };
    struct EntrySession {
        Link::Ptr link;
        LeaseRenewal renew;
        Time last_renewal{};
    };

    asio::io_context& io_;
    ProcessConfig config_;
    Identity identity_;
    ClusterKeys keys_;
    std::unique_ptr<Storage> storage_;
    std::unique_ptr<Replica> replica_;
    PlacementPlanner planner_;
    SettingsRollout in_force_;
    std::unique_ptr<LinkListener> listener_;
    std::unique_ptr<HttpServer> http_;
    std::map<NodeId, std::unique_ptr<Dialer>> peers_;
    std::map<HostName, AgentSession> agents_;
    std::map<std::string, EntrySession> entries_;
    mutable std::map<std::string, PlacementSettings> placement_cache_;
    mutable Version placement_cache_version_ = 0;
    mutable std::size_t placement_cache_sites_ = 0;
    Ticker ticker_;
    bool pump_posted_ = false;
    bool was_leader_ = false;
    std::size_t unapplied_commands_ = 0; // commands of the planner that are not applied yet
    Version sent_table_version_ = 0;
    Version sent_lease_version_ = 0;
    Version ordered_table_version_ = 0;
    Time plan_due_{};
    Time claim_expiry_due_{};
};

// Returns the handler of the administration interface (admin.cpp).
HttpHandler admin_handler(Control& control);

} // namespace liftweir

#endif // CONTROL_H_INCLUDED
