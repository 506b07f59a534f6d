// Relays each request: admission, choice of an endpoint, attempts at agents, and the answer.

#include "process/shard.h"

#include "connection/endpoint.h"
#include "connection/ticket.h"
#include "process/metrics.h"
#include "process/observe.h"
#include "process/timeline.h"

#include <algorithm>

namespace liftweir {

namespace {

// Bytes of one stream that may be in flight between an agent and its caller: enough for seconds of
// tokens, and little enough that 5,000 stalled readers take at most a gigabyte of memory.
constexpr std::uint32_t StreamWindowBytes = 128 * 1024;
// After a refusal no requests go to the endpoint until its gate may have changed.
constexpr Duration RefusalBackoff = std::chrono::milliseconds(200);
// When rejected callers should retry.
constexpr Duration RetryAfter = std::chrono::milliseconds(500);
// How often a draining host looks for connections that it can close.
constexpr Duration SweepInterval = std::chrono::milliseconds(25);

std::vector<HttpHeader> outcome_headers(Outcome outcome, Duration retry_after) {
    std::vector<HttpHeader> headers{{"Liftweir-Outcome", std::string(name_of(outcome))}};
    if (retry_after > Duration{}) {
        constexpr std::int64_t MsPerSecond = 1000;
        const std::int64_t seconds = (to_millis(retry_after) + MsPerSecond - 1) / MsPerSecond;
        headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds)));
    }
    return headers;
}

void respond_failure(HttpExchange& exchange, const Failure& failure, Outcome outcome,
                     Duration retry_after) {
    auto headers = outcome_headers(outcome, retry_after);
    headers.emplace_back("Content-Type", "application/json");
    exchange.respond(status_of(failure.kind, outcome), headers, error_body(failure, outcome));
    Metrics::instance()
        .counter("liftweir_requests_total", "outcome=\"" + std::string(name_of(outcome)) + "\"")
        .add();
}

} // namespace

EntryShared::EntryShared(const ProcessConfig& c)
    : config(c),
      identity{ProcessRole::Entry, c.name, new_incarnation()},
      keys(c.cluster_keys),
      table(std::make_shared<const Table>()) {}

// Chooses endpoints for one call through the router and the newest table.
class Shard::CallPlacer final : public EndpointPicker {
  public:
    explicit CallPlacer(Shard& shard) : shard_(shard) {}

    std::optional<PickedEndpoint> pick(const CallSpec& spec,
                                       const std::vector<std::uint64_t>& avoid, bool must_resume,
                                       const std::string& version, Time now) override {
        const auto table = shard_.shared_.table.load(std::memory_order_acquire);
        const std::vector<Target>* targets = nullptr;
        if (spec.is_model) {
            const auto route = table->models.find(spec.name);
            targets = route == table->models.end() ? nullptr : &route->second.targets;
        } else {
            const auto rule = table->services.find(spec.name);
            targets = rule == table->services.end() ? nullptr : &rule->second.targets;
        }
        if (targets == nullptr)
            return std::nullopt;
        RouteQuery query;
        query.adapter = spec.adapter;
        query.prefix = spec.prefix;
        query.must_resume = must_resume;
        query.model_version = version;
        query.avoid = avoid;
        const Target* target = shard_.router_.pick(*targets, table->routing, query, now);
        if (target == nullptr)
            return std::nullopt;
        stats_ = target->stats;
        return PickedEndpoint{target_id(*target), target->host,    target->incarnation,
                              target->epoch,      target->address, target->model.version};
    }

    bool take_retry() override {
        const bool taken = shard_.shared_.retries.take();
        if (taken)
            Metrics::instance().counter("liftweir_retries_total").add();
        return taken;
    }
    Duration retry_after() const override { return RetryAfter; }

    // Returns the statistics of the endpoint that was chosen last.
    std::shared_ptr<TargetStats> take_stats() { return std::move(stats_); }

