// Run by liftweir-agent: watches the endpoint's process. The gate rests on ping replies of the
// members' agents, which say nothing of the processes beside them: without this watch a lead whose
// engine had ended would admit, and fail, every request.

#include "process/agent.h"

#include "process/timeline.h"

#include <algorithm>

namespace liftweir {

namespace {

// The end of an idle endpoint is noticed within this time. The end of a busy one is noticed at
// once, since an attempt fails. Each probe costs two calls over the loopback interface.
constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
// A request that crashes its engine mostly does so while it is parsed or prefilled. Where several
// attempts were running, those older than this are not suspected, so that a crash does not end long
// streams for good.
constexpr Duration SuspectAge = std::chrono::seconds(2);
constexpr Duration RestartPollInterval = std::chrono::milliseconds(250);

} // namespace

void Agent::probe_endpoint_if_due(Time now) {
    const bool watched = !config_.service.empty() || (gate_ && gate_->engine_ready());
    if (now < probe_due_ || endpoint_gone_ || !watched)
        return;
    probe_due_ = now + ProbeInterval;
    probe_endpoint();
}

void Agent::probe_endpoint() {
    if (probing_)
        return;
    if (config_.service.empty() && (!gate_ || !gate_->engine_ready()))
        return report_failed(true);
    probing_ = true;
    for (FailedAttempt& failed : failed_attempts_)
        failed.probed = true;
    const Epoch epoch = gate_ ? gate_->assignment().epoch : NoEpoch;
    endpoint_->probe(epoch, [this, epoch](EndpointHealth health) { on_probed(epoch, health); });
}

void Agent::on_probed(Epoch epoch, EndpointHealth health) {
    probing_ = false;
    const Epoch held = gate_ ? gate_->assignment().epoch : NoEpoch;
    if (health == EndpointHealth::Ended && held == epoch && !endpoint_gone_)
        endpoint_ended();
    else
        report_failed(false);
    if (!failed_attempts_.empty())
        probe_endpoint(); // for attempts that failed after the last probe was sent
}

// Reports attempts as failed by themselves, after a probe has found the endpoint's process alive.
// With `all`, also reports those that no probe has covered yet.
void Agent::report_failed(bool all) {
    std::vector<FailedAttempt> later;
    for (FailedAttempt& failed : std::exchange(failed_attempts_, {})) {
        if (all || failed.probed)
            failed.link->send(Broken{failed.id, true, failed.kind});
        else
            later.push_back(std::move(failed));
    }
    failed_attempts_ = std::move(later);
}

// Fails all attempts that were running in the process, since any of them may be the cause. The
// group is released at once: its other members can not do this host's part.
void Agent::endpoint_ended() {
    const Time now = BootClock::now();
    const Epoch epoch = gate_ ? gate_->assignment().epoch : NoEpoch;
    auto lost = std::exchange(failed_attempts_, {});
    std::erase_if(attempts_, [&](auto& item) {
        AttemptState& work = *item.second;
        if (!work.running)
            return false;
        endpoint_->cancel(work.call, item.first);
        queue_.finished(now - work.started, std::max<double>(1, work.attempt.expected_tokens));
        lost.push_back({item.first, work.link, work.started});
        return true;
    });
    for (const FailedAttempt& failed : lost) {
        const bool suspect = lost.size() == 1 || now - failed.started < SuspectAge;
        failed.link->send(Broken{failed.id, true, FailureKind::EndpointFailed, true, suspect});
        record({.kind = EventKind::EndpointEnded,
                .host = config_.name,
                .group = epoch,
                .request = to_text(failed.id),
                .detail = std::to_string(lost.size()) + " attempts were running",
                .cause = suspect ? "possibly this request" : ""});
    }
    if (lost.empty())
        record({.kind = EventKind::EndpointEnded, .host = config_.name, .group = epoch});
    endpoint_gone_ = true;
    if (gate_)
        drop_group(epoch, "the endpoint's process ended");
    send_gate_state();
    status_due_ = {};
    await_endpoint();
}

// An engine starts empty, but the last load order may still be in flight to it. So the engine is
// reset as after a restart of the agent before a group may use the host again.
void Agent::await_endpoint() {
    const auto retry = [this] {
        const auto timer = std::make_shared<asio::steady_timer>(io_, RestartPollInterval);
        timer->async_wait([this, timer](asio::error_code error) {
            if (!error)
                await_endpoint();
        });
    };
    const auto on_result = [this, retry](bool back) { back ? on_endpoint_back() : retry(); };
    if (config_.service.empty())
        return endpoint_->reset(on_result);
    endpoint_->probe(NoEpoch,
                     [on_result](EndpointHealth h) { on_result(h == EndpointHealth::Serving); });
}

void Agent::on_endpoint_back() {
    endpoint_gone_ = false;
    probe_due_ = BootClock::now() + ProbeInterval;
    record({.kind = EventKind::EndpointBack, .host = config_.name});
    send_gate_state();
    status_due_ = {};
}

} // namespace liftweir
