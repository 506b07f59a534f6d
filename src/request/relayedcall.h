// Relays one caller's HTTP request to an endpoint and the response back (liftweir-site-entry).

#ifndef RELAYEDCALL_H_INCLUDED
#define RELAYEDCALL_H_INCLUDED

#include "connection/httpserver.h"
#include "connection/memorybudget.h"
#include "process/quarantine.h"
#include "request/admissionlevels.h"
#include "request/callerprotocol.h"
#include "request/callerwait.h"
#include "request/demandmeter.h"
#include "request/directory.h"
#include "request/relayattempt.h"
#include "request/urgencyranks.h"
#include "request/windowedretrybudget.h"
#include "version/fingerprint.h"
#include "version/routetable.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace liftweir {

// The result of a call, for the metrics.
struct CallSummary {
    std::string route;
    int status = 0; // 0: the response was not completed
    Duration duration{};
    Duration first_event{}; // zero if no stream began
    Duration longest_pause{};
    std::uint32_t sends = 0;
    std::uint32_t resumed = 0;
    // Time from the caller's disconnect to the cancellation at its endpoint; empty if the caller
    // stayed connected or no endpoint had the request.
    std::optional<Duration> caller_gone;

    auto operator<=>(const CallSummary&) const = default;
};

// The route, service and customer of a caller's request.
struct RelayedCallRoute {
    std::shared_ptr<const RouteTable> table; // keeps route and service alive
    const Route* route = nullptr;
    const Service* service = nullptr;
    std::string customer;
    Duration waited_before{};  // by the caller, in earlier attempts
    std::uint32_t urgency = 0; // among the requests of the service; lower is more urgent
    UrgencyRank urgency_rank;
};

// What calls need from the entry host that they run on.
class RelayedCallContext {
  public:
    virtual ~RelayedCallContext() = default;
    virtual Directory& directory() = 0;
    virtual HttpChannelPool& pool() = 0;
    virtual MemoryBudget& response_memory() = 0;
    virtual const CallerProtocol& protocol() const = 0;
    virtual WindowedRetryBudget& budget(const std::string& service) = 0;
    // This process has started recently and may not know all endpoints yet.
    virtual bool discovering_endpoints(Time now) const = 0;
    virtual const Quarantine& quarantine() const = 0;
    // Whether the admission plan admits a caller's first attempt for the model now.
    virtual AdmissionRefusal check_admission(const RelayedCallRoute& route,
                                             const std::string& model) = 0;
    // The endpoint aborted the request. `parts` are the shared parts of its prompt that may have
    // crashed the endpoint.
    virtual void aborted(const AbortedRequest& request, const std::vector<Fingerprint>& parts,
                         const EndpointId& id) = 0;
    // An endpoint completed a request that it or another endpoint had aborted before.
    virtual void cleared(const Fingerprint& content) = 0;
    // An endpoint answers a request whose prompt has these shared parts.
    virtual void answered(const std::vector<Fingerprint>& parts) = 0;
    // The endpoint's response to a request sent at `sent` reports a rate limit, an invalid one or
    // none.
    virtual void report_limit(const EndpointId& id, const ResponseSignals& signals, Time sent) = 0;
    // The endpoint rejected a request and requested back-off, possibly with an invalid time.
    virtual void note_backoff(const EndpointId& id, const ResponseSignals& signals) = 0;
    // The endpoint announced its shutdown in a response.
    virtual void mark_leaving(const EndpointId& id) = 0;
    // An endpoint did not accept a connection.
    virtual void unreachable(const EndpointId& id) = 0;
    // Counts what callers ask for.
    virtual void count_demand(const MeteredRequest& request, DemandEvent event) = 0;
    // Whether refused callers get a time at which there is capacity for them.
    virtual bool books_retries() const = 0;
    // Time until the next group of the model opens; zero if unknown.
    virtual Duration opens_in(const std::string& service, const std::string& model) const = 0;
    // The call has ended; the host may destroy it from now on.
    virtual void ended(const CallSummary& summary) = 0;
};