  private:
    Shard& shard_;
    std::shared_ptr<TargetStats> stats_;
};

struct Shard::ActiveCall {
    ActiveCall(asio::io_context& io, Shard& shard) : placer(shard), timer(io) {}

    struct Sent {
        std::shared_ptr<TargetStats> stats;
        std::string address;
        Time at{};
        bool first_byte = false;
    };

    CallPlacer placer;
    std::unique_ptr<Call> call;
    std::shared_ptr<HttpExchange> exchange; // null once the caller has disconnected
    std::map<AttemptId, Sent> sent;
    TrafficClass traffic_class;
    std::uint32_t slots = 0;
    bool early_refusal = true;
    double retry_share = 0.1;
    std::uint32_t claims_limit = 0;
    Customer customer;
    asio::steady_timer timer;
    Time timer_due{};
    Time began{};
    bool limited = false;
};

Shard::Shard(EntryShared& shared, std::uint64_t seed)
    : shared_(shared),
      work_(asio::make_work_guard(io_)),
      router_(shared.config.zone, seed),
      drain_sweep_(io_, SweepInterval, [this] { sweep_draining(); }) {}

Shard::~Shard() = default;

void Shard::run() {
    const bool single_threaded = shared_.config.threads == 1;
    http_ = serve_http(
        io_, shared_.config.http, HttpServerLimits{},
        [this](std::shared_ptr<HttpExchange> e) { on_request(std::move(e)); },
        single_threaded ? AddressUse::Exclusive : AddressUse::Shared);
    sync_dialers();
    io_.run();
}

void Shard::table_changed() {
    asio::post(io_, [this] { sync_dialers(); });
}

void Shard::drain() {
    asio::post(io_, [this] {
        http_->stop_accepting();
        http_->close_after_answers();
        drain_sweep_.start();
    });
}

// The host stays busy until all answers have left its connections. Otherwise a slow reader would
// lose the rest of its answer.
void Shard::sweep_draining() {
    http_->close_idle();
    busy_.store(http_->busy() > 0, std::memory_order_relaxed);
}

void Shard::stop() {
    io_.stop();
}

Shard::ActiveCall* Shard::find(std::uint64_t sequence) {
    const auto found = calls_.find(sequence);
    return found == calls_.end() ? nullptr : found->second.get();
}

// ---- arrival of a request

void Shard::on_request(std::shared_ptr<HttpExchange> exchange) {
    const auto ready = [&] { return !shared_.leaving && shared_.lease_holds(BootClock::now()); };
    if (exchange->path() == "/healthz" || exchange->path() == "/readyz") {
        serve_observability(*exchange, shared_.keys, ready);
        return;
    }
    const auto refuse = [&](FailureKind kind, const char* text, Duration retry_after) {
        respond_failure(*exchange, {kind, text}, Outcome::NotRun, retry_after);
    };
    // The lease is checked before the table is read. In the opposite order the table could be
    // replaced and the replacement be declared in force between the two steps.
    if (!shared_.lease_holds(BootClock::now()))
        return refuse(FailureKind::NoQuorum, "settings can not be confirmed", RetryAfter);
    const auto table = shared_.table.load(std::memory_order_acquire);
    const std::string authorization = exchange->header("Authorization");
    const auto token = bearer_token(authorization);
    const auto customer =
        token.empty() ? table->customers.end() : table->customers.find(sha256_hex(token));
    if (customer == table->customers.end())
        return refuse(FailureKind::Unauthorized, "missing or unknown API key", {});
    if (shared_.draining)
        return refuse(FailureKind::Draining, "this entry host is leaving", RetryAfter);
    if (exchange->path() == "/v1/models" && exchange->method() == "GET")
        return respond_json(*exchange, 200, models_body(*table));
    admit(exchange, table, customer->second);
}

