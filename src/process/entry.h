// Run by liftweir-entry: its main thread, which renews the settings lease with the control hosts,
// sends commands to them and publishes routing tables. The shards serve callers in their threads.

#ifndef ENTRY_H_INCLUDED
#define ENTRY_H_INCLUDED

#include "process/leaseholder.h"
#include "process/shard.h"
#include "process/ticker.h"

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace liftweir {

class Entry {
  public:
    Entry(asio::io_context& io, const ProcessConfig& config);
    ~Entry();

    void start();
    // The first call reports "not ready", finishes the streams and then stops the event loop. The
    // second call stops it at once.
    void leave();

  private:
    struct PendingCommand {
        Command command;
        EntryShared::CommandAnswer answer; // null where nothing waits for the reply
        Time first_sent{};
        Time sent{};
    };

    void tick();
    void renew(Time now);
    void submit(Command command, EntryShared::CommandAnswer answer);
    void send_pending(std::uint64_t id, PendingCommand& pending);
    void resend_pending(Time now);
    void on_lease_ack(const LeaseAck& lease_ack);
    void on_reply(const CommandReply& reply);
    void publish();
    void record_lease_change(Time now);
    void maybe_stop(Time now);
    Dialer* preferred_control();

    asio::io_context& io_;
    EntryShared shared_;
    TableBuilder builder_;
    LeaseHolder lease_;
    std::map<NodeId, std::unique_ptr<Dialer>> control_;
    NodeId leader_ = NoNode;
    std::map<std::uint64_t, PendingCommand> pending_;
    std::uint64_t next_id_ = 1;
    bool registering_ = false;
    bool had_lease_ = false;
    Time renew_due_{};
    Time leaving_since_{};
    bool accepting_ = true;
    std::unique_ptr<HttpServer> metrics_;
    std::vector<std::unique_ptr<Shard>> shards_;
    std::vector<std::thread> threads_;
    Ticker ticker_;
};

} // namespace liftweir

#endif // ENTRY_H_INCLUDED
