// Run by liftweir-site-entry: admits callers' requests, checks their calls in flight, and drains
// them at the shutdown.

#include "process/gateway.h"

#include "process/logging.h"
#include "process/metrics.h"
#include "process/serverlimits.h"
#include "process/siteprogram.h"

#include <algorithm>

namespace liftweir {

namespace {

// How often stalled streams and calls past their time limits are looked for.
constexpr Duration TickInterval = std::chrono::milliseconds(40);
constexpr Duration HousekeepingInterval = std::chrono::milliseconds(1000);
// The lease ends this much before a removed key must be rejected. This covers messages in flight, a
// late turn of the event loop, and the drift of two clocks.
constexpr Duration LeaseMargin = std::chrono::milliseconds(900);
constexpr Duration MinLease = std::chrono::milliseconds(500);
// While a group stays stalled, control hosts are notified this often.
constexpr Duration StallReportInterval = std::chrono::milliseconds(300);
// A stalled group gets no new requests for this long. Then one request tries it.
constexpr Duration StalledAvoidTime = std::chrono::milliseconds(1000);
constexpr Duration RetryAfterUnready = std::chrono::milliseconds(1000);
constexpr GatewayRefusal BadRequest{400, "bad_request", Duration::zero()};
constexpr GatewayRefusal Leaving{503, "leaving", RetryAfterUnready};
constexpr GatewayRefusal NoSettings{503, "no_settings", RetryAfterUnready};
// The load balancer probes readiness every second and removes a host after two failed probes. Until
// then new requests are admitted, after that none. Where most hosts of a zone shut down together,
// the balancer keeps sending to all of them, and requests admitted late would be aborted at the
// end.
constexpr Duration AdmissionGrace = std::chrono::milliseconds(2600);
// Time kept free before the process is killed, for the last answers to be sent.
constexpr Duration ShutdownReserve = std::chrono::milliseconds(900);
// A drained host waits this long for callers to close their connections after the last answers.
constexpr Duration DrainedLinger = std::chrono::milliseconds(300);
// Time for the last answers to be sent: once no call is in flight, and where calls were aborted.
constexpr Duration LastAnswers = std::chrono::milliseconds(20);
constexpr Duration LastAnswersWhenLate = std::chrono::milliseconds(200);
// The record of a stalled endpoint is dropped after this many intervals of StallReportInterval
// without a stall.
constexpr int StallRecordIntervals = 10;

} // namespace

Gateway::Gateway(asio::io_context& io, SiteConfig config, const CallerProtocol& protocol,
                 Decoder decode)
    : io_(io),
      config_(std::move(config)),
      protocol_(protocol),
      decode_(std::move(decode)),
      identity_{ProcessRole::Entry, config_.name, new_incarnation()},
      lease_({}, identity_.incarnation, std::max(MinLease, config_.bounds.revoke - LeaseMargin)),
      directory_(identity_.incarnation),
      pool_(make_channel_pool(io)),
      response_memory_(max_incomplete_bytes(config_)),
      random_(static_cast<std::minstd_rand::result_type>(identity_.incarnation)),
      unread_(max_unread_bytes(config_)),
      ticker_(io, TickInterval, [this] { tick(); }) {
    directory_.zones().set_return_delay(config_.bounds.heartbeat_interval + HeartbeatSlack);
}

Gateway::~Gateway() = default;

void Gateway::start() {
    reconfigure(config_);
    callers_ = serve_http(
        io_, config_.callers, caller_limits({}, config_),
        [this](const std::shared_ptr<HttpExchange>& e) { on_request(e); }, AddressUse::Exclusive,
        this);
    ready_ = serve_http(
        io_, config_.ready, probe_limits(), [this](const std::shared_ptr<HttpExchange>& e) {
            e->respond(ready() ? 200 : 503, {}, ready() ? "ready\n" : "not ready\n");
        });
    metrics_ = serve_metrics(io_, config_.metrics);
    gauges_.add("liftweir_calls_in_flight", [this] { return static_cast<double>(calls_.size()); });
    gauges_.add("liftweir_requests_held",
                [this] { return static_cast<double>(startup_queue_.size()); });
    gauges_.add("liftweir_requests_quarantined", [this] {
        return static_cast<double>(quarantine_.quarantined_count(BootClock::now()));
    });
    gauges_.add("liftweir_endpoints_limited",
                [this] { return static_cast<double>(directory_.limits().book().limited()); });
    gauges_.add("liftweir_models_overloaded",
                [this] { return static_cast<double>(admission_.models(BootClock::now())); });
    gauges_.add("liftweir_zones_out_of_use",
                [this] { return static_cast<double>(directory_.zones().current().zones.size()); });
    gauges_.add("liftweir_unread_bytes", [this] { return static_cast<double>(unread_.bytes()); });
    gauges_.add("liftweir_request_bytes",
                [this] { return static_cast<double>(callers_->request_bytes()); });
    gauges_.add("liftweir_refused_for_memory",
                [this] { return static_cast<double>(callers_->refused_for_memory()); });
    gauges_.add("liftweir_closed_for_others",
                [this] { return static_cast<double>(callers_->closed_for_others()); });
    gauges_.add("liftweir_incomplete_bytes",
                [this] { return static_cast<double>(response_memory_.held()); });
    gauges_.add("liftweir_document_version",
                [this] { return static_cast<double>(document_.version); });
    gauges_.add("liftweir_connections_opened",
                [this] { return static_cast<double>(pool_->opened()); });
    gauges_.add("liftweir_retry_slack_share",
                [this] { return retry_share_.at(BootClock::now()).fraction; });
    gauges_.add("liftweir_lease_left_seconds",
                [this] { return to_seconds(lease_.valid_until() - BootClock::now()); });
    ticker_.start();
}

void Gateway::reconfigure(const SiteConfig& config) {
    config_.seeds = config.seeds;
    for (const std::string& ip : config_.seed_ips())
        connect_to(ip + ":" + std::to_string(config_.link_port));
}

// ---- calls

void Gateway::put_in_force(Deployment deployment) {
    table_ = std::make_shared<const RouteTable>(std::move(deployment));
    urgency_ranks_ = UrgencyRanks(table_->deployment());
    callers_->set_limits(caller_limits(table_->deployment().limits, config_));
    for (const Service& service : table_->deployment().services)
        if (!budgets_.contains(service.name))
            budget(service.name)
                .set_share(retry_share_.at(BootClock::now()).fraction, retry_share_.until());
}

WindowedRetryBudget& Gateway::budget(const std::string& service) {
    const SiteBounds& bounds = config_.bounds;
    return budgets_
        .try_emplace(service, bounds.retry_window, bounds.retry_ratio, bounds.retry_slack)
        .first->second;
}

HttpRefusal Gateway::refusal_of(const CallerRequest& request, const GatewayRefusal& refusal) {
    Metrics::instance()
        .counter("liftweir_refused", std::string("kind=\"") + refusal.kind + "\"")
        .add();
    log(LogLevel::Info, "refused",
        {{"request", request.id},
         {"kind", refusal.kind},
         {"status", std::to_string(refusal.status)},
         {"document", std::to_string(document_.version)}});
    return {refusal.status, protocol_.local_response_headers(request, refusal.retry_after),
            std::string("{\"error\":{\"kind\":\"") + refusal.kind +
                "\",\"outcome\":\"not-run\"}}\n"};
}

void Gateway::respond_error(HttpExchange& exchange, const CallerRequest& request,
                            const GatewayRefusal& refusal) {
    HttpRefusal response = refusal_of(request, refusal);
    exchange.respond(response.status, response.headers, std::move(response.body));
}

const Service* Gateway::choose_service(const RouteTable& table, const Route& route) {
    std::uint64_t sum = 0;
    for (const WeightedService& part : route.split)
        sum += part.weight;
    std::uint64_t at = std::uniform_int_distribution<std::uint64_t>(0, sum - 1)(random_);
    for (const WeightedService& part : route.split) {
        if (at < part.weight)
            return table.deployment().service(part.service);
        at -= part.weight;
    }
    return nullptr;
}

std::optional<GatewayRefusal> Gateway::find_route(const CallerRequest& request, Time now,
                                                  RelayedCallRoute& plan) const {
    plan.table = table_;
    plan.route = table_->find(request.host, request.path);
    // Without contact to control, the route may just have been added.
    if (plan.route == nullptr && !lease_holds(now))
        return GatewayRefusal{503, "no_lease", RetryAfterUnready};
    if (plan.route == nullptr)
        return GatewayRefusal{404, "not_found", Duration::zero()};
    return authorise(request, now, plan);
}

std::optional<GatewayRefusal> Gateway::authorise(const CallerRequest& request, Time now,
                                                 RelayedCallRoute& plan) const {
    plan.urgency = urgency_of(0, plan.route->priority);
    if (!plan.route->needs_key || plan.table->deployment().customers.empty())
        return std::nullopt;
    if (!lease_holds(now))
        return GatewayRefusal{503, "no_lease", RetryAfterUnready};
    const CustomerKeys* customer = request.key ? plan.table->customer(*request.key) : nullptr;
    if (customer == nullptr)
        return GatewayRefusal{401, "unauthorized", Duration::zero()};
    plan.customer = customer->name;
    plan.urgency = urgency_of(customer->priority, plan.route->priority);
    return std::nullopt;
}

// Without settings, nothing is known of the request.
std::optional<HttpRefusal> Gateway::refuse(const RequestView& head) {
    const CallerRequest request = protocol_.read(head);
    const Time now = BootClock::now();
    std::optional<GatewayRefusal> refusal;
    RelayedCallRoute plan;
    if (!request.wellformed)
        refusal = BadRequest;
    else if (is_draining(now))
        refusal = Leaving;
    else if (in_service(now))
        refusal = find_route(request, now, plan);
    if (!refusal)
        return std::nullopt;
    return refusal_of(request, *refusal);
}

void Gateway::on_request(const std::shared_ptr<HttpExchange>& exchange) {
    const CallerRequest request = protocol_.read(*exchange);
    const Time now = BootClock::now();
    exchange->set_label(request.id);
    if (!request.wellformed) {
        respond_error(*exchange, request, BadRequest);
        return;
    }
    if (leaving_since_ != Time{})
        note_admitted_while_leaving(*exchange, request, now);
    if (is_draining(now)) {
        respond_error(*exchange, request, Leaving);
        return;
    }
    if (in_service(now))
        admit(exchange, request);
    else if (leaving_since_ != Time{} || !startup_queue_.add(exchange, request, now))
        respond_error(*exchange, request, NoSettings);
}

// Records whether a late request came on a kept connection, or on a new one because the load
// balancer still sends requests.
void Gateway::note_admitted_while_leaving(const HttpExchange& exchange,
                                          const CallerRequest& request, Time now) {
    const std::string connection = exchange.on_reused_connection() ? "kept" : "new";
    Metrics::instance()
        .counter("liftweir_taken_while_leaving", "connection=\"" + connection + "\"")
        .add();
    log(LogLevel::Info, "request while leaving",
        {{"request", request.id},
         {"connection", connection},
         {"since_signal_ms", std::to_string(to_millis(now - leaving_since_))}});
}

// Whether requests can be checked against settings that are in force. A host that has been in
// service and then lost contact with control rejects at once the requests that need a lease, since
// the loss may last.
bool Gateway::in_service(Time now) const {
    return table_ != nullptr && (ever_in_service_ || lease_holds(now));
}

void Gateway::admit_queued(Time now) {
    if (ever_in_service_)
        return;
    if (in_service(now)) {
        ever_in_service_ = true;
        in_service_since_ = now;
        const std::vector<StartupQueue::QueuedRequest> held = startup_queue_.release();
        log(LogLevel::Info, "in service", {{"held_requests", std::to_string(held.size())}});
        for (const StartupQueue::QueuedRequest& item : held)
            admit(item.exchange, item.request);
        return;
    }
    for (const StartupQueue::QueuedRequest& item : startup_queue_.expired(now))
        respond_error(*item.exchange, item.request, NoSettings);
}

void Gateway::admit(const std::shared_ptr<HttpExchange>& exchange, const CallerRequest& request) {
    const Time now = BootClock::now();
    RelayedCallRoute plan;
    if (const auto refusal = find_route(request, now, plan)) {
        respond_error(*exchange, request, *refusal);
        return;
    }
    plan.service = choose_service(*table_, *plan.route);
    plan.urgency_rank = urgency_ranks_.rank(plan.service->name, plan.urgency);
    if (request.time_limit)
        plan.waited_before =
            waits_.waited(plan.route->name, *request.time_limit, plan.route->timeout, now);
    ++calls_admitted_;
    const auto call = std::make_shared<RelayedCall>(*this, exchange, request, plan);
    calls_.insert(call);
    call->start();
    if (call->done())
        calls_.erase(call);
}

void Gateway::count_demand(const MeteredRequest& request, DemandEvent event) {
    demand_.count(request, event, BootClock::now());
    if (request.retry)
        return;
    Metrics::instance()
        .counter("liftweir_first_attempts", "event=\"" + std::string(name_of(event)) + "\"")
        .add();
}

AdmissionRefusal Gateway::check_admission(const RelayedCallRoute& route, const std::string& model) {
    return admission_.refusal(route.service->name, model, route.urgency, route.customer,
                              std::uniform_real_distribution<double>()(random_), BootClock::now());
}

Duration Gateway::opens_in(const std::string& service, const std::string& model) const {
    return admission_.opens_in(service, model, BootClock::now());
}

void Gateway::ended(const CallSummary& summary) {
    Metrics& metrics = Metrics::instance();
    const std::string labels = "route=\"" + summary.route + "\",class=\"" +
                               std::to_string(status_class(summary.status)) + "xx\"";
    metrics.counter("liftweir_calls", labels).add();
    metrics.histogram("liftweir_call_seconds").add(to_seconds(summary.duration));
    if (summary.first_event > Duration::zero()) {
        metrics.histogram("liftweir_first_event_seconds").add(to_seconds(summary.first_event));
        metrics.histogram("liftweir_longest_pause_seconds").add(to_seconds(summary.longest_pause));
    }
    if (summary.sends > 1)
        metrics.counter("liftweir_sent_again").add(summary.sends - 1);
    if (summary.caller_gone)
        metrics.histogram("liftweir_caller_gone_seconds").add(to_seconds(*summary.caller_gone));
    if (summary.resumed > 0)
        metrics.counter("liftweir_resumed").add();
}

void Gateway::tick() {
    const Time now = BootClock::now();
    if (now >= renew_due_)
        renew(now);
    close_unresponsive_links(now);
    if (now >= load_report_due_)
        send_load(now);
    if (now >= demand_report_due_)
        send_demand(now);
    if (now >= housekeeping_due_) {
        housekeeping_due_ = now + HousekeepingInterval;
        directory_.expire(now);
        if (!admission_.valid(now))
            admission_log_.note({});
        quarantine_.expire(now);
        directory_.limits().expire(
            [this](const EndpointId& id) { return directory_.registry().find(id) != nullptr; },
            now);
        send_limits(now);
    }
    admit_queued(now);
    request_agreed_ranges(now);
    check_stalls(now);
    end_unread(now);
    for (const auto& call : calls())
        call->tick(now);
    std::erase_if(calls_, [](const auto& call) { return call->done(); });
    maybe_stop(now);
}

void Gateway::check_stalls(Time now) {
    std::vector<EndpointId> stalled_endpoints;
    for (const auto& [id, use] : directory_.uses())
        if (use.stall_detector.stalled(now) > Duration::zero())
            stalled_endpoints.push_back(id);
    for (const EndpointId& id : stalled_endpoints) {
        EndpointUse& use = directory_.use(id);
        use.avoid_until = now + StalledAvoidTime;
        report_stall(id, now);
        for (const auto& call : calls())
            call->stalled(id, now);
    }
    std::erase_if(stall_reports_, [&](const auto& item) {
        return now - item.second > StallRecordIntervals * StallReportInterval;
    });
}

void Gateway::report_stall(const EndpointId& id, Time now) {
    Time& reported_at = stall_reports_[id];
    const Registry::Item* item = directory_.registry().find(id);
    if (now - reported_at <= StallReportInterval || item == nullptr || !item->report.grouped())
        return;
    reported_at = now;
    const StallDetector& watch = directory_.use(id).stall_detector;
    const std::int64_t silent = to_millis(watch.stalled(now));
    log(LogLevel::Info, "group stalled",
        {{"endpoint", text_of(id)},
         {"group", item->report.membership.group},
         {"streams", std::to_string(watch.waiting())},
         {"silent_ms", std::to_string(silent)}});
    send_to_control(
        GroupSuspected{item->report.membership.epoch, id, static_cast<std::uint32_t>(silent)});
}

// ---- shutdown

bool Gateway::ready() const {
    return table_ != nullptr && leaving_since_ == Time{} && lease_holds(BootClock::now());
}

void Gateway::leave() {
    if (leaving_since_ != Time{})
        return;
    leaving_since_ = BootClock::now();
    log(LogLevel::Info, "leaving", {{"calls", std::to_string(calls_.size())}});
    callers_->close_after_answers();
}

// Whether new requests are rejected and only the calls in flight are finished.
bool Gateway::is_draining(Time now) const {
    return stopped_ || (leaving_since_ != Time{} && now - leaving_since_ > AdmissionGrace);
}

// A host without calls stops listening: a refused connection moves a caller to another host sooner
// than an error answer does, and late callers can not delay the shutdown. Requests that are still
// being received, and answers that callers read slowly, are not calls, and are waited for too.
bool Gateway::drained(Time now) {
    if (!is_draining(now) || !calls_.empty())
        return false;
    if (drained_since_ == Time{}) {
        drained_since_ = now;
        callers_->stop_accepting();
    }
    if (callers_->busy() > 0)
        return false;
    return callers_->connections() == 0 || now - drained_since_ > DrainedLinger;
}

void Gateway::maybe_stop(Time now) {
    if (leaving_since_ == Time{} || stopped_)
        return;
    if (is_draining(now))
        callers_->close_idle();
    const bool late = now - leaving_since_ > config_.bounds.grace - ShutdownReserve;
    if (late)
        for (const auto& call : calls())
            call->abandon();
    if (!drained(now) && !late)
        return;
    log(LogLevel::Info, "stopped", {{"calls", std::to_string(calls_.size())}});
    stop(late ? LastAnswersWhenLate : LastAnswers);
}

void Gateway::stop(Duration last_answers) {
    stopped_ = true;
    callers_->stop_accepting();
    const auto timer = std::make_shared<asio::steady_timer>(io_, last_answers);
    timer->async_wait([this, timer](asio::error_code) { io_.stop(); });
}

} // namespace liftweir
