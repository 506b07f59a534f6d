// How RelayedCall sends a request to endpoints and ends the call.

#include "request/relayedcall.h"

#include "process/logging.h"
#include "process/metrics.h"
#include "request/precedence.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace liftweir {

namespace {

// An unreachable host does not answer a connect; another endpoint may still meet the latency goal.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(120);
// Beyond the permitted number of runs, one attempt that provably did not run may be retried.
constexpr std::uint32_t ExtraAttempts = 1;

// Times that callers were told, from which they have returned.
std::string_view bucket_of(Duration told) {
    using std::chrono::milliseconds;
    if (told < milliseconds(1200))
        return "1.0-1.2";
    if (told < milliseconds(1600))
        return "1.2-1.6";
    return told < milliseconds(2000) ? "1.6-2.0" : "above";
}

std::string millis_text(Duration d) {
    return std::to_string(to_millis(d));
}

} // namespace

RelayedCall::RelayedCall(RelayedCallContext& host, std::shared_ptr<HttpExchange> exchange,
                         CallerRequest request, RelayedCallRoute plan)
    : host_(host),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      plan_(std::move(plan)),
      received_(exchange_->received()),
      deadline_(received_ +
                std::min(plan_.route->timeout, request_.time_limit.value_or(plan_.route->timeout))),
      last_event_(request_.last_event) {}

void RelayedCall::start() {
    host_.budget(plan_.service->name).request(received_);
    exchange_->on_disconnect([self = shared_from_this()] { self->on_caller_disconnected(); });
    count_demand(DemandEvent::Arrived);
    if (!refused_by_admission())
        send_attempt(received_);
}

// A caller that returns, or resumes a stream, is the same demand once more: the plan's fractions
// apply to its first attempt.
bool RelayedCall::refused_by_admission() {
    if (!uses_engine() || plan_.waited_before > Duration::zero() || !last_event_.empty())
        return false;
    const AdmissionRefusal refusal = host_.check_admission(plan_, request_.model);
    if (refusal == AdmissionRefusal::None)
        return false;
    Metrics::instance()
        .counter("liftweir_admission_refused", "reason=\"" + std::string(name_of(refusal)) + "\"")
        .add();
    count_demand(DemandEvent::Refused);
    refuse(refusal == AdmissionRefusal::Share ? "over the customer's share"
                                              : "less urgent than what the groups can take",
           book_retry(received_));
    return true;
}

// Only models of the document are counted, so that callers can not add classes at will. A caller
// that resumes a stream has been counted at its first attempt.
void RelayedCall::count_demand(DemandEvent event) {
    if (!uses_engine() || plan_.service->engine->model(request_.model) == nullptr)
        return;
    const bool retry = plan_.waited_before > Duration::zero() || !request_.last_event.empty();
    host_.count_demand({{plan_.service->name, request_.model, plan_.urgency, plan_.customer},
                        request_.prompt_tokens,
                        request_.answer_tokens,
                        retry},
                       event);
}

Demand RelayedCall::demand(Time now) const {
    Demand demand;
    demand.service = plan_.service;
    demand.model = request_.model;
    demand.engine = {request_.prompt_tokens, low_priority(now)};
    demand.latency_goal = plan_.route->latency_goal;
    demand.waited = waited(now);
    if (!response_started_) {
        demand.time_left = deadline_ - now;
        demand.caller = caller_return();
    }
    return demand;
}

// By the wait before this call alone: a long time within the call is no return.
CallerReturn RelayedCall::caller_return() const {
    if (!host_.books_retries())
        return CallerReturn::New;
    return classify_return(plan_.waited_before, deadline_ - received_);
}

bool RelayedCall::low_priority(Time now) const {
    return is_bound_to_be_late({response_started_, caller_return() == CallerReturn::Booked,
                                waited(now),
                                response_started_ ? now - last_forwarded_ : Duration::zero(),
                                plan_.route->latency_goal, plan_.route->pause_goal});
}

