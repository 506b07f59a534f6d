#include "request/call.h"

#include <algorithm>
#include <cassert>

namespace liftweir {

namespace {

// A claim takes one sync and one round between zones; an election at most a second more.
constexpr Duration ClaimTimeout = std::chrono::milliseconds(1500);
// Refusals cost an endpoint nothing, so they are bounded by a number and not by the budget.
constexpr std::uint32_t MaxRefusals = 8;

// Groups that may be lost with one request in them. A retry costs a healthy fleet little, but the
// request may be what ends its groups: without a bound, one ended four of four, each told as a
// refusal.
constexpr std::uint32_t MostLosses = 2;

} // namespace

Call::Live* Call::find(const AttemptId& id) {
    const auto found =
        std::find_if(live_.begin(), live_.end(), [&](const Live& l) { return l.id == id; });
    return found == live_.end() ? nullptr : &*found;
}

void Call::drop(const AttemptId& id) {
    std::erase_if(live_, [&](const Live& l) { return l.id == id; });
}

Time Call::next_timer() const {
    Time next = spec_.deadline;
    if (claiming_)
        next = std::min(next, claim_deadline_);
    const bool may_hedge = spec_.repeatable && !hedged_ && !delivered_ && live_.size() == 1 &&
                           spec_.hedge_after > Duration{};
    if (may_hedge)
        next = std::min(next, sent_at_ + spec_.hedge_after);
    return next;
}

CallActions Call::start(Time now) {
    CallActions out;
    if (claims()) {
        claiming_ = true;
        claim_deadline_ = std::min(now + ClaimTimeout, spec_.deadline);
        out.push_back(SendClaim{claim_id()});
        return out;
    }
    send_attempt(now, out);
    return out;
}

// The claim stands in the log before the first byte leaves for an endpoint.
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
    // The claim may still be committed later; it must not outlive this call.
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
    const bool resumes = delivered_;
    const auto place = placer_.place(spec_, avoid_, resumes, resumes ? version_ : "", now);
    if (!place) {
        give_up(refusals_ > 0 ? refused_as_ : FailureKind::NoEndpoint,
                "no endpoint is ready to take the request", now, out);
        return;
    }
    Live live;
    live.id = {spec_.entry, spec_.sequence, ++attempts_};
    live.place = *place;
    live.resumed_at = resumes ? tokens_ : 0;
    sent_at_ = now;
    out.push_back(SendAttempt{*place, live.id, live.resumed_at, spec_.deadline - now});
    live_.push_back(std::move(live));
}

void Call::finish_claim(Outcome outcome, CallActions& out) {
    if (!std::exchange(claimed_, false))
        return;
    if (outcome == Outcome::NotRun)
        out.push_back(SendDropClaim{claim_id()});
    else
        out.push_back(SendCloseClaim{claim_id(), ClaimPhase::Unknown, {}, false});
}

// The final answer, at once: waiting would not make it truer.
void Call::give_up(FailureKind kind, std::string detail, Time /*now*/, CallActions& out) {
    assert(!done_);
    done_ = true;
    for (const Live& live : live_) {
        out.push_back(CancelSent{live.place, live.id});
        may_have_run_ = true;
    }
    live_.clear();
    const Outcome outcome = may_have_run_ ? Outcome::Unknown : Outcome::NotRun;
    finish_claim(outcome, out);
    Duration retry_after{};
    if (outcome == Outcome::NotRun)
        retry_after = std::max(refused_for_, placer_.retry_after());
    out.push_back(FailCall{{kind, std::move(detail)}, outcome, retry_after, streaming_});
}

// After a failure: again elsewhere, if the call may be repeated or was not run, there is budget
// and time, and the caller has nothing that could not be continued.
void Call::retry_or_give_up(FailureKind kind, bool may_have_run, Time now, CallActions& out) {
    may_have_run_ |= may_have_run;
    if (!live_.empty())
        return; // a hedge still runs
    const bool allowed = spec_.repeatable || !may_have_run_;
    const bool continues = !delivered_ || spec_.streamed;
    const bool time_left = now < spec_.deadline;
    const bool cheap = !may_have_run;
    const bool budget = cheap ? refusals_ < MaxRefusals
                              : attempts_ - refusals_ < spec_.max_attempts && placer_.take_retry();
    if (allowed && continues && time_left && budget)
        send_attempt(now, out);
    else
        give_up(kind, "the endpoint failed", now, out);
}

// Its group was lost with the request in it. Whether the request was the cause is only known where
// an agent has seen it; what looks like it goes nowhere else, not even to a hedge that runs.
void Call::on_loss(bool suspect, Time now, CallActions& out) {
    may_have_run_ = true;
    if (++losses_ < MostLosses && !suspect)
        return retry_or_give_up(FailureKind::EndpointFailed, true, now, out);
    give_up(FailureKind::EndpointFailed,
            "the endpoint ended while it had the request, which is not sent to another", now, out);
}

