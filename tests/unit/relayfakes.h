// Stand-ins for what a RelayedCall works with: the caller, the entry host and its connections.

#ifndef RELAYFAKES_H_INCLUDED
#define RELAYFAKES_H_INCLUDED

#include "platform/callers.h"
#include "request/relayedcall.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace liftweir {

// A request without a connection. Records the response.
class FakeExchange final : public HttpExchange {
  public:
    ConnectionId connection() const override { return {}; }
    void set_label(std::string) override {}
    std::string_view method() const override { return "POST"; }
    std::string_view target() const override { return "/v1/generate"; }
    std::string_view path() const override { return target(); }
    std::string_view query() const override { return {}; }
    std::string_view body() const override { return {}; }
    const HttpHeaders& headers() const override { return headers_; }
    std::string header(std::string_view) const override { return {}; }
    Time received() const override { return received_; }
    bool on_reused_connection() const override { return false; }
    void respond(int code, const HttpHeaders&, std::string body) override {
        status = code;
        body_sent = std::move(body);
        responded = true;
        ++ends;
    }
    void begin(int code, const HttpHeaders&) override { status = code; }
    void write(std::string bytes, std::function<void(bool)> on_written) override {
        EXPECT_EQ(ends, 0) << "bytes after the end of the response";
        body_sent += bytes;
        unread_.push_back(std::move(on_written));
    }
    // The caller reads all that was written so far.
    void read_all() {
        for (const auto& on_written : std::exchange(unread_, {}))
            on_written(true);
    }
    void finish() override {
        finished = true;
        ++ends;
    }
    void abort() override {
        aborted = true;
        ++ends;
    }
    std::optional<Time> disconnected_at() const override { return {}; }
    void on_disconnect(std::function<void()>) override {}

    int status = 0;
    std::string body_sent;
    bool responded = false; // with a complete response
    bool finished = false;  // the last chunk was sent
    bool aborted = false;
    int ends = 0;

  private:
    std::vector<std::function<void(bool)>> unread_;
    HttpHeaders headers_;
    Time received_ = BootClock::now();
};

// Records each call, whose callbacks a test then invokes as the endpoint would.
class FakeChannelPool final : public HttpChannelPool {
  public:
    struct Call {
        std::string address;
        HttpRequestHead head;
        CallEvents events;
        std::shared_ptr<bool> cancelled = std::make_shared<bool>(false);
    };

    std::unique_ptr<HttpCallHandle> start(const std::string& address, const HttpRequestHead& head,
                                          const SharedBytes&, ChannelOptions,
                                          CallEvents events) override {
        calls.push_back({address, head, std::move(events)});
        return std::make_unique<Handle>(calls.back().cancelled);
    }
    void forget(const std::string&) override {}
    std::uint64_t opened() const override { return calls.size(); }

    std::vector<Call> calls;

  private:
    class Handle final : public HttpCallHandle {
      public:
        explicit Handle(std::shared_ptr<bool> cancelled) : cancelled_(std::move(cancelled)) {}
        void cancel() override { *cancelled_ = true; }
        void pause() override {}
        void resume() override {}

      private:
        std::shared_ptr<bool> cancelled_;
    };
};

// An entry host whose admission plan gives one answer to all requests.
class FakeRelayHost final : public RelayedCallContext {
  public:
    explicit FakeRelayHost(AdmissionRefusal refusal) : refusal_(refusal) { budget_.set_share(1); }

    Directory& directory() override { return directory_; }
    FakeChannelPool& pool() override { return pool_; }
    MemoryBudget& response_memory() override { return memory; }
    const CallerProtocol& protocol() const override { return protocol_; }
    WindowedRetryBudget& budget(const std::string&) override { return budget_; }
    bool discovering_endpoints(Time) const override { return false; }
    Quarantine& quarantine() { return quarantine_; }
    const Quarantine& quarantine() const override { return quarantine_; }
    AdmissionRefusal check_admission(const RelayedCallRoute&, const std::string&) override {
        ++checks;
        return refusal_;
    }
    void count_demand(const MeteredRequest&, DemandEvent event) override {
        refused += event == DemandEvent::Refused ? 1 : 0;
    }
    void aborted(const AbortedRequest&, const std::vector<Fingerprint>& parts,
                 const EndpointId&) override {
        ++aborts;
        suspect_parts = parts;
    }
    void answered(const std::vector<Fingerprint>& parts) override { answered_parts = parts; }
    void cleared(const Fingerprint&) override {}
    void report_limit(const EndpointId&, const ResponseSignals&, Time) override {}
    void note_backoff(const EndpointId&, const ResponseSignals&) override {}
    void mark_leaving(const EndpointId&) override {}
    void unreachable(const EndpointId&) override {}
    bool books_retries() const override { return false; }
    Duration opens_in(const std::string&, const std::string&) const override { return {}; }
    void ended(const CallSummary& summary) override { status = summary.status; }

    int checks = 0;
    int refused = 0;                         // counted as demand
    int aborts = 0;                          // reported of endpoints
    std::vector<Fingerprint> suspect_parts;  // of the request that was aborted last
    std::vector<Fingerprint> answered_parts; // of the request that was answered last
    MemoryBudget memory{64u << 20};
    int status = -1; // of the ended call; -1 while it has not ended

  private:
    AdmissionRefusal refusal_;
    Directory directory_{1};
    FakeChannelPool pool_;
    platform::ClientProtocol protocol_;
    WindowedRetryBudget budget_{std::chrono::seconds(10), 0.1, 10};
    Quarantine quarantine_;
};

} // namespace liftweir

#endif // RELAYFAKES_H_INCLUDED
