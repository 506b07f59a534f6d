#include "unit/groupsimulator.h"

#include "process/groupname.h"
#include "request/precedence.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace liftweir {

namespace {

constexpr Time Start = Time{} + std::chrono::seconds(100);
constexpr Duration Step = std::chrono::milliseconds(1);
// The intervals of the entry hosts.
constexpr Duration TickInterval = std::chrono::milliseconds(40);
constexpr Duration RenewalInterval = std::chrono::milliseconds(1000);
constexpr Duration AvoidStalledFor = std::chrono::milliseconds(1000);
constexpr Duration RetryAfter = std::chrono::milliseconds(1000);
constexpr Duration CallerTimeout = std::chrono::milliseconds(2250);
const std::string Model = "model";

Duration millis(double ms) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

EngineCost simulated_engine() {
    EngineCost engine;
    engine.slots = 48;
    engine.step_ms = 6.45;
    engine.step_ms_per_sequence = 0.0967;
    engine.prefill_tokens_per_ms = 56.1;
    engine.chunk = 2048;
    engine.steps_per_pass = 5;
    engine.models = {{.name = Model, .size = 1}};
    return engine;
}

GroupSimulator::GroupSimulator(EngineCost engine, int groups, int hosts, std::uint64_t seed)
    : engine_(std::move(engine)), service_{"llm", 4000, engine_}, random_(seed) {
    for (int i = 0; i < hosts; ++i) {
        hosts_.emplace_back(seed + static_cast<std::uint64_t>(i));
        hosts_.back().set_total_load_ratio(hosts);
    }
    for (int i = 0; i < groups; ++i)
        open_group(Start);
}

void GroupSimulator::open_group(Time now) {
    const Epoch epoch = next_epoch_++;
    EndpointReport lead;
    lead.id = "i-" + std::to_string(epoch);
    lead.service = service_.name;
    lead.address = "10.0.0." + std::to_string(epoch) + ":80";
    lead.sequence = 1;
    lead.membership = {
        .group = group_name(Model, epoch, GroupKind::Regular), .epoch = epoch, .rank = 0};
    lead.membership.state = MemberState::Open;
    for (Directory& host : hosts_)
        host.registry().merge(lead, now);
    groups_.push_back({.lead = lead.id, .pass_ends = now, .lost = false, .requests = {}});
}

// Opens a group in place of the lost one, whose end all entry hosts learn.
void GroupSimulator::replace_group(Time now) {
    const auto lost =
        std::find_if(groups_.begin(), groups_.end(), [](const Group& g) { return g.lost; });
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        hosts_[host].registry().mark_gone(lost->lead, now);
        move_requests(*lost, host, now);
    }
    groups_.erase(lost);
    open_group(now);
}

// Stalls the streams of a group without notifying any host.
void GroupSimulator::lose_group() {
    const auto group =
        std::find_if(groups_.begin(), groups_.end(), [](const Group& g) { return !g.lost; });
    group->lost = true;
}

// Each entry host detects stalled groups by itself and moves its requests to other groups.
void GroupSimulator::leave_stalled_groups(Time now) {
    for (std::size_t host = 0; host < hosts_.size(); ++host)
        for (Group& group : groups_) {
            EndpointUse& use = hosts_[host].use(group.lead);
            if (use.stall_detector.stalled(now) == Duration::zero())
                continue;
            use.avoid_until = now + AvoidStalledFor;
            move_requests(group, host, now);
        }
}

void GroupSimulator::move_requests(Group& group, std::size_t host, Time now) {
    for (auto request = group.requests.begin(); request != group.requests.end();) {
        if (request->host != host) {
            ++request;
            continue;
        }
        finish(group, *request);
        Request moved = *request;
        request = group.requests.erase(request);
        moved.prefill_left = moved.demand.prompt_tokens;
        moved.decoding = false;
        if (moved.started)
            waiting_.push_back(moved);
        else if (!send(moved, now))
            refuse(moved, now);
    }
}