// ---- sending

void RelayedCall::send_attempt(Time now) {
    if (done_ || refused_by_quarantine(now))
        return;
    const auto sent = send_to_best(now);
    if (sent)
        return;
    if (return_to_quiet("no other endpoint accepts the request"))
        return;
    const bool may_wait = response_started_ || host_.discovering_endpoints(now);
    if (sent.error() != PickFailure::NoneInService && !may_wait) {
        refuse_without_endpoint(sent.error(), now);
        return;
    }
    waiting_ = true;
    tick(now);
}

tl::expected<void, NoPick> RelayedCall::send_to_best(Time now) {
    const auto pick = host_.directory().pick(demand(now), tried_, now);
    if (!pick)
        return tl::make_unexpected(pick.error());
    waiting_ = false;
    send(*pick, now);
    return {};
}

const Fingerprint& RelayedCall::fingerprint() {
    if (!fingerprint_)
        fingerprint_ = fingerprint_of({plan_.customer, exchange_->method(), plan_.route->host,
                                       exchange_->target(), exchange_->body()});
    return *fingerprint_;
}

std::uint32_t RelayedCall::runs_allowed() const {
    return std::max(1u, plan_.route->max_attempts);
}

// The fingerprint is computed only while the quarantine holds any request.
Duration RelayedCall::quarantine_left(Time now) {
    const Quarantine& quarantine = host_.quarantine();
    if (quarantine.empty())
        return Duration::zero();
    Duration left = quarantine.remaining(fingerprint(), now);
    for (const Fingerprint& part : request_.shared_parts)
        left = std::max(left, quarantine.remaining(part, now));
    return left;
}

bool RelayedCall::refused_by_quarantine(Time now) {
    const Duration left = quarantine_left(now);
    if (left <= Duration::zero())
        return false;
    Metrics::instance().counter("liftweir_quarantine_refused").add();
    refuse_or_abort("under quarantine", left);
    return true;
}

// Cancels attempts that have no event yet, before the request can crash their endpoints as well.
void RelayedCall::check_quarantine(Time now) {
    if (done_ || quarantine_left(now) <= Duration::zero())
        return;
    if (quiet_ && !quiet_->has_event())
        drop_quiet();
    if (current_.has_event())
        return;
    if (current_.active()) {
        release(current_);
        ++runs_;
    }
    refused_by_quarantine(now);
}

bool RelayedCall::can_send_to_another(Time now) {
    if (!host_.budget(plan_.service->name).has_left(now)) {
        count_over_budget();
        return false;
    }
    return host_.directory().pick(demand(now), tried_, now).has_value();
}

bool RelayedCall::may_retry(Time now) {
    if (sends_ == 0)
        return true;
    if (earlier_runs() >= runs_allowed() || sends_ >= runs_allowed() + ExtraAttempts)
        return false;
    if (host_.budget(plan_.service->name).take(now))
        return true;
    count_over_budget();
    return false;
}

void RelayedCall::count_over_budget() const {
    Metrics::instance()
        .counter("liftweir_retries_over_budget", "service=\"" + plan_.service->name + "\"")
        .add();
}

// A caller may have disconnected while this process was busy or suspended, with the close not read
// yet. Checking the connection before sending saves the endpoint a useless run.
void RelayedCall::send(const Pick& pick, Time now) {
    if (exchange_->disconnected_at()) {
        on_caller_disconnected();
        return;
    }
    if (!may_retry(now)) {
        refuse_or_abort("no attempt is left", RetryAfterFull);
        return;
    }
    if (sends_++ > 0)
        log_retry(pick, now);
    else if (!std::exchange(admitted_, true))
        count_demand(DemandEvent::Admitted);
    begin_attempt(pick, now);
    occupy_endpoint(pick, now);
    const ForwardedFields fields{current_.endpoint, plan_.customer, deadline_ - now, last_event_,
                                 engine_priority(plan_.urgency_rank, current_.low_priority)};
    ChannelOptions options;
    options.new_connection = !plan_.route->repeatable();
    options.connect_timeout = ConnectTimeout;
    options.max_idle_connections = host_.directory().connections_allowed(*plan_.service);
    current_.call =
        host_.pool().start(pick.address, host_.protocol().forward(*exchange_, fields),
                           exchange_->shared_body(), options, events_of(current_.number));
}

