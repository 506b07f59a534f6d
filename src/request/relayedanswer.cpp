// How RelayedCall handles an endpoint's response: forwards it, or retries or fails the call if the
// response is aborted.

#include "process/logging.h"
#include "process/metrics.h"
#include "request/relayedcall.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// After attempts at this many endpoints, the next one that accepts no connection ends the call.
constexpr std::size_t MaxTriedWithoutConnection = 4;
// Responses without a stream are buffered until they are complete; larger ones fail.
constexpr std::size_t MaxWholeBody = 8u << 20;
// A stream may carry comments and blank lines, but an endpoint that sends nothing else is faulty.
constexpr std::size_t MaxBytesWithoutData = 64u << 10;
// Reading from the endpoint pauses while a slow caller has more bytes than this outstanding.
constexpr std::size_t MaxUnwritten = 256u << 10;
// An endpoint that has sent this many events has not crashed at the beginning of its answer. The
// first event alone may still arrive from one that does.
constexpr std::uint32_t EventsOfBegunAnswer = 2;

// Why an attempt failed whose response ended like this.
const char* reason_of(CallEnd how) {
    switch (how) {
    case CallEnd::Malformed:
        return "not a valid response";
    case CallEnd::Complete:
        return "the stream ends before its last event";
    default:
        return "the endpoint aborted the request";
    }
}

HttpHeaders end_to_end(const HttpResponseHead& head) {
    HttpHeaders out;
    const std::string_view named = find_header(head.headers, "connection");
    for (const HttpHeader& header : head.headers)
        if (!is_hop_by_hop(header.first) && !has_token(named, header.first))
            out.push_back(header);
    return out;
}

} // namespace

// ---- the endpoint's response

void RelayedCall::on_head(RelayAttempt& attempt, const HttpResponseHead& head) {
    attempt.head = head;
    attempt.signals = host_.protocol().parse_response(head, request_);
    if (attempt.signals.foreign) {
        on_broken(attempt, "the response does not belong to the request");
        return;
    }
    report_limit(attempt);
    note_backoff(attempt);
    if (attempt.signals.leaving && !attempt.signals.misdirected)
        host_.mark_leaving(attempt.endpoint);
    attempt.streaming = status_class(head.status) == 2 &&
                        is_event_stream(find_header(head.headers, "content-type"));
    if (response_started_ && !attempt.streaming && !attempt.signals.not_run)
        on_broken(attempt, "the endpoint did not resume the stream");
}

// A server error without a rate limit does not revoke a limit that was reported before.
void RelayedCall::report_limit(const RelayAttempt& attempt) {
    const ResponseSignals& signals = attempt.signals;
    const bool named = signals.limit_per_second > 0 || signals.limit_fault != NumberFault::None;
    if (!signals.misdirected && (named || status_class(attempt.head.status) != 5))
        host_.report_limit(attempt.endpoint, signals, attempt.sent_at);
}

void RelayedCall::note_backoff(const RelayAttempt& attempt) {
    const ResponseSignals& signals = attempt.signals;
    if (signals.backoff > Duration::zero() || signals.backoff_fault != NumberFault::None)
        host_.note_backoff(attempt.endpoint, signals);
}

void RelayedCall::on_body(RelayAttempt& attempt, std::string_view bytes) {
    if (!attempt.streaming) {
        attempt.body.append(bytes);
        if (!hold(attempt))
            on_too_large(attempt, "the answer is too large");
        return;
    }
    attempt.splitter.feed(bytes);
    RelayAttempt& going_on = forward_events(attempt);
    if (!hold(going_on))
        on_too_large(going_on, "an event is too large");
    else if (going_on.bytes_without_data > MaxBytesWithoutData)
        on_too_large(going_on, "the stream has no data");
}

bool RelayedCall::hold(RelayAttempt& attempt) {
    const std::size_t bytes = attempt.body.size() + attempt.splitter.remaining().size();
    host_.response_memory().change(std::exchange(attempt.held, bytes), bytes);
    return attempt.body.size() <= MaxWholeBody && !attempt.splitter.overflowed() &&
           host_.response_memory().allows(bytes);
}

void RelayedCall::on_too_large(RelayAttempt& attempt, const char* why) {
    host_.directory().failed(attempt.endpoint, BootClock::now());
    on_broken(attempt, why);
}

RelayAttempt& RelayedCall::forward_events(RelayAttempt& attempt) {
    const Time now = BootClock::now();
    std::string event = attempt.splitter.next();
    if (event.empty())
        return attempt;
    RelayAttempt& chosen = choose(attempt);
    std::string events;
    for (; !event.empty(); event = chosen.splitter.next()) {
        note_progress(chosen, now);
        begin_event(chosen, event, now);
        events += event;
    }
    forward_bytes(std::move(events));
    return chosen;
}

