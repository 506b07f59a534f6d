// How RelayedCall takes an endpoint's answer: passes it on, or decides what follows where it breaks
// off.

#include "process/logging.h"
#include "request/relayedcall.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// Once so many endpoints were tried, the next one that takes no connection ends the call.
constexpr std::size_t MostTriedWithoutConnection = 4;
// Answers that are held back until they are whole; larger ones are cut off as failures.
constexpr std::size_t MaxWholeBody = 8u << 20;
// A slow caller holds its endpoint back beyond this many bytes.
constexpr std::size_t MaxUnwritten = 256u << 10;

bool is_event_stream(const HttpResponseHead& head) {
    return find_header(head.headers, "content-type").starts_with("text/event-stream");
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

// ---- the endpoint's answer

void RelayedCall::on_head(const HttpResponseHead& head) {
    head_ = head;
    note_ = host_.protocol().parse_response(head, request_);
    if (note_.request_id_mismatch) {
        on_broken("the answer belongs to another request");
        return;
    }
    note_limit();
    note_backoff();
    if (note_.leaving && !note_.misdirected)
        host_.note_leaving(endpoint_);
    events_ = status_class(head.status) == 2 && is_event_stream(head);
    if (begun_ && !events_ && !note_.not_run)
        on_broken("a stream was not taken up");
}

// An endpoint that fails, and names no limit, has not taken one back.
void RelayedCall::note_limit() {
    const bool named = note_.limit_per_second > 0 || note_.limit_fault != NumberFault::None;
    if (!note_.misdirected && (named || status_class(head_.status) != 5))
        host_.note_limit(endpoint_, note_, sent_);
}

void RelayedCall::note_backoff() {
    if (note_.backoff > Duration::zero() || note_.backoff_fault != NumberFault::None)
        host_.note_backoff(endpoint_, note_);
}

void RelayedCall::on_body(std::string_view bytes) {
    if (done_ || endpoint_.empty())
        return;
    if (!events_) {
        body_.append(bytes);
        if (body_.size() > MaxWholeBody)
            on_broken("the answer is too large");
        return;
    }
    splitter_.feed(bytes);
    pass_events();
    if (splitter_.overflowed())
        on_broken("an event is too large");
}

void RelayedCall::pass_events() {
    const Time now = BootClock::now();
    for (std::string event = splitter_.next(); !event.empty(); event = splitter_.next()) {
        note_progress(now);
        pass_event(std::move(event));
    }
}

// Plain services may stream too, but no engine's passes move their streams.
void RelayedCall::note_progress(Time now) {
    const bool first = !std::exchange(first_seen_, true);
    if (uses_engine())
        host_.directory().use(endpoint_).on_event(engine_demand(), first, now);
}

void RelayedCall::pass_event(std::string event) {
    const Time now = BootClock::now();
    if (const std::string_view id = id_of_event(event); !id.empty())
        last_event_ = id;
    if (!begun_) {
        begun_ = true;
        first_event_took_ = now - received_;
        exchange_->begin(head_.status, end_to_end(head_));
    } else {
        longest_pause_ = std::max(longest_pause_, now - last_passed_);
    }
    last_passed_ = now;
    pass_bytes(std::move(event));
}

void RelayedCall::pass_bytes(std::string bytes) {
    const std::size_t size = bytes.size();
    unwritten_ += size;
    if (unwritten_ > MaxUnwritten && call_)
        call_->pause();
    exchange_->write(std::move(bytes), [weak = weak_from_this(), size](bool) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->unwritten_ -= size;
        if (self->unwritten_ < MaxUnwritten / 2 && self->call_)
            self->call_->resume();
    });
}

void RelayedCall::on_end(CallEnd how) {
    if (done_ || endpoint_.empty())
        return;
    if (how == CallEnd::ConnectFailed) {
        on_no_connection();
        return;
    }
    if (how == CallEnd::Broken)
        note_cut_off();
    if (how != CallEnd::Complete) {
        host_.directory().failed(endpoint_, BootClock::now());
        on_broken(how == CallEnd::Broken ? "the endpoint aborted the request" : "not an answer");
        return;
    }
    if (note_.not_run) {
        on_not_run();
        return;
    }
    on_complete();
}

// No byte of the request has left, so this attempt counts for nothing.
void RelayedCall::on_no_connection() {
    const Time now = BootClock::now();
    host_.directory().failed(endpoint_, now);
    host_.unreachable(endpoint_);
    release_endpoint();
    --sends_;
    if (tried_.size() < MostTriedWithoutConnection)
        attempt(now);
    else
        refuse_or_cut("no endpoint takes connections", RetryAfterNoGroup);
}

void RelayedCall::on_not_run() {
    const Time now = BootClock::now();
    const bool leading = host_.directory().registry().find(endpoint_) != nullptr && uses_engine();
    if (note_.misdirected || leading)
        host_.directory().failed(endpoint_, now);
    release_endpoint();
    attempt(now);
}

// The endpoint may have ended, and because of this request: the host knows more than one call does.
void RelayedCall::note_cut_off() {
    const auto age = static_cast<std::uint32_t>(to_millis(BootClock::now() - sent_));
    host_.aborted({fingerprint(), age}, endpoint_);
}

// A success, or a failure that the endpoint lived to tell of.
void RelayedCall::note_answered() {
    if (!host_.quarantine().empty() && host_.quarantine().is_suspect(fingerprint()))
        host_.cleared(fingerprint());
}

// The request may have run. Only what may run twice is sent again; a stream goes on behind the
// last event that the caller has.
void RelayedCall::on_broken(const char* why) {
    const Time now = BootClock::now();
    log(LogLevel::Info, "attempt ended",
        {{"request", request_.id},
         {"endpoint", text_of(endpoint_)},
         {"why", why},
         {"content", text_of(fingerprint())},
         {"begun_here", first_seen_ ? "yes" : "no"},
         {"last_event", last_event_},
         {"since_sent_ms", std::to_string(to_millis(now - sent_))},
         {"repeatable", plan_.route->repeatable() ? "yes" : "no"}});
    release_endpoint();
    ++runs_;
    const bool repeatable = plan_.route->repeatable();
    if (repeatable && begun_)
        ++resumed_;
    if (!repeatable || runs_ >= runs_allowed()) {
        fail_or_cut(why);
        return;
    }
    attempt(now);
}

void RelayedCall::on_complete() {
    if (events_)
        complete_stream();
    else
        complete_whole();
}

void RelayedCall::complete_stream() {
    note_answered();
    std::string rest = splitter_.rest();
    if (!rest.empty() && begun_)
        pass_bytes(std::move(rest));
    host_.directory().succeeded(endpoint_);
    release_endpoint();
    if (!begun_)
        exchange_->begin(head_.status, end_to_end(head_));
    exchange_->finish();
    finish(head_.status, "");
}

// An endpoint's own failure is passed on only where no other endpoint may be asked.
void RelayedCall::complete_whole() {
    const Time now = BootClock::now();
    note_answered();
    const bool failure = status_class(head_.status) == 5;
    if (failure)
        host_.directory().failed(endpoint_, now);
    else
        host_.directory().succeeded(endpoint_);
    const HttpResponseHead head = head_;
    std::string body = std::move(body_);
    release_endpoint();
    ++runs_;
    if (failure && plan_.route->repeatable() && runs_ < runs_allowed() && takes_another(now)) {
        attempt(now);
        return;
    }
    exchange_->respond(head.status, end_to_end(head), std::move(body));
    finish(head.status, "");
}

} // namespace liftweir