void RelayedCall::log_retry(const Pick& pick, Time now) const {
    const WindowedRetryBudget& budget = host_.budget(plan_.service->name);
    log(LogLevel::Info, "sent again",
        {{"request", request_.id},
         {"endpoint", text_of(pick.endpoint)},
         {"last_event", last_event_},
         {"forecast_ms", std::to_string(std::lround(pick.forecast.first_event_ms))},
         {"service", plan_.service->name},
         {"repeats_used", std::to_string(budget.used(now))},
         {"repeats_left", std::to_string(budget.left(now))},
         {"slack_share", std::to_string(budget.share(now))}});
}

// A new state, so that the response is not mixed with that of an earlier attempt.
void RelayedCall::begin_attempt(const Pick& pick, Time now) {
    current_ = {};
    current_.number = ++attempts_;
    current_.endpoint = pick.endpoint;
    current_.forecast = pick.forecast;
    current_.sent_at = now;
    current_.last_event_at = now;
    current_.low_priority = low_priority(now);
    endpoints_ += (endpoints_.empty() ? "" : ",") + text_of(pick.endpoint);
    tried_.insert(pick.endpoint);
}

void RelayedCall::occupy_endpoint(const Pick& pick, Time now) {
    EndpointUse& use = host_.directory().use(current_.endpoint);
    ++use.in_flight;
    host_.directory().limits().sent(current_.endpoint, now);
    if (pick.cold_interval > Duration::zero())
        use.cold.sent(pick.cold_interval, now);
    if (!uses_engine())
        return;
    use.sent(engine_demand(current_), pick.longest_pass, pick.first_event, now);
    host_.directory().note_sent(request_.model, request_.prompt_tokens, now);
}

CallEvents RelayedCall::events_of(std::uint64_t number) {
    const std::weak_ptr<RelayedCall> weak = weak_from_this();
    // Invokes `handle` with the call and the attempt if neither has ended.
    const auto deliver = [weak, number](const auto& handle) {
        const auto self = weak.lock();
        RelayAttempt* attempt = self && !self->done_ ? self->find_attempt(number) : nullptr;
        if (attempt != nullptr)
            handle(*self, *attempt);
    };
    CallEvents events;
    events.on_connected = [deliver] {
        deliver([](RelayedCall& self, RelayAttempt&) {
            if (self.exchange_->disconnected_at())
                self.on_caller_disconnected();
        });
    };
    events.on_head = [deliver](const HttpResponseHead& head) {
        deliver([&](RelayedCall& self, RelayAttempt& attempt) { self.on_head(attempt, head); });
    };
    events.on_body = [deliver](std::string_view bytes) {
        deliver([&](RelayedCall& self, RelayAttempt& attempt) { self.on_body(attempt, bytes); });
    };
    events.on_end = [deliver](CallEnd how, bool) {
        deliver([&](RelayedCall& self, RelayAttempt& attempt) { self.on_end(attempt, how); });
    };
    return events;
}

RelayAttempt* RelayedCall::find_attempt(std::uint64_t number) {
    if (current_.active() && current_.number == number)
        return &current_;
    return quiet_ && quiet_->number == number ? &*quiet_ : nullptr;
}

void RelayedCall::release(RelayAttempt& attempt) {
    if (attempt.call)
        attempt.call->cancel();
    attempt.call.reset();
    if (!attempt.active())
        return;
    host_.response_memory().change(std::exchange(attempt.held, 0), 0);
    EndpointUse& use = host_.directory().use(attempt.endpoint);
    use.in_flight -= use.in_flight > 0 ? 1 : 0;
    if (uses_engine()) {
        if (std::exchange(attempt.endpoint_waits, false))
            use.stall_detector.resumed(BootClock::now());
        use.ended(engine_demand(attempt), attempt.has_event());
    }
    attempt.endpoint = {};
}