void Shard::admit(const std::shared_ptr<HttpExchange>& exchange,
                  const std::shared_ptr<const Table>& table, const Customer& customer) {
    const Time now = BootClock::now();
    auto parsed = parse_call(*exchange, *table, now);
    if (!parsed)
        return respond_failure(*exchange, parsed.error(), Outcome::NotRun, {});
    if (table->limits_enabled) {
        if (const auto wait = customer.limits->admit(customer.rates, now))
            return respond_failure(*exchange,
                                   {FailureKind::Overloaded, "the customer's limit is reached"},
                                   Outcome::NotRun, *wait);
    }
    CallSpec& spec = parsed->spec;
    spec.sequence = shared_.next_sequence.fetch_add(1, std::memory_order_relaxed);
    spec.entry = shared_.identity.incarnation;
    spec.customer = customer.name;
    spec.max_attempts = table->retries.attempts;
    spec.hedge_after = table->retries.hedge_after;
    spec.answer_bytes = table->answer_bytes;
    const std::uint64_t sequence = spec.sequence;

    auto active = std::make_unique<ActiveCall>(io_, *this);
    active->exchange = exchange;
    active->traffic_class = parsed->traffic_class;
    active->slots = parsed->slots;
    active->early_refusal = table->early_refusal;
    active->retry_share = table->retries.budget;
    active->claims_limit = table->claims_per_customer;
    active->customer = customer;
    active->began = now;
    active->limited = table->limits_enabled;
    active->call = std::make_unique<Call>(std::move(spec), active->placer);
    exchange->on_disconnect([this, sequence] {
        asio::post(io_, [this, sequence] {
            if (ActiveCall* a = find(sequence)) {
                a->exchange.reset();
                run_actions(*a, a->call->on_caller_gone(BootClock::now()));
            }
        });
    });
    ActiveCall& ref = *active;
    calls_.emplace(sequence, std::move(active));
    shared_.calls.fetch_add(1, std::memory_order_relaxed);
    run_actions(ref, ref.call->start(now));
}

// ---- actions

void Shard::run_actions(ActiveCall& active, CallActions actions) {
    const std::uint64_t sequence = active.call->spec().sequence;
    for (CallAction& action : actions) {
        std::visit([&](auto& a) { perform(active, a); }, action);
        if (find(sequence) != &active)
            return; // the action has ended the call
    }
    if (active.call->done())
        finish(sequence);
    else
        arm_timer(active);
}

void Shard::arm_timer(ActiveCall& active) {
    const Time due = active.call->next_timer();
    if (due == active.timer_due)
        return;
    active.timer_due = due;
    active.timer.expires_after(due - BootClock::now());
    active.timer.async_wait(
        [this, sequence = active.call->spec().sequence](asio::error_code error) {
            ActiveCall* a = error ? nullptr : find(sequence);
            if (a == nullptr)
                return;
            a->timer_due = {};
            run_actions(*a, a->call->on_timer(BootClock::now()));
        });
}

void Shard::finish(std::uint64_t sequence) {
    const auto found = calls_.find(sequence);
    const auto active = std::move(found->second);
    calls_.erase(found);
    shared_.calls.fetch_sub(1, std::memory_order_relaxed);
    for (auto& [id, sent] : active->sent)
        sent.stats->in_flight.fetch_sub(1, std::memory_order_relaxed);
    if (active->limited)
        active->customer.limits->finished(active->customer.rates, active->call->tokens(),
                                          BootClock::now());
}