// Streams of plain services are not counted: no engine's forward passes advance them together.
void RelayedCall::note_progress(RelayAttempt& attempt, Time now) {
    const bool first = !attempt.has_event();
    attempt.last_event_at = now;
    if (first && response_started_)
        ++resumed_;
    if (++attempt.events_seen == EventsOfBegunAnswer)
        report_answered();
    if (uses_engine())
        host_.directory().use(attempt.endpoint).on_event(engine_demand(attempt), first, now);
}

void RelayedCall::begin_event(RelayAttempt& attempt, std::string_view event, Time now) {
    const std::string_view id = id_of_event(event);
    if (!id.empty())
        last_event_ = id;
    const bool data = has_data(event);
    ends_without_id_ = id.empty() && (ends_without_id_ || data);
    attempt.bytes_without_data = data ? 0 : attempt.bytes_without_data + event.size();
    if (!response_started_) {
        response_started_ = true;
        first_event_took_ = now - received_;
        exchange_->begin(attempt.head.status, end_to_end(attempt.head));
    } else {
        longest_pause_ = std::max(longest_pause_, now - last_forwarded_);
    }
    last_forwarded_ = now;
}

void RelayedCall::forward_bytes(std::string bytes) {
    const std::size_t size = bytes.size();
    unwritten_ += size;
    if (unwritten_ > MaxUnwritten)
        pause_endpoint();
    exchange_->write(std::move(bytes), [weak = weak_from_this(), size](bool) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->unwritten_ -= size;
        if (self->unwritten_ < MaxUnwritten / 2)
            self->resume_endpoint();
    });
}

// A stream that is not read shows nothing of its group, so the group must not be suspected for it.
void RelayedCall::pause_endpoint() {
    if (!current_.call || std::exchange(current_.endpoint_waits, true))
        return;
    current_.call->pause();
    if (uses_engine())
        host_.directory().use(current_.endpoint).stall_detector.paused();
}

void RelayedCall::resume_endpoint() {
    if (!current_.call || !std::exchange(current_.endpoint_waits, false))
        return;
    current_.call->resume();
    if (uses_engine())
        host_.directory().use(current_.endpoint).stall_detector.resumed(BootClock::now());
}

// An HTTP message can be complete although the stream in it is not: an endpoint that fails may
// still close its connection in an orderly way. No engine completes a generation without an event,
// but of one that is resumed nothing may be left.
bool RelayedCall::stream_broken_off(const RelayAttempt& attempt) const {
    const bool rest_may_be_empty =
        !last_event_.empty() && attempt.head.framing != BodyFraming::ConnectionClose;
    const bool event_missing = uses_engine() && !attempt.has_event() && !rest_may_be_empty;
    return attempt.streaming && (attempt.splitter.inside_event() || event_missing);
}

void RelayedCall::on_end(RelayAttempt& attempt, CallEnd how) {
    const bool broken_off = how == CallEnd::Complete && stream_broken_off(attempt);
    if (broken_off)
        count_stream_end(attempt);
    if (how == CallEnd::ConnectFailed) {
        on_no_connection(attempt);
        return;
    }
    // A process that still frames its message to the end has not crashed.
    const bool may_have_crashed =
        how == CallEnd::Broken ||
        (broken_off && attempt.head.framing == BodyFraming::ConnectionClose);
    if (may_have_crashed)
        report_aborted(attempt);
    if (how != CallEnd::Complete || broken_off) {
        host_.directory().failed(attempt.endpoint, BootClock::now());
        on_broken(attempt, reason_of(how));
        return;
    }
    if (attempt.signals.not_run) {
        on_not_run(attempt);
        return;
    }
    on_complete(attempt);
}

// No byte of the request was sent, so this attempt does not count.
void RelayedCall::on_no_connection(RelayAttempt& attempt) {
    const Time now = BootClock::now();
    host_.directory().failed(attempt.endpoint, now);
    host_.unreachable(attempt.endpoint);
    --sends_;
    release(attempt);
    if (is_quiet(attempt))
        quiet_.reset();
    else if (tried_.size() < MaxTriedWithoutConnection)
        send_attempt(now);
    else
        refuse_or_abort("no endpoint accepts connections", RetryAfterNoGroup);
}

void RelayedCall::on_not_run(RelayAttempt& attempt) {
    const Time now = BootClock::now();
    const bool leading =
        host_.directory().registry().find(attempt.endpoint) != nullptr && uses_engine();
    if (attempt.signals.misdirected || leading)
        host_.directory().failed(attempt.endpoint, now);
    release(attempt);
    if (is_quiet(attempt))
        quiet_.reset();
    else
        send_attempt(now);
}

// The endpoint may have crashed because of this request; the host compares it with other calls. A
// part of a prompt that crashes endpoints does so at the beginning of the answer.
void RelayedCall::report_aborted(const RelayAttempt& attempt) {
    const auto age = static_cast<std::uint32_t>(to_millis(BootClock::now() - attempt.sent_at));
    const bool begun = attempt.events_seen >= EventsOfBegunAnswer;
    host_.aborted({fingerprint(), age}, begun ? std::vector<Fingerprint>{} : request_.shared_parts,
                  attempt.endpoint);
}