void RelayedCall::release_all() {
    release(current_);
    if (quiet_)
        release(*quiet_);
    quiet_.reset();
}

// ---- an endpoint that is quiet

bool RelayedCall::can_ask_another(Time now) {
    return !quiet_ && runs_ + 1 < runs_allowed() && sends_ < runs_allowed() + ExtraAttempts &&
           quarantine_left(now) <= Duration::zero() && can_send_to_another(now);
}

// Only the endpoint itself can tell whether it will go on, and the others may all reject the
// request. So it keeps the request until another endpoint has gone on with it.
void RelayedCall::ask_another(const char* why, Time now) {
    log(LogLevel::Info, "endpoint is quiet",
        {{"request", request_.id},
         {"endpoint", text_of(current_.endpoint)},
         {"why", why},
         {"last_event", last_event_},
         {"quiet_ms", millis_text(now - current_.last_event_at)}});
    quiet_ = std::exchange(current_, {});
    send_attempt(now);
}

void RelayedCall::drop_quiet() {
    release(*quiet_);
    quiet_.reset();
    ++runs_;
}

bool RelayedCall::return_to_quiet(const char* why) {
    if (!quiet_)
        return false;
    release(current_);
    current_ = std::move(*quiet_);
    quiet_.reset();
    log(LogLevel::Info, "kept at the quiet endpoint",
        {{"request", request_.id}, {"endpoint", text_of(current_.endpoint)}, {"why", why}});
    return true;
}

RelayAttempt& RelayedCall::choose(RelayAttempt& attempt) {
    if (!quiet_)
        return attempt;
    const bool quiet_goes_on = is_quiet(attempt);
    const RelayAttempt& other = quiet_goes_on ? current_ : *quiet_;
    log_ended_attempt(other, "another endpoint was first", EndedBy::ThisHost, BootClock::now());
    if (!quiet_goes_on) {
        drop_quiet();
        return current_;
    }
    release(current_);
    ++runs_;
    current_ = std::move(*quiet_);
    quiet_.reset();
    return current_;
}

// ---- ends

// After the response head was sent, the status can not change any more: the stream is aborted.
void RelayedCall::refuse_or_abort(const char* why, Duration retry_after) {
    if (return_to_quiet(why))
        return;
    if (response_started_)
        abort_response(why);
    else
        refuse(why, retry_after);
}

void RelayedCall::fail_or_abort(const char* why) {
    if (return_to_quiet(why))
        return;
    if (response_started_)
        abort_response(why);
    else
        fail(502, why);
}

void RelayedCall::refuse(const char* why, Duration retry_after) {
    if (done_)
        return;
    release_all();
    // A call that may have run must not be reported as rejected, unless running it twice is safe.
    if (runs_ > 0 && !plan_.route->repeatable()) {
        fail(502, why);
        return;
    }
    exchange_->respond(503, host_.protocol().local_response_headers(request_, retry_after),
                       "{\"error\":{\"kind\":\"no_endpoint\",\"outcome\":\"not-run\"}}\n");
    finish(503, why);
}

// Retry-After names the time when an endpoint is expected to accept requests, if it is known.
void RelayedCall::refuse_without_endpoint(const NoPick& none, Time now) {
    count_demand(DemandEvent::Refused);
    if (none == PickFailure::AllFull) {
        refuse(full_reason(), uses_engine() ? book_retry(now) : RetryAfterFull);
    } else if (none == PickFailure::AllThrottled) {
        Metrics::instance().counter("liftweir_held_back_refused").add();
        const Duration after = host_.directory().retry_delay(none, now);
        refuse("all endpoints are at their limits or backing off",
               std::max(after, CallerWaitEstimator::MinRetryDelay));
    } else {
        refuse(sends_ == 0 ? "no endpoint is in service" : "no other endpoint is in service",
               opens_in() > Duration::zero() ? book_retry(now) : RetryAfterNoGroup);
    }
}