void Shard::perform(ActiveCall& active, SendAttempt& action) {
    const CallSpec& spec = active.call->spec();
    Attempt attempt;
    attempt.id = action.id;
    attempt.host = action.place.host;
    attempt.incarnation = action.place.incarnation;
    attempt.epoch = action.place.epoch;
    attempt.customer = spec.customer;
    attempt.method = spec.method;
    attempt.path = spec.path;
    attempt.content_type = spec.content_type;
    attempt.body = spec.body;
    attempt.adapter = spec.adapter;
    attempt.deadline_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, to_millis(action.time_left)));
    attempt.class_weight = active.traffic_class.weight;
    attempt.customer_weight = active.customer.weight;
    attempt.shed_order = active.traffic_class.shed_order;
    attempt.traffic_class = active.traffic_class.name;
    attempt.early_refusal = active.early_refusal;
    attempt.resume_tokens = action.resume_tokens;
    attempt.window = spec.streamed ? StreamWindowBytes : 0;
    attempt.expected_tokens = spec.expected_tokens;
    attempt.slots = active.slots;
    attempt.repeatable = spec.repeatable;
    attempt.streamed = spec.streamed;

    auto stats = active.placer.take_stats();
    stats->in_flight.fetch_add(1, std::memory_order_relaxed);
    active.sent[action.id] = {std::move(stats), action.place.address, BootClock::now(), false};
    if (action.id.attempt > 1)
        record({.kind = EventKind::RequestRetried,
                .host = action.place.host,
                .group = action.place.epoch,
                .request = to_text(action.id)});
    const auto dialer = dialers_.find(action.place.address);
    if (dialer != dialers_.end() && dialer->second->send(attempt))
        return;
    // The request was not sent, so this counts as a refusal by the agent.
    asio::post(io_, [this, id = action.id] {
        if (ActiveCall* a = find(id.sequence)) {
            record_end(id, 0, 0);
            run_actions(*a, a->call->on_refused(Refused{id, FailureKind::NoEndpoint, 0, 0, 0},
                                                BootClock::now()));
        }
    });
}

void Shard::perform(ActiveCall& /*active*/, CancelRunningAttempt& action) {
    const auto dialer = dialers_.find(action.place.address);
    if (dialer != dialers_.end())
        dialer->second->send(CancelAttempt{action.id});
}

void Shard::perform(ActiveCall& active, SendClaim& action) {
    const CallSpec& spec = active.call->spec();
    ClaimOnce claim{spec.customer, spec.idempotency_key, spec.digest,
                    action.id,     wall_millis(),        active.claims_limit};
    shared_.submit(claim, [this, sequence = spec.sequence](const CommandReply& reply) {
        asio::post(io_, [this, sequence, reply] {
            if (ActiveCall* a = find(sequence))
                run_actions(*a, a->call->on_claim(reply, BootClock::now()));
        });
    });
}

void Shard::perform(ActiveCall& active, SendCloseClaim& action) {
    const CallSpec& spec = active.call->spec();
    if (action.phase == ClaimPhase::Unknown)
        record({.kind = EventKind::ClaimUnknown, .request = to_text(action.id)});
    shared_.submit(CloseClaim{spec.customer, spec.idempotency_key, action.id, action.phase,
                              action.answer, action.answer_kept},
                   nullptr);
}

void Shard::perform(ActiveCall& active, SendDropClaim& action) {
    const CallSpec& spec = active.call->spec();
    shared_.submit(DropClaim{spec.customer, spec.idempotency_key, action.id}, nullptr);
}

void Shard::perform(ActiveCall& active, BeginStream& action) {
    if (active.exchange)
        active.exchange->begin(
            action.status, {{"Content-Type", action.content_type}, {"Cache-Control", "no-cache"}});
}

// Grants the agent credit for more bytes once the caller's connection has taken these.
void Shard::perform(ActiveCall& active, StreamBytes& action) {
    if (!active.exchange)
        return;
    const auto bytes = static_cast<std::uint32_t>(action.bytes.size());
    active.exchange->write(std::move(action.bytes), [this, id = action.from, bytes](bool ok) {
        ActiveCall* a = find(id.sequence);
        if (!ok || a == nullptr)
            return;
        const auto sent = a->sent.find(id);
        if (sent == a->sent.end())
            return;
        const auto dialer = dialers_.find(sent->second.address);
        if (dialer != dialers_.end())
            dialer->second->send(Credit{id, bytes});
    });
}

