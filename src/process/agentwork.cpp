// Run by liftweir-agent: receives attempts from entry hosts, queues them, forwards them to the
// endpoint and sends the answers back.

#include "process/agent.h"

#include "connection/httpmessage.h"
#include "process/metrics.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr std::size_t MaxSeenAttempts = 200000;

// Expected work of an attempt: its tokens where the entry host gave a hint, else 1.
double cost_of(const Attempt& attempt) {
    return std::max(1.0, static_cast<double>(attempt.expected_tokens));
}

} // namespace

bool Agent::admits() const {
    if (leaving_ || endpoint_gone_ || (gate_ && gate_->assignment().draining))
        return false;
    return config_.service.empty() ? was_open_ : true;
}

GateState Agent::gate_state() const {
    GateState state;
    state.host = config_.name;
    state.incarnation = identity_.incarnation;
    state.epoch = gate_ ? gate_->assignment().epoch : NoEpoch;
    state.open = admits();
    state.running = static_cast<std::uint32_t>(queue_.running());
    state.waiting = static_cast<std::uint32_t>(queue_.waiting());
    state.can_resume = endpoint_->can_resume_streams();
    return state;
}

void Agent::send_gate_state() {
    for (const Link::Ptr& link : entries_)
        link->send(gate_state());
}

void Agent::on_entry_message(const Link::Ptr& link, WireMessage&& message) {
    if (link->peer().role != ProcessRole::Entry)
        return;
    if (auto* attempt = std::get_if<Attempt>(&message))
        on_attempt(link, std::move(*attempt));
    else if (const auto* cancel = std::get_if<CancelAttempt>(&message))
        on_cancel(cancel->id);
    else if (const auto* credit = std::get_if<Credit>(&message))
        on_credit(*credit);
}

// The answers can not be delivered any more. Running calls that must not be repeated go on to their
// end: the endpoint already has them, and a cancellation would only make their outcome less
// certain.
void Agent::on_entry_down(const Link::Ptr& link) {
    entries_.erase(link);
    std::vector<AttemptId> orphans;
    for (const auto& [id, work] : attempts_)
        if (work->link == link && (work->attempt.repeatable || !work->running))
            orphans.push_back(id);
    for (const AttemptId& id : orphans)
        on_cancel(id);
}

void Agent::mark_seen(const AttemptId& id) {
    if (!seen_attempts_.insert(id).second)
        return;
    seen_attempts_order_.push_back(id);
    if (seen_attempts_order_.size() > MaxSeenAttempts) {
        seen_attempts_.erase(seen_attempts_order_.front());
        seen_attempts_order_.pop_front();
    }
}

std::optional<FailureKind> Agent::refusal(const Attempt& attempt) const {
    if (leaving_)
        return FailureKind::Draining;
    if (attempt.host != config_.name || attempt.incarnation != identity_.incarnation ||
        seen_attempts_.contains(attempt.id))
        return FailureKind::NoEndpoint;
    if (endpoint_gone_)
        return FailureKind::NoEndpoint;
    if (!config_.service.empty())
        return std::nullopt;
    if (!gate_ || gate_->assignment().epoch != attempt.epoch || !gate_->open(BootClock::now()))
        return FailureKind::NoEndpoint;
    if (gate_->assignment().draining)
        return FailureKind::Draining;
    return std::nullopt;
}

void Agent::on_attempt(const Link::Ptr& link, Attempt&& attempt) {
    const AttemptId id = attempt.id;
    if (const auto reason = refusal(attempt))
        return refuse(link, id, *reason, {});
    mark_seen(id);
    if (attempt.slots > 0)
        queue_.resize(attempt.slots, DefaultQueueLength);
    const Time now = BootClock::now();
    auto work = std::make_unique<AttemptState>();
    work->link = link;
    work->deadline = now + std::chrono::milliseconds(attempt.deadline_ms);
    const QueueItem item{id,
                         attempt.traffic_class,
                         attempt.customer,
                         attempt.class_weight,
                         attempt.customer_weight,
                         attempt.shed_order,
                         cost_of(attempt),
                         work->deadline,
                         attempt.early_refusal};
    work->attempt = std::move(attempt);
    const Admission admission = queue_.offer(item, now);
    if (!admission.admitted)
        return refuse(link, id, admission.reason, admission.retry_after);
    attempts_.emplace(id, std::move(work));
    if (admission.shed) {
        const auto shed = attempts_.find(*admission.shed);
        if (shed != attempts_.end()) {
            refuse(shed->second->link, *admission.shed, FailureKind::Overloaded,
                   admission.retry_after);
            attempts_.erase(shed);
        }
    }
    start_queued();
}

void Agent::refuse(const Link::Ptr& link, const AttemptId& id, FailureKind reason,
                   Duration retry_after) {
    mark_seen(id);
    Metrics::instance()
        .counter("liftweir_refused_total", "reason=\"" + std::string(name_of(reason)) + "\"")
        .add();
    link->send(Refused{id, reason, static_cast<std::uint32_t>(to_millis(retry_after)),
                       static_cast<std::uint32_t>(queue_.running()),
                       static_cast<std::uint32_t>(queue_.waiting())});
}