// The load that hosts report now reaches the others at the next exchange.
void GroupSimulator::report_load(Time now) {
    for (std::size_t host = 0; host < hosts_.size(); ++host)
        hosts_[host].set_load_of_others(load_table_.load_of_others(std::to_string(host)),
                                        load_table_.report_interval(), now);
    for (std::size_t host = 0; host < hosts_.size(); ++host)
        load_table_.store(std::to_string(host), hosts_[host].own_load(), now);
}

// Every host renews once a second at each of the control hosts, which know the calls that the hosts
// had in flight at their last renewals.
void GroupSimulator::renew_load_shares() {
    constexpr int Controls = 5;
    for (std::size_t host = 0; host < shares_.size(); ++host) {
        in_flight_[host] = 0;
        for (const auto& [id, use] : hosts_[host].uses())
            in_flight_[host] += use.in_flight;
        const auto total = std::accumulate(in_flight_.begin(), in_flight_.end(), 0u);
        for (int control = 0; control < Controls; ++control)
            shares_[host].update(
                {in_flight_[host], total, static_cast<std::uint32_t>(hosts_.size())});
        hosts_[host].set_total_load_ratio(shares_[host].total_load_ratio());
    }
}

SimulatedResult& GroupSimulator::result_of(const Request& request) {
    const Duration at = request.asked - Start;
    const bool counted = at >= counted_.begin && at < counted_.end;
    return counted ? results_[request.kind] : not_counted_;
}

void GroupSimulator::ask(std::size_t number, Time now) {
    const SimulatedRequestKind& kind = kinds_[number];
    Request request;
    request.kind = number;
    request.host = now - Start >= one_host_from_ ? 0 : random_() % hosts_.size();
    request.demand = {kind.prompt_tokens, false};
    request.prefill_left = kind.prompt_tokens;
    request.events_left = kind.events;
    request.asked = now;
    request.last = now;
    ++result_of(request).asked;
    if (!send(request, now))
        refuse(request, now);
}

void GroupSimulator::refuse(Request request, Time now) {
    if (std::exchange(request.retried, true)) {
        ++result_of(request).refused;
        return;
    }
    request.retry_at = now + retry_delay(request, now);
    refused_.push_back(request);
}

Duration GroupSimulator::retry_delay(const Request& request, Time now) {
    if (time_limit_ == Duration::zero())
        return RetryAfter;
    return hosts_[request.host].book_retry(demand_of(request, now), {}, now).retry_after;
}

void GroupSimulator::retry_refused(Time now) {
    for (auto next = refused_.begin(); next != refused_.end();) {
        if (next->retry_at > now) {
            ++next;
            continue;
        }
        Request request = *next;
        next = refused_.erase(next);
        ++result_of(request).returned;
        request.host = random_() % hosts_.size();
        if (time_limit_ > Duration::zero())
            request.caller =
                classify_return(now - request.asked, request.asked + time_limit_ - now);
        if (!send(request, now))
            refuse(request, now);
    }
}

Demand GroupSimulator::demand_of(const Request& request, Time now) const {
    Demand demand;
    demand.service = &service_;
    demand.model = Model;
    demand.engine = request.demand;
    demand.latency_goal = goal_;
    demand.waited = now - request.asked;
    if (time_limit_ > Duration::zero() && !request.started) {
        demand.time_left = request.asked + time_limit_ - now;
        demand.caller = request.caller;
    }
    return demand;
}

// Sends the request to a group. False if no group accepts it now.
bool GroupSimulator::send(Request request, Time now) {
    request.demand.low_priority =
        is_bound_to_be_late({request.started, request.caller == CallerReturn::Booked,
                             now - request.asked, now - request.last, goal_, pause_goal_});
    Directory& host = hosts_[request.host];
    const auto pick = host.pick(demand_of(request, now), {}, now);
    if (!pick)
        return false;
    EndpointUse& use = host.use(pick->endpoint);
    ++use.in_flight;
    use.sent(request.demand, pick->longest_pass, pick->first_event, now);
    host.note_sent(Model, request.demand.prompt_tokens, now);
    const auto group = std::find_if(groups_.begin(), groups_.end(),
                                    [&](const Group& g) { return g.lead == pick->endpoint; });
    group->requests.push_back(request);
    return true;
}