// One caller's request from its arrival to the last byte of the response: sends it to an endpoint,
// forwards the response, and, where the route allows it, retries the request or resumes a broken
// stream at another endpoint. An endpoint that is quiet keeps the request until another one goes on
// with it.
class RelayedCall : public std::enable_shared_from_this<RelayedCall> {
  public:
    RelayedCall(RelayedCallContext& host, std::shared_ptr<HttpExchange> exchange,
                CallerRequest request, RelayedCallRoute plan);

    // Sends the request for the first time and counts it in its service's retry budget.
    void start();
    // Checks the time limits and retries a call that waits for an endpoint.
    void tick(Time now);
    // Ends the call if its request is quarantined now, unless the endpoint has sent an event.
    void check_quarantine(Time now);
    // All streams of the group that `lead` leads have stalled.
    void stalled(const EndpointId& lead, Time now);
    // Ends the call at once, since the process is shutting down.
    void abandon();
    // Ends the call after its connection was reset, and cancels the work of the endpoint.
    void end_unread();
    ConnectionId connection() const { return exchange_->connection(); }
    // The endpoint's response is not read until the caller reads.
    bool endpoint_waits() const { return current_.endpoint_waits; }
    bool done() const { return done_; }

  private:
    // sending
    void send_attempt(Time now);
    // Fails if no endpoint accepts the request now.
    tl::expected<void, NoPick> send_to_best(Time now);
    bool may_retry(Time now);
    void count_over_budget() const;
    bool refused_by_quarantine(Time now);
    // Remaining quarantine of the request or of a part of its prompt; zero if it may run.
    Duration quarantine_left(Time now);
    bool refused_by_admission();
    void send(const Pick& pick, Time now);
    void log_retry(const Pick& pick, Time now) const;
    void begin_attempt(const Pick& pick, Time now);
    void occupy_endpoint(const Pick& pick, Time now);
    void release(RelayAttempt& attempt);
    void release_all();
    // The attempt with this number; null if it has ended.
    RelayAttempt* find_attempt(std::uint64_t number);
    bool is_quiet(const RelayAttempt& attempt) const { return quiet_ && &attempt == &*quiet_; }
    // Whether another endpoint may be asked while the present one keeps the request.
    bool can_ask_another(Time now);
    void ask_another(const char* why, Time now);
    // Ends the attempt at the quiet endpoint.
    void drop_quiet();
    // The quiet endpoint has the request alone again. False if there is none.
    bool return_to_quiet(const char* why);
    // This attempt goes on with the response; the other one is cancelled. Returns it.
    RelayAttempt& choose(RelayAttempt& attempt);
    // Attempts that have run or may be running, without the latest.
    std::uint32_t earlier_runs() const { return runs_ + (quiet_ ? 1 : 0); }
    // What the request asks of the attempt's engine.
    EngineDemand engine_demand(const RelayAttempt& attempt) const {
        return {request_.prompt_tokens, attempt.low_priority};
    }
    CallEvents events_of(std::uint64_t number);
    Demand demand(Time now) const;
    void count_demand(DemandEvent event);
    // How long the caller has been waiting.
    Duration waited(Time now) const { return plan_.waited_before + (now - received_); }
    bool low_priority(Time now) const;
    CallerReturn caller_return() const;
    bool can_send_to_another(Time now);
    std::uint32_t runs_allowed() const;
    // Whether another endpoint may run the request, or resume its stream once the caller has a part
    // of it. A resumed stream can not skip events without an id.
    bool may_repeat() const {
        if (response_started_)
            return plan_.route->resumable && !ends_without_id_;
        return plan_.route->repeatable();
    }
    const char* full_reason() const {
        return uses_engine() ? "all groups are full" : "all endpoints are full";
    }
    bool uses_engine() const { return plan_.service->engine && !request_.model.empty(); }
    // Fingerprint of the request's content, computed when it is first needed.
    const Fingerprint& fingerprint();
    // The shared parts of the prompt, for the process log.
    std::string shared_parts_text() const;