void Shard::perform(ActiveCall& active, EndStream& /*action*/) {
    static Counter& completed =
        Metrics::instance().counter("liftweir_requests_total", "outcome=\"completed\"");
    completed.add();
    shared_.retries.earn(active.retry_share);
    if (active.exchange)
        active.exchange->finish();
}

void Shard::perform(ActiveCall& active, WholeAnswer& action) {
    static Counter& completed =
        Metrics::instance().counter("liftweir_requests_total", "outcome=\"completed\"");
    static LatencyHistogram& whole = Metrics::instance().histogram("liftweir_answer_seconds");
    completed.add();
    whole.add(std::chrono::duration<double>(BootClock::now() - active.began).count());
    shared_.retries.earn(active.retry_share);
    if (!active.exchange)
        return;
    auto headers = outcome_headers(Outcome::Completed, {});
    if (!action.answer.content_type.empty())
        headers.emplace_back("Content-Type", action.answer.content_type);
    if (action.replayed)
        headers.emplace_back("Liftweir-Replayed", "true");
    active.exchange->respond(action.answer.status, headers, std::move(action.answer.body));
}

void Shard::perform(ActiveCall& active, FailCall& action) {
    if (action.outcome != Outcome::NotRun)
        record({.kind = EventKind::RequestFailed,
                .request =
                    to_text(AttemptId{active.call->spec().entry, active.call->spec().sequence, 0}),
                .detail = std::string(name_of(action.outcome)),
                .cause = std::string(name_of(action.failure.kind))});
    if (!active.exchange)
        return;
    if (!action.in_stream)
        return respond_failure(*active.exchange, action.failure, action.outcome,
                               action.retry_after);
    // The stream ends with an error event and without the end mark, so that the caller can not take
    // it for a complete answer.
    Metrics::instance()
        .counter("liftweir_requests_total",
                 "outcome=\"" + std::string(name_of(action.outcome)) + "\"")
        .add();
    active.exchange->write(
        "event: error\ndata: " + error_body(action.failure, action.outcome) + "\n\n", [](bool) {});
    active.exchange->finish();
}

// ---- agents

void Shard::sync_dialers() {
    const auto table = shared_.table.load(std::memory_order_acquire);
    std::map<std::string, bool> wanted;
    const auto want = [&](const std::vector<Target>& targets) {
        for (const Target& target : targets)
            wanted[target.address] = true;
    };
    for (const auto& [name, route] : table->models)
        want(route.targets);
    for (const auto& [name, rule] : table->services)
        want(rule.targets);
    for (const auto& [sequence, active] : calls_)
        for (const auto& [id, sent] : active->sent)
            wanted[sent.address] = true;
    for (const auto& item : wanted) {
        const std::string& address = item.first;
        if (dialers_.contains(address))
            continue;
        auto dialer = std::make_unique<Dialer>(io_, address, shared_.identity, shared_.keys);
        dialer->start([](const Link::Ptr&) {},
                      [this, address](const Link::Ptr&, WireMessage&& m) {
                          on_agent_message(address, std::move(m));
                      },
                      [this, address](const Link::Ptr&) { on_link_down(address); });
        dialers_.emplace(address, std::move(dialer));
    }
    std::erase_if(dialers_, [&](const auto& item) { return !wanted.contains(item.first); });
    for (const auto& [address, state] : gates_)
        apply_gate(state);
}

void Shard::apply_gate(const GateState& state) {
    const auto table = shared_.table.load(std::memory_order_acquire);
    const auto apply = [&](const std::vector<Target>& targets) {
        for (const Target& target : targets) {
            if (target.host != state.host)
                continue;
            const bool same =
                target.incarnation == state.incarnation && target.epoch == state.epoch;
            target.stats->open.store(same && state.open, std::memory_order_relaxed);
            target.stats->can_resume.store(state.can_resume, std::memory_order_relaxed);
        }
    };
    for (const auto& [name, route] : table->models)
        apply(route.targets);
    for (const auto& [name, rule] : table->services)
        apply(rule.targets);
}

