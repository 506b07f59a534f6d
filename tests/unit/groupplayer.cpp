#include "unit/groupplayer.h"

#include "process/groupname.h"
#include "request/precedence.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr Time Start = Time{} + std::chrono::seconds(100);
constexpr Duration Step = std::chrono::milliseconds(1);
constexpr Duration RetryEvery = std::chrono::milliseconds(40);
constexpr Duration CallerPatience = std::chrono::milliseconds(2250);
const std::string Model = "model";

Duration millis(double ms) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

EngineCost played_engine() {
    EngineCost engine;
    engine.slots = 48;
    engine.step_ms = 6.45;
    engine.step_ms_per_sequence = 0.0967;
    engine.read_tokens_per_ms = 56.1;
    engine.chunk = 2048;
    engine.stride = 5;
    engine.models = {{.name = Model, .size = 1}};
    return engine;
}

GroupPlayer::GroupPlayer(EngineCost engine, int groups, int hosts, std::uint64_t seed)
    : engine_(std::move(engine)), service_{"llm", 4000, engine_}, random_(seed) {
    for (int i = 0; i < hosts; ++i) {
        hosts_.emplace_back(seed + static_cast<std::uint64_t>(i));
        hosts_.back().set_others(hosts);
    }
    for (int i = 0; i < groups; ++i)
        open_group(Start);
}

void GroupPlayer::open_group(Time now) {
    const Epoch epoch = next_epoch_++;
    EndpointReport lead;
    lead.id = "i-" + std::to_string(epoch);
    lead.service = service_.name;
    lead.address = "10.0.0." + std::to_string(epoch) + ":80";
    lead.sequence = 1;
    lead.membership = {.group = group_name(Model, epoch, false), .epoch = epoch, .rank = 0};
    lead.membership.state = MemberState::Open;
    for (Directory& host : hosts_)
        host.registry().merge(lead, now);
    groups_.push_back({.lead = lead.id, .pass_ends = now, .requests = {}});
}

// Entry hosts are told at once.
void GroupPlayer::lose_group(Time now) {
    Group& group = groups_.front();
    for (Request& request : group.requests) {
        finish(group, request);
        request.unread = request.demand.prompt_tokens;
        waiting_.push_back(request);
    }
    for (Directory& host : hosts_)
        host.registry().mark_gone(group.lead, now);
    groups_.pop_front();
}

void GroupPlayer::ask(std::size_t number, Time now) {
    const PlayedKind& kind = kinds_[number];
    ++results_[number].asked;
    Request request;
    request.kind = number;
    request.host = random_() % hosts_.size();
    request.demand = {kind.prompt_tokens, false};
    request.unread = kind.prompt_tokens;
    request.events_left = kind.events;
    request.asked = now;
    request.last = now;
    if (!send(request, now))
        ++results_[number].refused;
}

// Fails where no group takes the request now.
bool GroupPlayer::send(Request request, Time now) {
    request.demand.yields = lets_others_go_first(
        {request.began, now - request.asked, now - request.last, goal_, pause_goal_});
    Demand demand;
    demand.service = &service_;
    demand.model = Model;
    demand.engine = request.demand;
    demand.latency_goal = goal_;
    demand.waited = now - request.asked;
    Directory& host = hosts_[request.host];
    const auto pick = host.pick(demand, {}, now);
    if (!pick)
        return false;
    EndpointUse& use = host.use(pick->endpoint);
    ++use.in_flight;
    use.sent(request.demand, pick->longest_pass, pick->first_event, now);
    const auto group = std::find_if(groups_.begin(), groups_.end(),
                                    [&](const Group& g) { return g.lead == pick->endpoint; });
    request.resumed = request.began;
    request.began = false;
    group->requests.push_back(request);
    return true;
}

void GroupPlayer::resume_waiting(Time now) {
    for (auto request = waiting_.begin(); request != waiting_.end();) {
        const bool gone = now - request->last > CallerPatience;
        if (!gone && !send(*request, now)) {
            ++request;
            continue;
        }
        results_[request->kind].late += gone ? 1 : 0;
        request = waiting_.erase(request);
    }
}

// Reads what waits, as far as one pass goes, and returns how long the pass takes.
double GroupPlayer::start_pass(Group& group) {
    const ModelShape& shape = engine_.models.front();
    double writers = 0;
    std::uint32_t room = engine_.chunk * engine_.stride;
    std::uint32_t read = 0;
    std::uint32_t places = engine_.slots;
    for (Request& request : group.requests) {
        if (places-- == 0)
            break;
        writers += request.unread == 0 ? 1 : 0;
        const std::uint32_t part = std::min(request.unread, room);
        request.unread -= part;
        room -= part;
        read += part;
    }
    return shape.pace *
           (engine_.stride * (engine_.step_ms + engine_.step_ms_per_sequence * writers) +
            read / engine_.read_tokens_per_ms);
}

void GroupPlayer::end_pass(Group& group, Time now) {
    std::uint32_t places = engine_.slots;
    for (auto request = group.requests.begin(); request != group.requests.end() && places-- > 0;) {
        if (request->unread > 0) {
            ++request;
            continue;
        }
        const bool first = !request->began && !request->resumed;
        request->late = request->late ||
                        (first ? now - request->asked > goal_ : now - request->last > pause_goal_);
        hosts_[request->host].use(group.lead).moved(request->demand, !request->began, now);
        request->began = true;
        request->last = now;
        if (--request->events_left > 0) {
            ++request;
            continue;
        }
        PlayedResult& result = results_[request->kind];
        ++(request->late ? result.late : result.in_time);
        finish(group, *request);
        request = group.requests.erase(request);
    }
}

void GroupPlayer::finish(const Group& group, const Request& request) {
    EndpointUse& use = hosts_[request.host].use(group.lead);
    --use.in_flight;
    use.ended(request.demand, request.began);
}

void GroupPlayer::step(Group& group, Time now) {
    if (now < group.pass_ends)
        return;
    end_pass(group, now);
    group.pass_ends = group.requests.empty() ? now : now + millis(start_pass(group));
}

std::vector<PlayedResult> GroupPlayer::play(const std::vector<PlayedKind>& kinds, Duration goal,
                                            Duration pause_goal, Duration length,
                                            const std::vector<Duration>& losses, Duration repair) {
    kinds_ = kinds;
    results_.assign(kinds.size(), {});
    goal_ = goal;
    pause_goal_ = pause_goal;
    const double step_s = std::chrono::duration<double>(Step).count();
    for (Time now = Start; now < Start + length; now += Step) {
        const Duration at = now - Start;
        if (std::find(losses.begin(), losses.end(), at) != losses.end())
            lose_group(now);
        if (std::find(losses.begin(), losses.end(), at - repair) != losses.end())
            open_group(now);
        if (at % RetryEvery == Duration::zero())
            resume_waiting(now);
        for (std::size_t i = 0; i < kinds_.size(); ++i)
            if (std::uniform_real_distribution<double>(0, 1)(random_) <
                kinds_[i].per_second * step_s)
                ask(i, now);
        for (Group& group : groups_)
            step(group, now);
    }
    return results_;
}

} // namespace liftweir
