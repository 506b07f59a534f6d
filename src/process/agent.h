// Run by liftweir-agent: the admission check in front of one endpoint. The agent holds at most one
// serving group, forwards attempts of entry hosts to its endpoint and watches the endpoint's
// process.

#ifndef AGENT_H_INCLUDED
#define AGENT_H_INCLUDED

#include "connection/endpoint.h"
#include "connection/httpserver.h"
#include "connection/link.h"
#include "connection/relay.h"
#include "process/config.h"
#include "process/gate.h"
#include "process/ticker.h"
#include "request/fairqueue.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace liftweir {

// Obeys only the leading control host. Reports an attempt as "not run" only where the endpoint
// never received it.
class Agent {
  public:
    Agent(asio::io_context& io, const ProcessConfig& config);
    ~Agent();

    void start();
    // The first call admits no new attempts, finishes the running ones and then stops the event
    // loop. The second call stops it at once.
    void leave();

  private:
    struct AttemptState {
        Attempt attempt;
        Link::Ptr link;
        Time deadline{};
        Time started{};
        HttpCallId call = 0;
        bool running = false;
        std::unique_ptr<Relay> relay;
    };

    // A started attempt that failed at the endpoint. The entry host is notified after a probe has
    // shown whether the endpoint's process is still there.
    struct FailedAttempt {
        AttemptId id;
        Link::Ptr link;
        Time started{};
        FailureKind kind = FailureKind::EndpointFailed;
        bool probed = false; // the probe in flight was sent after the failure
    };

    static constexpr std::size_t DefaultSlots = 32;
    static constexpr std::size_t DefaultQueueLength = 256;

    void reset_endpoint();
    void tick();
    void check_pause(Time now);
    void check_gate(Time now);
    void maybe_stop();

    // control hosts
    void send_status();
    void on_control(std::size_t index, WireMessage&& message);
    void on_order(const AgentOrder& order);
    void accept_assignment(const Assignment& assignment);
    void load(Epoch epoch);
    void drop_group(Epoch fence, const std::string& cause);
    AgentStatus status() const;

    // the endpoint's process
    void probe_endpoint_if_due(Time now);
    void probe_endpoint();
    void on_probed(Epoch epoch, EndpointHealth health);
    void report_failed(bool all);
    void endpoint_ended();
    void await_endpoint();
    void on_endpoint_back();

    // pings between the members of a group
    void receive_datagram();
    void send_datagram(const std::string& address, const Datagram& datagram);

    // entry hosts
    void on_entry_message(const Link::Ptr& link, WireMessage&& message);
    void on_entry_down(const Link::Ptr& link);
    void on_attempt(const Link::Ptr& link, Attempt&& attempt);
    std::optional<FailureKind> refusal(const Attempt& attempt) const;
    void refuse(const Link::Ptr& link, const AttemptId& id, FailureKind reason,
                Duration retry_after);
    void on_cancel(const AttemptId& id);
    void on_credit(const Credit& credit);
    void start_queued();
    void start(AttemptState& work);
    void send_chunks(AttemptState& work);
    void on_done(const AttemptId& id, const Expected<int>& result, bool started);
    void fail_all(FailureKind reason);
    void mark_seen(const AttemptId& id);
    void send_gate_state();
    GateState gate_state() const;
    bool admits() const;
    std::size_t in_flight() const { return attempts_.size() + failed_attempts_.size(); }

    asio::io_context& io_;
    ProcessConfig config_;
    Identity identity_;
    ClusterKeys keys_;
    std::unique_ptr<Endpoint> endpoint_;
    std::vector<std::unique_ptr<Dialer>> control_;
    std::vector<NodeId> control_nodes_;
    std::size_t current_control_ = 0; // index of the control host that is believed to lead
    Time last_order_at_{};            // time of the last order from a leading control host
    Time status_due_{};
    Term term_ = 0;
    bool registered_ = false;
    bool endpoint_reset_ = false;
    int failed_resets_ = 0;
    std::unique_ptr<LinkListener> listener_;
    std::set<Link::Ptr> entries_;
    std::unique_ptr<HttpServer> http_;
    asio::ip::udp::socket ping_socket_;
    asio::ip::udp::endpoint ping_sender_;
    std::string ping_buffer_;
    Ticker ticker_;
    Time last_tick_{};

    std::unique_ptr<Gate> gate_;
    AgentPhase phase_ = AgentPhase::Idle;
    Epoch fence_ = NoEpoch;
    bool was_open_ = false;
    bool leaving_ = false;
    Time leaving_since_{};
    Time drained_since_{};

    std::vector<FailedAttempt> failed_attempts_;
    bool probing_ = false;
    bool endpoint_gone_ = false; // the endpoint's process ended and does not answer yet
    Time probe_due_{};

    FairQueue queue_;
    std::map<AttemptId, std::unique_ptr<AttemptState>> attempts_;
    // Ids of received and cancelled attempts: a delayed copy of one of them must not start.
    std::set<AttemptId> seen_attempts_;
    std::deque<AttemptId> seen_attempts_order_;
};

} // namespace liftweir

#endif // AGENT_H_INCLUDED