void RelayedCall::report_answered() {
    if (!request_.shared_parts.empty())
        host_.answered(request_.shared_parts);
}

// The endpoint completed its response, also if it is an error, so the request did not crash it.
void RelayedCall::clear_suspicion() {
    if (!host_.quarantine().empty() && host_.quarantine().is_suspect(fingerprint()))
        host_.cleared(fingerprint());
}

std::string RelayedCall::shared_parts_text() const {
    std::string text;
    for (const Fingerprint& part : request_.shared_parts)
        text += (text.empty() ? "" : ",") + text_of(part);
    return text;
}

void RelayedCall::log_ended_attempt(const RelayAttempt& attempt, const char* why, EndedBy side,
                                    Time now) {
    const char* by = side == EndedBy::Endpoint ? "endpoint" : "this host";
    if (side == EndedBy::ThisHost)
        given_up_ += (given_up_.empty() ? "" : ",") + text_of(attempt.endpoint);
    const char* begun = attempt.has_event() ? "yes" : "no";
    Metrics::instance()
        .counter("liftweir_attempts_ended",
                 std::string("by=\"") + by + "\",begun=\"" + begun + "\"")
        .add();
    const Registry::Item* item = host_.directory().registry().find(attempt.endpoint);
    log(LogLevel::Info, "attempt ended",
        {{"request", request_.id},
         {"endpoint", text_of(attempt.endpoint)},
         {"group", item == nullptr ? "" : item->report.membership.group},
         {"why", why},
         {"by", by},
         {"content", text_of(fingerprint())},
         {"shared_parts", shared_parts_text()},
         {"begun_here", begun},
         {"last_event", last_event_},
         {"framing", std::string(name_of(attempt.head.framing))},
         {"partial_event_bytes", std::to_string(attempt.splitter.remaining().size())},
         {"since_sent_ms", std::to_string(to_millis(now - attempt.sent_at))},
         {"quiet_ms", std::to_string(to_millis(now - attempt.last_event_at))},
         {"repeatable", may_repeat() ? "yes" : "no"}});
}

// The request may have run, so it is retried only if it may run twice; a stream resumes after the
// last event that the caller has received.
void RelayedCall::on_broken(RelayAttempt& attempt, const char* why) {
    const Time now = BootClock::now();
    log_ended_attempt(attempt, why, EndedBy::Endpoint, now);
    if (is_quiet(attempt)) {
        drop_quiet();
        return;
    }
    release(attempt);
    ++runs_;
    if (!may_repeat() || earlier_runs() >= runs_allowed())
        fail_or_abort(why);
    else
        send_attempt(now);
}

void RelayedCall::on_complete(RelayAttempt& attempt) {
    if (!attempt.streaming) {
        complete_whole(attempt);
        return;
    }
    choose(attempt);
    complete_stream();
}

void RelayedCall::count_stream_end(const RelayAttempt& attempt) {
    Metrics::instance()
        .counter("liftweir_streams_ended",
                 "framing=\"" + std::string(name_of(attempt.head.framing)) + "\",partial_event=\"" +
                     (attempt.splitter.inside_event() ? "yes" : "no") + "\"")
        .add();
}

void RelayedCall::complete_stream() {
    clear_suspicion();
    if (current_.has_event())
        report_answered();
    count_stream_end(current_);
    std::string rest = current_.splitter.remaining();
    if (!rest.empty() && response_started_)
        forward_bytes(std::exchange(rest, {}));
    host_.directory().succeeded(current_.endpoint);
    release(current_);
    if (response_started_)
        exchange_->finish();
    else
        exchange_->respond(current_.head.status, end_to_end(current_.head), std::move(rest));
    finish(current_.head.status, "");
}

// An endpoint's server error is forwarded only if no other endpoint can answer the request.
void RelayedCall::complete_whole(RelayAttempt& attempt) {
    const Time now = BootClock::now();
    clear_suspicion();
    if (status_class(attempt.head.status) == 2)
        report_answered();
    const bool failure = status_class(attempt.head.status) == 5;
    if (failure)
        host_.directory().failed(attempt.endpoint, now);
    else
        host_.directory().succeeded(attempt.endpoint);
    if (failure && is_quiet(attempt)) {
        drop_quiet();
        return;
    }
    if (!failure)
        choose(attempt);
    const HttpResponseHead head = current_.head;
    std::string body = std::move(current_.body);
    release(current_);
    ++runs_;
    if (failure && plan_.route->repeatable()) {
        if (earlier_runs() < runs_allowed() && can_send_to_another(now)) {
            send_attempt(now);
            return;
        }
        if (return_to_quiet("another endpoint failed"))
            return;
    }
    exchange_->respond(head.status, end_to_end(head), std::move(body));
    finish(head.status, "");
}

} // namespace liftweir