void Agent::start_queued() {
    std::vector<QueueItem> expired;
    while (true) {
        // The gate is checked again right before each forward, since time has passed in the queue.
        if (config_.service.empty() && queue_.waiting() > 0 &&
            (!gate_ || !gate_->open(BootClock::now())))
            break;
        const auto item = queue_.start_next(BootClock::now(), expired);
        if (!item)
            break;
        const auto found = attempts_.find(item->id);
        if (found == attempts_.end())
            queue_.finished({}, 0);
        else
            start(*found->second);
    }
    for (const QueueItem& item : expired) {
        const auto found = attempts_.find(item.id);
        if (found == attempts_.end())
            continue;
        refuse(found->second->link, item.id, FailureKind::DeadlineTooNear, {});
        attempts_.erase(found);
    }
}

void Agent::start(AttemptState& work) {
    const AttemptId id = work.attempt.id;
    work.running = true;
    work.started = BootClock::now();
    const auto left = work.deadline - work.started;
    work.attempt.deadline_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, to_millis(left)));
    work.relay = std::make_unique<Relay>(id, work.attempt.streamed, work.attempt.resume_tokens,
                                         work.attempt.window);
    static Counter& started = Metrics::instance().counter("liftweir_attempts_started_total");
    started.add();
    const auto with_work = [this, id](auto run) {
        const auto found = attempts_.find(id);
        if (found != attempts_.end())
            run(*found->second);
    };
    EndpointCallbacks callbacks;
    callbacks.on_head = [with_work, id](int status, const std::string& type) {
        with_work([&](AttemptState& w) {
            w.link->send(Head{id, static_cast<std::uint32_t>(status), type});
            // Endpoints answer errors as plain JSON even where the request asked for a stream.
            if (!is_event_stream(type) && w.attempt.streamed)
                w.relay = std::make_unique<Relay>(id, false, 0, w.attempt.window);
        });
    };
    callbacks.on_data = [this, with_work](std::string_view bytes) {
        bool taken = true;
        with_work([&](AttemptState& w) {
            taken = w.relay->add_bytes(bytes);
            send_chunks(w);
        });
        return taken;
    };
    callbacks.on_done = [this, id](const Expected<int>& result, bool sent) {
        on_done(id, result, sent);
    };
    work.call = endpoint_->start(work.attempt, std::move(callbacks));
}

void Agent::send_chunks(AttemptState& work) {
    while (auto chunk = work.relay->next_chunk())
        work.link->send(*chunk);
}

void Agent::on_done(const AttemptId& id, const Expected<int>& result, bool started) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    const auto work = std::move(found->second);
    attempts_.erase(found);
    queue_.finished(BootClock::now() - work->started, cost_of(work->attempt));
    const auto end = result ? work->relay->finish() : std::nullopt;
    if (end) {
        End message = *end;
        message.running = static_cast<std::uint32_t>(queue_.running());
        message.waiting = static_cast<std::uint32_t>(queue_.waiting());
        work->link->send(message);
    } else {
        const FailureKind kind = result ? FailureKind::EndpointFailed : result.error().kind;
        if (started && kind == FailureKind::EndpointFailed)
            failed_attempts_.push_back({id, work->link, work->started, kind});
        else
            work->link->send(Broken{id, started, kind});
        if (kind == FailureKind::EndpointFailed)
            probe_endpoint();
    }
    start_queued();
}

// Keeps the id as a tombstone, so that a copy of the attempt that arrives later does not start.
void Agent::on_cancel(const AttemptId& id) {
    mark_seen(id);
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    const auto work = std::move(found->second);
    attempts_.erase(found);
    if (work->running) {
        endpoint_->cancel(work->call, id);
        queue_.finished(BootClock::now() - work->started, cost_of(work->attempt));
    } else {
        queue_.remove(id);
    }
    work->link->send(Broken{id, work->running, FailureKind::Cancelled});
    start_queued();
}

void Agent::on_credit(const Credit& credit) {
    const auto found = attempts_.find(credit.id);
    if (found == attempts_.end() || !found->second->relay)
        return;
    found->second->relay->credit(credit.bytes);
    endpoint_->resume(found->second->call);
}

void Agent::fail_all(FailureKind reason) {
    queue_.take_all();
    report_failed(true);
    for (auto& [id, work] : std::exchange(attempts_, {})) {
        if (!work->running) {
            refuse(work->link, id, FailureKind::NoEndpoint, {});
            continue;
        }
        endpoint_->cancel(work->call, id);
        queue_.finished(BootClock::now() - work->started, cost_of(work->attempt));
        work->link->send(Broken{id, true, reason});
    }
}

} // namespace liftweir