CallActions Call::on_refused(const Refused& refused, Time now) {
    CallActions out;
    Live* live = find(refused.id);
    if (done_ || live == nullptr)
        return out;
    avoid_.push_back(live->place.id);
    drop(refused.id);
    ++refusals_;
    refused_as_ = refused.reason;
    refused_for_ =
        std::max<Duration>(refused_for_, std::chrono::milliseconds(refused.retry_after_ms));
    retry_or_give_up(refused.reason, false, now, out);
    return out;
}

// Of two hedged attempts the first to show an answer goes on; the other is cancelled.
void Call::make_winner(const AttemptId& id, CallActions& out) {
    for (const Live& live : live_)
        if (live.id != id)
            out.push_back(CancelSent{live.place, live.id});
    std::erase_if(live_, [&](const Live& l) { return l.id != id; });
}

CallActions Call::on_head(const Head& head, Time /*now*/) {
    CallActions out;
    Live* live = find(head.id);
    if (done_ || live == nullptr || live->head)
        return out;
    live->head = head;
    return out;
}

CallActions Call::on_chunk(const Chunk& chunk, Time now) {
    CallActions out;
    Live* live = find(chunk.id);
    if (done_ || live == nullptr)
        return out; // late or foreign
    if (chunk.number != live->next_chunk || !live->head) {
        // A gap can only come from a fault on the way: what was sent may have run.
        out.push_back(CancelSent{live->place, live->id});
        avoid_.push_back(live->place.id);
        drop(chunk.id);
        retry_or_give_up(FailureKind::EndpointFailed, true, now, out);
        return out;
    }
    make_winner(chunk.id, out);
    live = find(chunk.id);
    ++live->next_chunk;
    live->bytes += chunk.bytes.size();
    const bool event_stream =
        spec_.streamed && live->head->content_type.find("event-stream") != std::string::npos;
    if (!event_stream) {
        live->body += chunk.bytes;
        tokens_ = std::max(tokens_, chunk.tokens);
        return out;
    }
    if (!std::exchange(streaming_, true))
        out.push_back(BeginStream{static_cast<int>(live->head->status), live->head->content_type});
    delivered_ = true;
    version_ = live->place.version;
    tokens_ = std::max(tokens_, chunk.tokens);
    out.push_back(StreamBytes{chunk.bytes, chunk.id});
    return out;
}

CallActions Call::on_end(const End& end, Time now) {
    CallActions out;
    Live* live = find(end.id);
    if (done_ || live == nullptr)
        return out;
    if (end.chunks != live->next_chunk || end.bytes != live->bytes || !live->head) {
        avoid_.push_back(live->place.id);
        drop(end.id);
        retry_or_give_up(FailureKind::EndpointFailed, true, now, out);
        return out;
    }
    make_winner(end.id, out);
    finish_whole(*find(end.id), out);
    return out;
}

void Call::finish_whole(Live& live, CallActions& out) {
    done_ = true;
    if (streaming_) {
        out.push_back(EndStream{});
        return;
    }
    Answer answer{static_cast<int>(live.head->status), live.head->content_type,
                  std::move(live.body)};
    if (std::exchange(claimed_, false)) {
        const bool kept = answer.body.size() <= spec_.answer_bytes;
        out.push_back(
            SendCloseClaim{claim_id(), ClaimPhase::Completed, kept ? answer : Answer{}, kept});
    }
    live_.clear();
    out.push_back(WholeAnswer{std::move(answer), false});
}

CallActions Call::on_broken(const Broken& broken, Time now) {
    CallActions out;
    Live* live = find(broken.id);
    if (done_ || live == nullptr)
        return out;
    avoid_.push_back(live->place.id);
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
    for (const Live& live : live_)
        if (live.place.address == address)
            lost.push_back(live.id);
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
    const bool hedge = spec_.repeatable && !hedged_ && !delivered_ && live_.size() == 1 &&
                       spec_.hedge_after > Duration{} && now >= sent_at_ + spec_.hedge_after;
    if (!hedge)
        return out;
    hedged_ = true;
    std::vector<std::uint64_t> avoid = avoid_;
    avoid.push_back(live_.front().place.id);
    const auto place = placer_.place(spec_, avoid, false, "", now);
    if (!place || !placer_.take_retry())
        return out;
    Live live;
    live.id = {spec_.entry, spec_.sequence, ++attempts_};
    live.place = *place;
    out.push_back(SendAttempt{*place, live.id, 0, spec_.deadline - now});
    live_.push_back(std::move(live));
    return out;
}

// The caller hung up. Repeatable work is cancelled. A call that may not be repeated goes on, so
// that its claim learns how it ended and a resend gets the answer.
CallActions Call::on_caller_gone(Time /*now*/) {
    CallActions out;
    if (done_ || (!spec_.repeatable && (claimed_ || claiming_)))
        return out;
    done_ = true;
    for (const Live& live : live_)
        out.push_back(CancelSent{live.place, live.id});
    live_.clear();
    return out;
}

} // namespace liftweir
