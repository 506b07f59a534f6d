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

// What a caller asked for, with what the settings say about it.
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

// An endpoint for one attempt.
struct Place {
    std::uint64_t id = 0; // names the endpoint towards the EndpointPicker
    HostName host;
    Incarnation incarnation = 0;
    Epoch epoch = NoEpoch;
    std::string address;
    std::string version; // of the model
};

// What a call asks of its surroundings. Implemented by the entry host, and by tests.
class EndpointPicker {
  public:
    virtual ~EndpointPicker() = default;
    // Places in `avoid` have failed this call. A resumed stream needs the same model version.
    virtual std::optional<Place> place(const CallSpec& spec,
                                       const std::vector<std::uint64_t>& avoid, bool must_resume,
                                       const std::string& version, Time now) = 0;
    virtual bool take_retry() = 0;
    // Earliest time at which an endpoint may be ready again, for Retry-After.
    virtual Duration retry_after() const = 0;
};

struct SendAttempt {
    Place place;
    AttemptId id;
    std::uint32_t resume_tokens = 0;
    Duration time_left{};
};
struct CancelSent {
    Place place;
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
// Answers to the caller.
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
// Before the stream began; or as the last event of a stream that did.
struct FailCall {
    Failure failure;
    Outcome outcome = Outcome::NotRun;
    Duration retry_after{};
    bool in_stream = false;
};

using CallAction = std::variant<SendAttempt, CancelSent, SendClaim, SendCloseClaim, SendDropClaim,
                                BeginStream, StreamBytes, EndStream, WholeAnswer, FailCall>;
using CallActions = std::vector<CallAction>;

// One request from its arrival to its answer, as a plain state machine. It tells "not run" only
// where every attempt was refused or never left, and never sends a second attempt of what may
// not be repeated unless the first was refused. What was lost together with its group is sent to
// one more group at most, and to none where it looks as if the request ended the first.
class Call {
  public:
    Call(CallSpec spec, EndpointPicker& placer) : spec_(std::move(spec)), placer_(placer) {}

    CallActions start(Time now);
    CallActions on_claim(const CommandReply& reply, Time now);
    CallActions on_refused(const Refused& refused, Time now);
    CallActions on_head(const Head& head, Time now);
    CallActions on_chunk(const Chunk& chunk, Time now);
    CallActions on_end(const End& end, Time now);
    CallActions on_broken(const Broken& broken, Time now);
    // The link to an agent is lost: what was sent over it may have run.
    CallActions on_link_lost(const std::string& address, Time now);
    CallActions on_timer(Time now);
    CallActions on_caller_gone(Time now);

    // When on_timer wants to be called next.
    Time next_timer() const;
    bool done() const { return done_; }
    const CallSpec& spec() const { return spec_; }
    std::uint32_t tokens() const { return tokens_; }
    std::uint32_t attempts_sent() const { return attempts_; }

  private:
    struct Live {
        AttemptId id;
        Place place;
        std::uint32_t next_chunk = 0;
        std::uint64_t bytes = 0;
        std::uint32_t resumed_at = 0;
        std::optional<Head> head;
        std::string body; // of an answer that is not streamed
    };

    void send_attempt(Time now, CallActions& out);
    void give_up(FailureKind kind, std::string detail, Time now, CallActions& out);
    void retry_or_give_up(FailureKind kind, bool may_have_run, Time now, CallActions& out);
    void on_loss(bool suspect, Time now, CallActions& out);
    void finish_claim(Outcome outcome, CallActions& out);
    void finish_whole(Live& live, CallActions& out);
    void make_winner(const AttemptId& id, CallActions& out);
    Live* find(const AttemptId& id);
    void drop(const AttemptId& id);
    bool claims() const { return !spec_.repeatable && !spec_.idempotency_key.empty(); }
    AttemptId claim_id() const { return {spec_.entry, spec_.sequence, 0}; }

    CallSpec spec_;
    EndpointPicker& placer_;
    std::vector<Live> live_;
    std::vector<std::uint64_t> avoid_;
    std::string version_; // model version of the stream that began
    std::uint32_t attempts_ = 0;
    std::uint32_t refusals_ = 0;
    std::uint32_t losses_ = 0; // groups that were lost while they had the request
    std::uint32_t tokens_ = 0; // delivered to the caller
    Duration refused_for_{};   // longest Retry-After of a refusal
    FailureKind refused_as_ = FailureKind::NoEndpoint;
    bool claiming_ = false;
    bool claimed_ = false;
    bool streaming_ = false;    // the caller has the head
    bool delivered_ = false;    // the caller has bytes of the answer
    bool may_have_run_ = false; // an attempt ended without proof that it did not run
    bool hedged_ = false;
    bool done_ = false;
    Time sent_at_{};
    Time claim_deadline_{};
};

} // namespace liftweir

#endif // CALL_H_INCLUDED