void GroupSimulator::resume_waiting(Time now) {
    for (auto request = waiting_.begin(); request != waiting_.end();) {
        const bool disconnected = now - request->last > CallerTimeout;
        if (!disconnected && !send(*request, now)) {
            ++request;
            continue;
        }
        result_of(*request).late += disconnected ? 1 : 0;
        request = waiting_.erase(request);
    }
}

// Prefills waiting prompts up to the limit of one pass, and returns the duration of the pass in ms.
double GroupSimulator::start_pass(Group& group) {
    const ModelShape& shape = engine_.models.front();
    double decoders = 0;
    std::uint32_t prefill_budget = engine_.chunk * engine_.steps_per_pass;
    std::uint32_t prefilled = 0;
    std::uint32_t free_slots = engine_.slots;
    for (Request& request : group.requests) {
        if (free_slots-- == 0)
            break;
        decoders += request.prefill_left == 0 ? 1 : 0;
        const std::uint32_t part = std::min(request.prefill_left, prefill_budget);
        request.prefill_left -= part;
        prefill_budget -= part;
        prefilled += part;
    }
    return shape.time_factor *
           (engine_.steps_per_pass * (engine_.step_ms + engine_.step_ms_per_sequence * decoders) +
            prefilled / engine_.prefill_tokens_per_ms);
}

void GroupSimulator::end_pass(Group& group, Time now) {
    std::uint32_t free_slots = engine_.slots;
    for (auto request = group.requests.begin();
         request != group.requests.end() && free_slots-- > 0;) {
        if (request->prefill_left > 0) {
            ++request;
            continue;
        }
        request->late = request->late || (request->started ? now - request->last > pause_goal_
                                                           : now - request->asked > goal_);
        hosts_[request->host].use(group.lead).on_event(request->demand, !request->decoding, now);
        request->given_up =
            request->given_up || (!request->started && time_limit_ > Duration::zero() &&
                                  now - request->asked > time_limit_);
        request->started = request->decoding = true;
        request->last = now;
        if (--request->events_left > 0) {
            ++request;
            continue;
        }
        SimulatedResult& result = result_of(*request);
        if (request->given_up) {
            ++result.refused;
        } else {
            ++(request->late ? result.late : result.in_time);
            result.served_on_return += request->retried ? 1 : 0;
        }
        finish(group, *request);
        request = group.requests.erase(request);
    }
}

void GroupSimulator::finish(const Group& group, const Request& request) {
    EndpointUse& use = hosts_[request.host].use(group.lead);
    --use.in_flight;
    use.ended(request.demand, request.decoding);
}

void GroupSimulator::step(Group& group, Time now) {
    if (group.lost || now < group.pass_ends)
        return;
    end_pass(group, now);
    group.pass_ends = group.requests.empty() ? now : now + millis(start_pass(group));
}

std::vector<SimulatedResult>
GroupSimulator::simulate(const std::vector<SimulatedRequestKind>& kinds, Duration goal,
                         Duration pause_goal, Duration length, const std::vector<Duration>& losses,
                         Duration repair) {
    kinds_ = kinds;
    results_.assign(kinds.size(), {});
    goal_ = goal;
    pause_goal_ = pause_goal;
    const double step_s = std::chrono::duration<double>(Step).count();
    for (Time now = Start; now < Start + length; now += Step) {
        const Duration at = now - Start;
        if (std::find(losses.begin(), losses.end(), at) != losses.end())
            lose_group();
        if (std::find(losses.begin(), losses.end(), at - repair) != losses.end())
            replace_group(now);
        if (at % TickInterval == Duration::zero()) {
            leave_stalled_groups(now);
            resume_waiting(now);
        }
        if (!shares_.empty() && at % RenewalInterval == Duration::zero())
            renew_load_shares();
        if (exchanges_shares_ && at % LoadReportInterval == Duration::zero())
            report_load(now);
        retry_refused(now);
        const double load = at >= burst_.begin && at < burst_.end ? burst_.factor : 1;
        for (std::size_t i = 0; i < kinds_.size(); ++i)
            if (std::uniform_real_distribution<double>(0, 1)(random_) <
                kinds_[i].per_second * load * step_s)
                ask(i, now);
        for (Group& group : groups_)
            step(group, now);
    }
    return results_;
}

} // namespace liftweir