Duration RelayedCall::book_retry(Time now) {
    if (!host_.books_retries())
        return RetryAfterFull;
    const BookedRetry retry = host_.directory().book_retry(demand(now), opens_in(), now);
    Metrics::instance()
        .counter("liftweir_retries_told", retry.booked ? "booked=\"yes\"" : "booked=\"no\"")
        .add();
    return retry.retry_after;
}

// The wait before this call is a little longer than the time that the caller was told, as the
// refused call may have been held.
void RelayedCall::count_return(int status) const {
    const CallerReturn caller = caller_return();
    if (caller == CallerReturn::New)
        return;
    const std::string labels = std::string("due=\"") +
                               (caller == CallerReturn::Booked ? "yes" : "no") + "\",served=\"" +
                               (status_class(status) == 2 ? "yes" : "no") + "\",told=\"" +
                               std::string(bucket_of(plan_.waited_before)) + "\"";
    Metrics::instance().counter("liftweir_returns", labels).add();
}

void RelayedCall::fail(int status, const char* why) {
    if (done_)
        return;
    release_all();
    exchange_->respond(status, host_.protocol().local_response_headers(request_, Duration::zero()),
                       "{\"error\":{\"kind\":\"endpoint_failed\",\"outcome\":\"unknown\"}}\n");
    finish(status, why);
}

void RelayedCall::abort_response(const char* why) {
    if (done_)
        return;
    exchange_->abort();
    finish(0, why);
}

void RelayedCall::on_caller_disconnected() {
    if (done_)
        return;
    if (!response_started_)
        count_demand(DemandEvent::Abandoned);
    const bool at_endpoint = current_.active() || quiet_;
    release_all();
    if (const auto left = exchange_->disconnected_at(); left && at_endpoint)
        cancel_delay_ = BootClock::now() - *left;
    finish(0, "the caller disconnected");
}

void RelayedCall::abandon() {
    if (response_started_)
        abort_response("the process is shutting down");
    else if (sends_ == 0 || plan_.route->repeatable())
        refuse("the process is shutting down", RetryAfterFull);
    else
        fail(502, "the process is shutting down");
}

void RelayedCall::end_unread() {
    finish(0, "caller does not read");
}

void RelayedCall::finish(int status, const char* why) {
    if (std::exchange(done_, true))
        return;
    release_all();
    count_return(status);
    const Duration took = BootClock::now() - received_;
    log(LogLevel::Info, "call",
        {{"request", request_.id},
         {"route", plan_.route->name},
         {"model", request_.model},
         {"urgency", std::to_string(plan_.urgency)},
         {"customer", plan_.customer},
         {"document", std::to_string(plan_.table->deployment().version)},
         {"endpoints", endpoints_},
         {"given_up", given_up_},
         {"status", std::to_string(status)},
         {"took_ms", millis_text(took)},
         {"time_allowed_ms", millis_text(deadline_ - received_)},
         {"waited_before_ms", millis_text(plan_.waited_before)},
         {"forecast_ms", std::to_string(std::lround(current_.forecast.first_event_ms))},
         {"forecast_in_flight", std::to_string(std::lround(current_.forecast.in_flight))},
         {"first_event_ms", millis_text(first_event_took_)},
         {"longest_pause_ms", millis_text(longest_pause_)},
         {"resumed", std::to_string(resumed_)},
         {"framing", std::string(name_of(current_.head.framing))},
         {"partial_event_bytes", std::to_string(current_.splitter.remaining().size())},
         {"why", why}});
    host_.ended({plan_.route->name, status, took, first_event_took_, longest_pause_, sends_,
                 resumed_, cancel_delay_});
}

} // namespace liftweir