    // the endpoints' responses
    void on_head(RelayAttempt& attempt, const HttpResponseHead& head);
    void report_limit(const RelayAttempt& attempt);
    void note_backoff(const RelayAttempt& attempt);
    void on_body(RelayAttempt& attempt, std::string_view bytes);
    void on_end(RelayAttempt& attempt, CallEnd how);
    void on_no_connection(RelayAttempt& attempt);
    void on_not_run(RelayAttempt& attempt);
    void on_broken(RelayAttempt& attempt, const char* why);
    // Which side ended an attempt.
    enum class EndedBy : unsigned char { Endpoint, ThisHost };
    void log_ended_attempt(const RelayAttempt& attempt, const char* why, EndedBy side, Time now);
    // Counts what the attempt holds of its response. False if it is too much.
    bool hold(RelayAttempt& attempt);
    void on_too_large(RelayAttempt& attempt, const char* why);
    // Returns the attempt that goes on with the response.
    RelayAttempt& forward_events(RelayAttempt& attempt);
    void note_progress(RelayAttempt& attempt, Time now);
    void begin_event(RelayAttempt& attempt, std::string_view event, Time now);
    void forward_bytes(std::string bytes);
    // Stops and restarts reading of the endpoint's response.
    void pause_endpoint();
    void resume_endpoint();
    void on_complete(RelayAttempt& attempt);
    void report_aborted(const RelayAttempt& attempt);
    void clear_suspicion();
    void report_answered();
    bool stream_broken_off(const RelayAttempt& attempt) const;
    static void count_stream_end(const RelayAttempt& attempt);
    void complete_stream();
    void complete_whole(RelayAttempt& attempt);

    // time limits
    void out_of_time();
    void keep_waiting(Time now);
    Duration max_wait(Time now) const;
    bool response_overdue(Time now) const;
    Duration max_event_gap() const;

    // ends
    void refuse_or_abort(const char* why, Duration retry_after);
    void fail_or_abort(const char* why);
    void refuse(const char* why, Duration retry_after);
    void refuse_without_endpoint(const NoPick& none, Time now);
    Duration book_retry(Time now);
    Duration opens_in() const { return host_.opens_in(plan_.service->name, request_.model); }
    void count_return(int status) const;
    void fail(int status, const char* why);
    void abort_response(const char* why);
    void on_caller_disconnected();
    void finish(int status, const char* why);

    // A group that has lost a member is usually replaced after about this time.
    static constexpr Duration RetryAfterNoGroup = std::chrono::milliseconds(1600);
    // A full group frees slots as streams end.
    static constexpr Duration RetryAfterFull = CallerWaitEstimator::MinRetryDelay;

    RelayedCallContext& host_;
    std::shared_ptr<HttpExchange> exchange_;
    CallerRequest request_;
    RelayedCallRoute plan_;
    Time received_;
    Time deadline_;
    bool done_ = false;

    RelayAttempt current_;              // the latest; inactive while no endpoint has the request
    std::optional<RelayAttempt> quiet_; // an earlier one, whose endpoint may still go on
    std::uint64_t attempts_ = 0;        // numbers the attempts
    std::string endpoints_;             // all that had the request, for the process log
    std::string given_up_;              // those whose attempts this host ended, for the same
    std::set<EndpointId> tried_;
    std::uint32_t sends_ = 0; // attempts that reached an endpoint, or may have
    std::uint32_t runs_ = 0;  // attempts that may have run and have ended
    bool admitted_ = false;   // an endpoint was chosen
    bool waiting_ = false;    // no endpoint accepts the request at the moment

    bool response_started_ = false; // the caller has the response head
    std::string last_event_;
    bool ends_without_id_ = false; // the caller has an event after the one that last_event_ names
    Time last_forwarded_{};
    Duration first_event_took_{};
    Duration longest_pause_{};
    std::uint32_t resumed_ = 0;
    std::size_t unwritten_ = 0;
    std::optional<Duration> cancel_delay_; // from the caller's disconnect to the cancellation
    std::optional<Fingerprint> fingerprint_;
};

} // namespace liftweir

#endif // RELAYEDCALL_H_INCLUDED
