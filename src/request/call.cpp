// State machine of one request at liftweir-entry.

#include "request/call.h"

#include "connection/httpmessage.h"

#include <algorithm>
#include <cassert>

namespace liftweir {

namespace {

// A claim takes one disk sync and one round trip between zones; an election adds a second at most.
constexpr Duration ClaimTimeout = std::chrono::milliseconds(1500);
// Refusals cost an endpoint nothing, so a number limits them and not the retry budget.
constexpr std::uint32_t MaxRefusals = 8;

// Groups that may be lost while they have the same request. The request itself may be what crashes
// them: without this limit, one request crashed four of four groups, each reported as a refusal.
constexpr std::uint32_t MaxGroupsLost = 2;

} // namespace

Call::RunningAttempt* Call::find(const AttemptId& id) {
    const auto found = std::find_if(running_.begin(), running_.end(),
                                    [&](const RunningAttempt& l) { return l.id == id; });
    return found == running_.end() ? nullptr : &*found;
}

void Call::drop(const AttemptId& id) {
    std::erase_if(running_, [&](const RunningAttempt& l) { return l.id == id; });
}

Time Call::next_timer() const {
    Time next = spec_.deadline;
    if (claiming_)
        next = std::min(next, claim_deadline_);
    const bool may_hedge = spec_.repeatable && !hedged_ && !delivered_ && running_.size() == 1 &&
                           spec_.hedge_after > Duration{};
    if (may_hedge)
        next = std::min(next, sent_at_ + spec_.hedge_after);
    return next;
}

CallActions Call::start(Time now) {
    CallActions out;
    if (needs_claim()) {
        claiming_ = true;
        claim_deadline_ = std::min(now + ClaimTimeout, spec_.deadline);
        out.push_back(SendClaim{claim_id()});
        return out;
    }
    send_attempt(now, out);
    return out;
}

// The claim is committed to the replicated log before the first byte is sent to an endpoint.
CallActions Call::on_claim(const CommandReply& reply, Time now) {
    CallActions out;
    if (done_ || !claiming_)
        return out;
    claiming_ = false;
    if (reply.ok && reply.has_claim && reply.claim.holder == claim_id() &&
        reply.claim.phase == ClaimPhase::Running) {
        claimed_ = true;
        send_attempt(now, out);
        return out;
    }
    done_ = true;
    if (reply.ok && reply.has_claim && reply.claim.phase == ClaimPhase::Completed) {
        if (reply.claim.answer_kept)
            out.push_back(WholeAnswer{reply.claim.answer, true});
        else
            out.push_back(FailCall{{FailureKind::Conflict, "the call ran; its answer is not kept"},
                                   Outcome::Completed,
                                   {},
                                   false});
        return out;
    }
    const bool unknown =
        reply.failure == FailureKind::OutcomeUnknown || reply.failure == FailureKind::InProgress;
    const bool no_control =
        reply.failure == FailureKind::NoQuorum || reply.failure == FailureKind::NotLeader;
    const FailureKind kind = no_control ? FailureKind::NoQuorum : reply.failure;
    // The claim may still be committed later and must not outlive this call.
    if (no_control)
        out.push_back(SendDropClaim{claim_id()});
    out.push_back(
        FailCall{{kind, reply.detail.empty() ? "the call could not be claimed" : reply.detail},
                 unknown ? Outcome::Unknown : Outcome::NotRun,
                 std::chrono::seconds(1),
                 false});
    return out;
}

void Call::send_attempt(Time now, CallActions& out) {
    const bool resuming = delivered_;
    const auto place = picker_.pick(spec_, avoid_, resuming, resuming ? version_ : "", now);
    if (!place) {
        give_up(refusals_ > 0 ? refusal_reason_ : FailureKind::NoEndpoint,
                "no endpoint is ready to take the request", now, out);
        return;
    }
    RunningAttempt attempt;
    attempt.id = {spec_.entry, spec_.sequence, ++attempts_started_};
    attempt.place = *place;
    attempt.resumed_at = resuming ? tokens_ : 0;
    sent_at_ = now;
    out.push_back(SendAttempt{*place, attempt.id, attempt.resumed_at, spec_.deadline - now});
    running_.push_back(std::move(attempt));
}

void Call::finish_claim(Outcome outcome, CallActions& out) {
    if (!std::exchange(claimed_, false))
        return;
    if (outcome == Outcome::NotRun)
        out.push_back(SendDropClaim{claim_id()});
    else
        out.push_back(SendCloseClaim{claim_id(), ClaimPhase::Unknown, {}, false});
}

// Ends the call with an error at once, since waiting would not change the outcome.
void Call::give_up(FailureKind kind, std::string detail, Time /*now*/, CallActions& out) {
    assert(!done_);
    done_ = true;
    for (const RunningAttempt& attempt : running_) {
        out.push_back(CancelRunningAttempt{attempt.place, attempt.id});
        may_have_run_ = true;
    }
    running_.clear();
    const Outcome outcome = may_have_run_ ? Outcome::Unknown : Outcome::NotRun;
    finish_claim(outcome, out);
    Duration retry_after{};
    if (outcome == Outcome::NotRun)
        retry_after = std::max(max_retry_after_, picker_.retry_after());
    out.push_back(FailCall{{kind, std::move(detail)}, outcome, retry_after, streaming_});
}

// Retries at another endpoint if the call is repeatable or did not run, if the retry budget and the
// deadline permit it, and if the caller has received nothing or a stream that can be resumed.
void Call::retry_or_give_up(FailureKind kind, bool may_have_run, Time now, CallActions& out) {
    may_have_run_ |= may_have_run;
    if (!running_.empty())
        return; // a hedge still runs
    const bool allowed = spec_.repeatable || !may_have_run_;
    const bool continues = !delivered_ || spec_.streamed;
    const bool time_left = now < spec_.deadline;
    const bool not_run = !may_have_run;
    const bool budget =
        not_run ? refusals_ < MaxRefusals
                : attempts_started_ - refusals_ < spec_.max_attempts && picker_.take_retry();
    if (allowed && continues && time_left && budget)
        send_attempt(now, out);
    else
        give_up(kind, "the endpoint failed", now, out);
}

// The group was lost while it had the request. Only an agent that saw the engine crash can suspect
// the request. A suspected request is not retried, and its running hedge is cancelled.
void Call::on_loss(bool suspect, Time now, CallActions& out) {
    may_have_run_ = true;
    if (++groups_lost_ < MaxGroupsLost && !suspect)
        return retry_or_give_up(FailureKind::EndpointFailed, true, now, out);
    give_up(FailureKind::EndpointFailed,
            "the endpoint ended while it had the request, which is not sent to another", now, out);
}

CallActions Call::on_refused(const Refused& refused, Time now) {
    CallActions out;
    RunningAttempt* attempt = find(refused.id);
    if (done_ || attempt == nullptr)
        return out;
    avoid_.push_back(attempt->place.id);
    drop(refused.id);
    ++refusals_;
    refusal_reason_ = refused.reason;
    max_retry_after_ =
        std::max<Duration>(max_retry_after_, std::chrono::milliseconds(refused.retry_after_ms));
    retry_or_give_up(refused.reason, false, now, out);
    return out;
}

// Of two hedged attempts, the first one with a response continues and the other is cancelled.
void Call::keep_only(const AttemptId& id, CallActions& out) {
    for (const RunningAttempt& attempt : running_)
        if (attempt.id != id)
            out.push_back(CancelRunningAttempt{attempt.place, attempt.id});
    std::erase_if(running_, [&](const RunningAttempt& l) { return l.id != id; });
}

// The caller has begun a stream, which no other response can continue or complete.
CallActions Call::on_head(const Head& head, Time now) {
    CallActions out;
    RunningAttempt* attempt = find(head.id);
    if (done_ || attempt == nullptr || attempt->head)
        return out;
    attempt->head = head;
    const bool resumes =
        status_class(static_cast<int>(head.status)) == 2 && is_event_stream(head.content_type);
    if (streaming_ && !resumes)
        fail_attempt(head.id, now, out);
    return out;
}

// The endpoint may be running the attempt that is cancelled here.
void Call::fail_attempt(const AttemptId& id, Time now, CallActions& out) {
    const RunningAttempt* attempt = find(id);
    out.push_back(CancelRunningAttempt{attempt->place, id});
    avoid_.push_back(attempt->place.id);
    drop(id);
    retry_or_give_up(FailureKind::EndpointFailed, true, now, out);
}

CallActions Call::on_chunk(const Chunk& chunk, Time now) {
    CallActions out;
    RunningAttempt* attempt = find(chunk.id);
    if (done_ || attempt == nullptr)
        return out; // of an attempt that has ended or is not known
    if (chunk.number != attempt->next_chunk || !attempt->head) {
        // A missing chunk means a fault in the transport: the attempt may have run.
        fail_attempt(chunk.id, now, out);
        return out;
    }
    keep_only(chunk.id, out);
    attempt = find(chunk.id);
    ++attempt->next_chunk;
    attempt->bytes += chunk.bytes.size();
    if (!spec_.streamed || !is_event_stream(attempt->head->content_type)) {
        attempt->body += chunk.bytes;
        tokens_ = std::max(tokens_, chunk.tokens);
        return out;
    }
    if (!std::exchange(streaming_, true))
        out.push_back(
            BeginStream{static_cast<int>(attempt->head->status), attempt->head->content_type});
    delivered_ = true;
    version_ = attempt->place.version;
    tokens_ = std::max(tokens_, chunk.tokens);
    out.push_back(StreamBytes{chunk.bytes, chunk.id});
    return out;
}

CallActions Call::on_end(const End& end, Time now) {
    CallActions out;
    RunningAttempt* attempt = find(end.id);
    if (done_ || attempt == nullptr)
        return out;
    if (end.chunks != attempt->next_chunk || end.bytes != attempt->bytes || !attempt->head) {
        avoid_.push_back(attempt->place.id);
        drop(end.id);
        retry_or_give_up(FailureKind::EndpointFailed, true, now, out);
        return out;
    }
    keep_only(end.id, out);
    complete(*find(end.id), out);
    return out;
}

void Call::complete(RunningAttempt& attempt, CallActions& out) {
    done_ = true;
    if (streaming_) {
        out.push_back(EndStream{});
        return;
    }
    Answer answer{static_cast<int>(attempt.head->status), attempt.head->content_type,
                  std::move(attempt.body)};
    if (std::exchange(claimed_, false)) {
        const bool kept = answer.body.size() <= spec_.answer_bytes;
        out.push_back(
            SendCloseClaim{claim_id(), ClaimPhase::Completed, kept ? answer : Answer{}, kept});
    }
    running_.clear();
    out.push_back(WholeAnswer{std::move(answer), false});
}

CallActions Call::on_broken(const Broken& broken, Time now) {
    CallActions out;
    RunningAttempt* attempt = find(broken.id);
    if (done_ || attempt == nullptr)
        return out;
    avoid_.push_back(attempt->place.id);
    drop(broken.id);
    if (broken.ended) {
        on_loss(broken.suspect, now, out);
        return out;
    }
    refusals_ += broken.started ? 0 : 1;
    retry_or_give_up(broken.reason, broken.started, now, out);
    return out;
}

CallActions Call::on_link_lost(const std::string& address, Time now) {
    CallActions out;
    std::vector<AttemptId> lost;
    for (const RunningAttempt& attempt : running_)
        if (attempt.place.address == address)
            lost.push_back(attempt.id);
    for (const AttemptId& id : lost) {
        if (done_)
            break;
        avoid_.push_back(find(id)->place.id);
        drop(id);
        on_loss(false, now, out);
    }
    return out;
}

CallActions Call::on_timer(Time now) {
    CallActions out;
    if (done_)
        return out;
    if (now >= spec_.deadline) {
        if (std::exchange(claiming_, false))
            out.push_back(SendDropClaim{claim_id()});
        give_up(FailureKind::DeadlineTooNear, "the deadline has passed", now, out);
        return out;
    }
    if (claiming_ && now >= claim_deadline_) {
        claiming_ = false;
        out.push_back(SendDropClaim{claim_id()});
        give_up(FailureKind::NoQuorum, "control did not answer the claim", now, out);
        return out;
    }
    const bool hedge = spec_.repeatable && !hedged_ && !delivered_ && running_.size() == 1 &&
                       spec_.hedge_after > Duration{} && now >= sent_at_ + spec_.hedge_after;
    if (!hedge)
        return out;
    hedged_ = true;
    std::vector<std::uint64_t> avoid = avoid_;
    avoid.push_back(running_.front().place.id);
    const auto place = picker_.pick(spec_, avoid, false, "", now);
    if (!place || !picker_.take_retry())
        return out;
    RunningAttempt attempt;
    attempt.id = {spec_.entry, spec_.sequence, ++attempts_started_};
    attempt.place = *place;
    out.push_back(SendAttempt{*place, attempt.id, 0, spec_.deadline - now});
    running_.push_back(std::move(attempt));
    return out;
}

// The caller disconnected. A repeatable call is cancelled. A call with a claim continues, so that
// the claim records the outcome and a later request with the same key gets the answer.
CallActions Call::on_caller_gone(Time /*now*/) {
    CallActions out;
    if (done_ || (!spec_.repeatable && (claimed_ || claiming_)))
        return out;
    done_ = true;
    for (const RunningAttempt& attempt : running_)
        out.push_back(CancelRunningAttempt{attempt.place, attempt.id});
    running_.clear();
    return out;
}

} // namespace liftweir