void Shard::record_end(const AttemptId& id, std::uint32_t running, std::uint32_t waiting) {
    ActiveCall* active = find(id.sequence);
    if (active == nullptr)
        return;
    const auto sent = active->sent.find(id);
    if (sent == active->sent.end())
        return;
    sent->second.stats->in_flight.fetch_sub(1, std::memory_order_relaxed);
    record_queue_depth(*sent->second.stats, running, waiting, BootClock::now());
    active->sent.erase(sent);
}

void Shard::on_agent_message(const std::string& address, WireMessage&& message) {
    const Time now = BootClock::now();
    const auto with = [&](const AttemptId& id, auto run) {
        if (id.entry != shared_.identity.incarnation)
            return;
        if (ActiveCall* active = find(id.sequence))
            run_actions(*active, run(*active));
    };
    if (const auto* state = std::get_if<GateState>(&message)) {
        gates_[address] = *state;
        apply_gate(*state);
    } else if (const auto* chunk = std::get_if<Chunk>(&message)) {
        with(chunk->id, [&](ActiveCall& a) {
            const auto sent = a.sent.find(chunk->id);
            if (sent != a.sent.end() && !std::exchange(sent->second.first_byte, true) &&
                a.call->spec().streamed) {
                static LatencyHistogram& first =
                    Metrics::instance().histogram("liftweir_first_token_seconds");
                first.add(std::chrono::duration<double>(now - a.began).count());
                record_first_token(*sent->second.stats, now - sent->second.at);
            }
            return a.call->on_chunk(*chunk, now);
        });
    } else if (const auto* head = std::get_if<Head>(&message)) {
        with(head->id, [&](ActiveCall& a) { return a.call->on_head(*head, now); });
    } else if (const auto* end = std::get_if<End>(&message)) {
        record_end(end->id, end->running, end->waiting);
        with(end->id, [&](ActiveCall& a) { return a.call->on_end(*end, now); });
    } else if (const auto* refused = std::get_if<Refused>(&message)) {
        if (ActiveCall* active = find(refused->id.sequence)) {
            const auto sent = active->sent.find(refused->id);
            const bool closed = refused->reason == FailureKind::NoEndpoint ||
                                refused->reason == FailureKind::Draining;
            if (closed && sent != active->sent.end())
                sent->second.stats->closed_until.store(
                    (now + RefusalBackoff).time_since_epoch().count());
        }
        record_end(refused->id, refused->running, refused->waiting);
        with(refused->id, [&](ActiveCall& a) { return a.call->on_refused(*refused, now); });
    } else if (const auto* broken = std::get_if<Broken>(&message)) {
        record_end(broken->id, 0, 0);
        with(broken->id, [&](ActiveCall& a) { return a.call->on_broken(*broken, now); });
    }
}

void Shard::on_link_down(const std::string& address) {
    const auto gate = gates_.find(address);
    if (gate != gates_.end()) {
        gate->second.open = false;
        apply_gate(gate->second);
    }
    std::vector<std::uint64_t> affected;
    for (const auto& [sequence, active] : calls_)
        for (const auto& [id, sent] : active->sent)
            if (sent.address == address)
                affected.push_back(sequence);
    for (const std::uint64_t sequence : affected) {
        ActiveCall* active = find(sequence);
        if (active == nullptr)
            continue;
        std::vector<AttemptId> lost;
        for (const auto& [id, sent] : active->sent)
            if (sent.address == address)
                lost.push_back(id);
        for (const AttemptId& id : lost)
            record_end(id, 0, 0);
        run_actions(*active, active->call->on_link_lost(address, BootClock::now()));
    }
}

} // namespace liftweir
