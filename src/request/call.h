// One request of a caller to liftweir-entry, as a state machine without I/O: claim, attempts,
// hedge, retries and the final answer.

#ifndef CALL_H_INCLUDED
#define CALL_H_INCLUDED

#include "connection/wire.h"
#include "process/clock.h"
#include "request/outcome.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace liftweir {

// A caller's request, with the settings that apply to it.
struct CallSpec {
    std::uint64_t sequence = 0;
    Incarnation entry = 0;
    std::string customer;
    bool is_model = false;
    std::string name; // of the model or service
    std::string adapter;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    bool repeatable = false;
    bool streamed = false;
    std::uint64_t prefix = 0;
    std::uint32_t expected_tokens = 0;
    std::string idempotency_key;
    std::string digest;
    Time deadline{};
    std::uint32_t max_attempts = 3;
    Duration hedge_after{};
    std::size_t answer_bytes = 16384;
};

// The endpoint that was picked for one attempt.
struct PickedEndpoint {
    std::uint64_t id = 0; // identifies the endpoint to the EndpointPicker
    HostName host;
    Incarnation incarnation = 0;
    Epoch epoch = NoEpoch;
    std::string address;
    std::string version; // of the model
};

// Picks endpoints for a call. Implemented by the entry host and by tests.
class EndpointPicker {
  public:
    virtual ~EndpointPicker() = default;
    // Endpoints in `avoid` have failed this call. A resumed stream needs the same model version.
    virtual std::optional<PickedEndpoint> pick(const CallSpec& spec,
                                               const std::vector<std::uint64_t>& avoid,
                                               bool must_resume, const std::string& version,
                                               Time now) = 0;
    virtual bool take_retry() = 0;
    // Shortest time until an endpoint may be ready again, for Retry-After.
    virtual Duration retry_after() const = 0;
};

// Actions that a call asks of the entry host: messages to agents and to control.
struct SendAttempt {
    PickedEndpoint place;
    AttemptId id;
    std::uint32_t resume_tokens = 0;
    Duration time_left{};
};
struct CancelRunningAttempt {
    PickedEndpoint place;
    AttemptId id;
};
struct SendClaim {
    AttemptId id;
};
struct SendCloseClaim {
    AttemptId id;
    ClaimPhase phase = ClaimPhase::Unknown;
    Answer answer;
    bool answer_kept = false;
};
struct SendDropClaim {
    AttemptId id;
};
// Actions that answer the caller.
struct BeginStream {
    int status = 200;
    std::string content_type;
};
struct StreamBytes {
    std::string bytes;
    AttemptId from;
};
struct EndStream {};
struct WholeAnswer {
    Answer answer;
    bool replayed = false;
};
// An error response or, if the stream has begun, the stream's last event.
struct FailCall {
    Failure failure;
    Outcome outcome = Outcome::NotRun;
    Duration retry_after{};
    bool in_stream = false;
};

using CallAction =
    std::variant<SendAttempt, CancelRunningAttempt, SendClaim, SendCloseClaim, SendDropClaim,
                 BeginStream, StreamBytes, EndStream, WholeAnswer, FailCall>;
using CallActions = std::vector<CallAction>;

// One request from its arrival to its answer. The outcome is "not run" only if every attempt was
// refused or never sent. A request that is not repeatable gets a second attempt only if the first
// was refused. After its group was lost, a request is sent to one more group at most, and to none
// if the request is suspected of having crashed the first.
class Call {
  public:
    Call(CallSpec spec, EndpointPicker& picker) : spec_(std::move(spec)), picker_(picker) {}

    CallActions start(Time now);
    CallActions on_claim(const CommandReply& reply, Time now);
    CallActions on_refused(const Refused& refused, Time now);
    CallActions on_head(const Head& head, Time now);
    CallActions on_chunk(const Chunk& chunk, Time now);
    CallActions on_end(const End& end, Time now);
    CallActions on_broken(const Broken& broken, Time now);
    // The link to an agent is lost: the attempts sent over it may have run.
    CallActions on_link_lost(const std::string& address, Time now);
    CallActions on_timer(Time now);
    CallActions on_caller_gone(Time now);

    // When on_timer should be called next.
    Time next_timer() const;
    bool done() const { return done_; }
    const CallSpec& spec() const { return spec_; }
    std::uint32_t tokens() const { return tokens_; }
    std::uint32_t attempts_sent() const { return attempts_started_; }

  private:
    struct RunningAttempt {
        AttemptId id;
        PickedEndpoint place;
        std::uint32_t next_chunk = 0;
        std::uint64_t bytes = 0;
        std::uint32_t resumed_at = 0;
        std::optional<Head> head;
        std::string body; // of a response that is not streamed
    };

    void send_attempt(Time now, CallActions& out);
    void give_up(FailureKind kind, std::string detail, Time now, CallActions& out);
    void fail_attempt(const AttemptId& id, Time now, CallActions& out);
    void retry_or_give_up(FailureKind kind, bool may_have_run, Time now, CallActions& out);
    void on_loss(bool suspect, Time now, CallActions& out);
    void finish_claim(Outcome outcome, CallActions& out);
    void complete(RunningAttempt& attempt, CallActions& out);
    void keep_only(const AttemptId& id, CallActions& out);
    RunningAttempt* find(const AttemptId& id);
    void drop(const AttemptId& id);
    bool needs_claim() const { return !spec_.repeatable && !spec_.idempotency_key.empty(); }
    AttemptId claim_id() const { return {spec_.entry, spec_.sequence, 0}; }

    CallSpec spec_;
    EndpointPicker& picker_;
    std::vector<RunningAttempt> running_;
    std::vector<std::uint64_t> avoid_;
    std::string version_; // model version that began the stream
    std::uint32_t attempts_started_ = 0;
    std::uint32_t refusals_ = 0;
    std::uint32_t groups_lost_ = 0; // groups that were lost while they had the request
    std::uint32_t tokens_ = 0;      // delivered to the caller
    Duration max_retry_after_{};    // longest Retry-After of all refusals
    FailureKind refusal_reason_ = FailureKind::NoEndpoint;
    bool claiming_ = false;
    bool claimed_ = false;
    bool streaming_ = false;    // the caller has the response head
    bool delivered_ = false;    // the caller has bytes of the response
    bool may_have_run_ = false; // an attempt ended without proof that it did not run
    bool hedged_ = false;
    bool done_ = false;
    Time sent_at_{};
    Time claim_deadline_{};
};

} // namespace liftweir

#endif // CALL_H_INCLUDED
