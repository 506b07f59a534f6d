#ifndef RELAYEDCALL_H_INCLUDED
#define RELAYEDCALL_H_INCLUDED

#include "connection/eventsplitter.h"
#include "connection/httpchannel.h"
#include "connection/httpserver.h"
#include "process/quarantine.h"
#include "request/callerprotocol.h"
#include "request/callerwait.h"
#include "request/directory.h"
#include "request/windowedretrybudget.h"
#include "version/fingerprint.h"
#include "version/routetable.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace liftweir {

// How a call went, for the metrics.
struct CallSummary {
    std::string route;
    int status = 0; // 0: no whole answer
    Duration took{};
    Duration first_event{}; // zero where no stream began
    Duration longest_pause{};
    std::uint32_t sends = 0;
    std::uint32_t resumed = 0;
    // From when the caller's close was seen to when its endpoint was told to stop; empty where the
    // caller stayed, or no endpoint had the request.
    std::optional<Duration> caller_gone;

    auto operator<=>(const CallSummary&) const = default;
};

// What calls need of the entry host that they run on.
class RelayedCallContext {
  public:
    virtual ~RelayedCallContext() = default;
    virtual Directory& directory() = 0;
    virtual HttpChannelPool& pool() = 0;
    virtual const CallerProtocol& protocol() const = 0;
    virtual WindowedRetryBudget& budget(const std::string& service) = 0;
    // This host began a moment ago, and may not have heard of all endpoints yet.
    virtual bool discovering_endpoints(Time now) const = 0;
    virtual const Quarantine& quarantine() const = 0;
    // The endpoint broke the request off.
    virtual void aborted(const AbortedRequest& request, const EndpointId& id) = 0;
    // An endpoint answered whole what it, or another one, had broken off before.
    virtual void cleared(const Fingerprint& content) = 0;
    // The endpoint's answer to a request that was sent at `sent` names a limit, a wrong one or
    // none.
    virtual void note_limit(const EndpointId& id, const ResponseSignals& note, Time sent) = 0;
    // The endpoint turned a request away, and asks for rest or names a wrong time.
    virtual void note_backoff(const EndpointId& id, const ResponseSignals& note) = 0;
    // The endpoint answered that it leaves.
    virtual void note_leaving(const EndpointId& id) = 0;
    // An endpoint took no connection.
    virtual void unreachable(const EndpointId& id) = 0;
    // The call has ended and is forgotten; it may be destroyed from here on.
    virtual void ended(const CallSummary& summary) = 0;
};

// Where a caller's request goes, decided before it is passed on.
struct RelayedCallRoute {
    std::shared_ptr<const RouteTable> table; // keeps route and service alive
    const Route* route = nullptr;
    const Service* service = nullptr;
    std::string customer;
    Duration waited_before{}; // by the caller, in earlier tries
};

// One caller's request from its arrival to its last byte: sends it to an endpoint, passes the
// answer on, and sends it again or goes on with a broken stream elsewhere where that is allowed.
class RelayedCall : public std::enable_shared_from_this<RelayedCall> {
  public:
    RelayedCall(RelayedCallContext& host, std::shared_ptr<HttpExchange> exchange,
                CallerRequest request, RelayedCallRoute plan);

    // Sends the request for the first time, and counts it in its service's budget of repeats.
    void start();
    // Checks time limits, and tries again for a call that waits for an endpoint.
    void tick(Time now);
    // Ends the call where its request is held back by now, unless it runs and has begun to answer.
    void check_quarantine(Time now);
    // All streams of the group that `lead` leads stand still.
    void stalled(const EndpointId& lead, Time now);
    // Ends the call at once, since the process ends.
    void abandon();
    bool done() const { return done_; }

  private:
    // sending
    void attempt(Time now);
    // Fails where no endpoint takes the request now.
    tl::expected<void, NoPick> send_to_best(Time now);
    bool may_send_again(Time now);
    bool refused_by_quarantine(Time now);
    void send(const Pick& pick, Time now);
    void note_sent_again(const Pick& pick, Time now) const;
    void begin_attempt(const Pick& pick, Time now);
    void occupy_endpoint(const Pick& pick, Time now);
    void release_endpoint();
    // At the present endpoint.
    EngineDemand engine_demand() const { return {request_.prompt_tokens, yields_}; }
    CallEvents events_of_attempt();
    Demand demand(Time now) const;
    // How long the caller has been waiting.
    Duration waited(Time now) const { return plan_.waited_before + (now - received_); }
    bool low_priority(Time now) const;
    bool takes_another(Time now);
    std::uint32_t runs_allowed() const;
    const char* full_reason() const {
        return uses_engine() ? "all groups are full" : "all endpoints are full";
    }
    bool uses_engine() const { return plan_.service->engine && !request_.model.empty(); }
    // Of what the caller asks; worked out when it is first needed.
    const Fingerprint& fingerprint();

    // the endpoint's answer
    void on_head(const HttpResponseHead& head);
    void note_limit();
    void note_backoff();
    void on_body(std::string_view bytes);
    void on_end(CallEnd how);
    void on_no_connection();
    void on_not_run();
    void on_broken(const char* why);
    void pass_events();
    void note_progress(Time now);
    void pass_event(std::string event);
    void pass_bytes(std::string bytes);
    void on_complete();
    void note_cut_off();
    void note_answered();
    void complete_stream();
    void complete_whole();

    // time
    void out_of_time();
    void wait_on(Time now);
    Duration longest_wait(Time now) const;
    bool overdue(Time now) const;
    Duration patience_between_events() const;

    // ends
    void refuse_or_cut(const char* why, Duration retry_after);
    void fail_or_cut(const char* why);
    void refuse(const char* why, Duration retry_after);
    void refuse_unpicked(const NoPick& none, Time now);
    void fail(int status, const char* why);
    void cut(const char* why);
    void caller_left();
    void finish(int status, const char* why);

    // A group that lost a member serves again after about this long.
    static constexpr Duration RetryAfterNoGroup = std::chrono::milliseconds(1600);
    // A full group frees places as streams end.
    static constexpr Duration RetryAfterFull = CallerWaitEstimator::SoonestReturn;

    RelayedCallContext& host_;
    std::shared_ptr<HttpExchange> exchange_;
    CallerRequest request_;
    RelayedCallRoute plan_;
    Time received_;
    Time deadline_;
    bool done_ = false;

    std::unique_ptr<HttpCallHandle> call_;
    EndpointId endpoint_;   // empty while no endpoint has the request
    std::string endpoints_; // all that had it, for the log
    std::set<EndpointId> tried_;
    std::uint32_t sends_ = 0; // that reached an endpoint, or may have
    std::uint32_t runs_ = 0;  // that may have been run
    Time sent_{};
    LoadForecast forecast_;   // of the last pick
    bool yields_ = false;     // at the present endpoint
    bool first_seen_ = false; // an event came from the present endpoint
    bool waiting_ = false;    // no endpoint takes it at the moment

    HttpResponseHead head_;
    ResponseSignals note_;
    bool events_ = false; // the answer is a stream of events
    bool begun_ = false;  // the caller has the head
    EventSplitter splitter_;
    std::string body_;
    std::string last_event_;
    Time last_passed_{};
    Duration first_event_took_{};
    Duration longest_pause_{};
    std::uint32_t resumed_ = 0;
    std::size_t unwritten_ = 0;
    std::optional<Duration> caller_gone_; // until its endpoint was told to stop
    std::optional<Fingerprint> fingerprint_;
};

} // namespace liftweir

#endif // RELAYEDCALL_H_INCLUDED
