// One thread of an entry host: accepts requests and relays them to agents. Run by liftweir-entry.

#ifndef SHARD_H_INCLUDED
#define SHARD_H_INCLUDED

#include "connection/httpserver.h"
#include "connection/link.h"
#include "process/config.h"
#include "process/ticker.h"
#include "request/call.h"
#include "request/callerapi.h"
#include "request/retry.h"
#include "request/routing.h"
#include "version/table.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace liftweir {

// State shared by the threads of an entry host. All members are atomic or immutable.
struct EntryShared {
    ProcessConfig config;
    Identity identity;
    ClusterKeys keys;
    std::atomic<std::shared_ptr<const Table>> table;
    std::atomic<std::int64_t> lease_until{0}; // boot clock, ns
    std::atomic<bool> leaving{false};         // not ready, but still serving
    std::atomic<bool> draining{false};        // takes no new request
    std::atomic<std::uint64_t> next_sequence{1};
    std::atomic<std::uint64_t> calls{0}; // in progress
    RetryBudget retries;

    // Passes a command to the thread that is connected to control. The callback may run on any
    // thread.
    using CommandAnswer = std::function<void(const CommandReply&)>;
    std::function<void(Command, CommandAnswer)> submit;

    explicit EntryShared(const ProcessConfig& c);
    bool lease_holds(Time now) const {
        return now.time_since_epoch().count() < lease_until.load(std::memory_order_acquire);
    }
};

// Each thread has its own listener, links to the agents and calls. A request stays on the thread
// that accepted it.
class Shard {
  public:
    Shard(EntryShared& shared, std::uint64_t seed);
    ~Shard();

    void run();
    // Thread-safe.
    void table_changed();
    // Stops accepting connections. Open ones are closed after their next answer, idle ones at once.
    void drain();
    // Whether a request is being read or an answer is not fully sent. True until drain() has begun.
    bool busy() const { return busy_.load(std::memory_order_relaxed); }
    void stop();

  private:
    class CallPlacer;
    struct ActiveCall;

    void on_request(std::shared_ptr<HttpExchange> exchange);
    void admit(const std::shared_ptr<HttpExchange>& exchange,
               const std::shared_ptr<const Table>& table, const Customer& customer);
    void run_actions(ActiveCall& active, CallActions actions);
    void perform(ActiveCall& active, SendAttempt& action);
    void perform(ActiveCall& active, CancelRunningAttempt& action);
    void perform(ActiveCall& active, SendClaim& action);
    void perform(ActiveCall& active, SendCloseClaim& action);
    void perform(ActiveCall& active, SendDropClaim& action);
    void perform(ActiveCall& active, BeginStream& action);
    void perform(ActiveCall& active, StreamBytes& action);
    void perform(ActiveCall& active, EndStream& action);
    void perform(ActiveCall& active, WholeAnswer& action);
    void perform(ActiveCall& active, FailCall& action);
    void arm_timer(ActiveCall& active);
    void finish(std::uint64_t sequence);
    void record_end(const AttemptId& id, std::uint32_t running, std::uint32_t waiting);
    ActiveCall* find(std::uint64_t sequence);

    void sweep_draining();
    void sync_dialers();
    void apply_gate(const GateState& state);
    void on_agent_message(const std::string& address, WireMessage&& message);
    void on_link_down(const std::string& address);

    EntryShared& shared_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::unique_ptr<HttpServer> http_;
    Router router_;
    std::map<std::string, std::unique_ptr<Dialer>> dialers_; // by agent address
    std::map<std::string, GateState> gates_;
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveCall>> calls_;
    std::atomic<bool> busy_{true};
    Ticker drain_sweep_;
};

} // namespace liftweir

#endif // SHARD_H_INCLUDED
