// Choice of an endpoint for each request of an entry host.

#include "request/directory.h"

#include "process/groupname.h"

#include <algorithm>
#include <optional>

namespace liftweir {

namespace {

// After a failure an endpoint is avoided for this time, which each further consecutive failure
// doubles.
constexpr Duration FirstAvoidTime = std::chrono::milliseconds(250);
constexpr std::uint32_t MaxAvoidDoublings = 4;
// A request is late if its forecast exceeds what is left of its goal by this factor. A smaller
// excess may still meet the goal, since the forecast estimates the load of the other entry hosts.
constexpr double GoalTolerance = 1.25;
// A low-priority request is admitted only if its forecast is below this part of the goal, so that a
// later request of normal priority can still meet it: the engine's priorities order the requests
// that wait for a slot, but not the prefill of prompts that have one.
constexpr double LowPriorityPartOfGoal = 0.4;
// Requests of normal priority are rejected only if more than this part of the group's slots is in
// use, whatever their forecast.
constexpr double RefuseAboveLoad = 0.35;
// A caller that returns after a refusal is admitted only if the forecast is below this part of the
// goal: more than for other late requests, since another refusal leaves it without any answer. With
// 0.7, a lasting overload loses about one answer in time for each late one.
constexpr double ReturnPartOfGoal = 0.6;
// Part of the requests that groups serve for which retries can be booked.
constexpr double RetryPart = 0.1;
// Random noise on each forecast decides between forecasts that differ by less than this, so that
// entry hosts with the same information do not all choose the same group.
constexpr double ForecastNoise = 0.15;
// A host that has this many own requests per group on average forecasts by those alone.
constexpr double MinOwnRequestsPerGroup = 0.5;
// The load of the groups is levelled over this time, about as long as a request stays at a group.
constexpr double LevelingSeconds = 1.5;
// Load reports of the other entry hosts expire after this many intervals without a new one.
constexpr int MaxMissedReports = 5;

// Callers that are rejected during a back-off are told to retry within this time after its end.
constexpr Duration RetrySpread = std::chrono::milliseconds(1000);

// For this long a delayed report may still show an endpoint that has announced its shutdown.
constexpr Duration LeavingKeptFor = std::chrono::minutes(10);

// A host with a small share of the load may receive a burst before new load reports arrive.
constexpr double MinConnectionPart = 1.0 / 16;
// Two connections at least, so that one request need not wait for the end of another.
constexpr std::uint32_t MinConnections = 2;

// Whether a group with this forecast admits the request.
bool admits(const Demand& demand, const LoadForecast& predicted) {
    const EngineCost& engine = *demand.service->engine;
    const double goal = to_exact_millis(demand.latency_goal);
    if (demand.caller != CallerReturn::New) {
        const double left = to_exact_millis(demand.time_left);
        return predicted.in_flight < engine.slots &&
               predicted.first_event_ms <=
                   (goal > 0 ? std::min(ReturnPartOfGoal * goal, left) : left);
    }
    const double latest = demand.engine.low_priority
                              ? LowPriorityPartOfGoal * goal
                              : GoalTolerance * (goal - to_exact_millis(demand.waited));
    const bool late = goal > 0 && predicted.first_event_ms > latest;
    const bool full = predicted.in_flight >= engine.slots;
    const bool above_load = predicted.in_flight > RefuseAboveLoad * engine.slots;
    return !(late || full) || !(demand.engine.low_priority || above_load);
}

} // namespace

void EndpointUse::sent(const EngineDemand& demand, Duration pass, Duration first_event, Time now) {
    load.add_prefill(demand);
    stall_detector.expect(pass, first_event);
    stall_detector.started(now);
}

void EndpointUse::on_event(const EngineDemand& demand, bool first, Time now) {
    stall_detector.progress(now, first);
    if (!first)
        return;
    load.remove_prefill(demand);
    ++load.decoding;
}

void EndpointUse::ended(const EngineDemand& demand, bool had_event) {
    if (had_event)
        --load.decoding;
    else
        load.remove_prefill(demand);
    stall_detector.ended(had_event);
}

void Directory::expire(Time now) {
    registry_.expire(now);
    std::erase_if(uses_, [&](const auto& item) {
        const EndpointUse& use = item.second;
        return use.in_flight == 0 && !use.backs_off(now) &&
               now - use.leaving_since > LeavingKeptFor && registry_.find(item.first) == nullptr;
    });
}

void Directory::failed(const EndpointId& id, Time now) {
    EndpointUse& use = uses_[id];
    const std::uint32_t doublings = std::min(use.failures++, MaxAvoidDoublings);
    use.avoid_until = std::max(use.avoid_until, now + FirstAvoidTime * (1 << doublings));
}

// The entry hosts share the service's connection limit in proportion to their load.
std::uint32_t Directory::connections_allowed(const Service& service) const {
    const double part = std::max(1 / total_load_ratio_, MinConnectionPart);
    return std::max(MinConnections, static_cast<std::uint32_t>(service.max_connections * part));
}

tl::expected<Pick, NoPick> Directory::pick(const Demand& demand, const std::set<EndpointId>& tried,
                                           Time now) {
    if (!demand.service->engine || demand.model.empty())
        return pick_plain(demand, tried, now);
    return pick_group(demand, tried, now);
}

// A group whose members are in more than one fabric domain is slower at everything. Its name says
// so, since an entry host need not know the members; control hosts of an earlier release give no
// such names and send all members.
ModelShape Directory::shape_at(const EndpointReport& lead, ModelShape shape,
                               const EngineCost& engine) const {
    if (kind_of_group(lead.membership.group) == GroupKind::AcrossDomains ||
        registry_.index().spans_domains(lead.membership.epoch))
        shape.time_factor *= engine.cross_domain_factor;
    return shape;
}

std::vector<GroupLoadReport> Directory::own_load() const {
    std::vector<GroupLoadReport> group_loads;
    for (const auto& [id, use] : uses_) {
        const Registry::Item* item = use.load.idle() ? nullptr : registry_.find(id);
        if (item != nullptr && item->report.grouped())
            group_loads.push_back({item->report.membership.epoch, use.load});
    }
    return group_loads;
}

void Directory::set_load_of_others(const std::vector<GroupLoadReport>& group_loads,
                                   Duration interval, Time now) {
    load_of_others_.clear();
    for (const GroupLoadReport& group_load : group_loads)
        load_of_others_.emplace(group_load.epoch, group_load.load);
    load_of_others_received_ = now;
    load_report_interval_ = interval;
}

// A host with many requests at each group learns its load from them at once, while load reports are
// old. One of many entry hosts has too few requests of its own and needs the reports.
bool Directory::uses_load_of_others(const Leads& leads, Time now) const {
    if (load_of_others_received_ == Time{} ||
        now - load_of_others_received_ > MaxMissedReports * load_report_interval_)
        return false;
    std::size_t own = 0;
    for (const Lead& lead : leads)
        own += lead.use->load.decoding + lead.use->load.prefilling;
    return static_cast<double>(own) < MinOwnRequestsPerGroup * static_cast<double>(leads.size());
}

// Without load reports, each of the other entry hosts is assumed to have the load of this one.
LoadForecast Directory::forecast_at(const Lead& lead, const ModelShape& model,
                                    const EngineCost& engine, const EngineDemand& demand,
                                    bool with_others) const {
    GroupLoad load = lead.use->load;
    load.measured_pass_ms = lead.use->stall_detector.pass_ms();
    if (!with_others)
        return forecast(engine, model, load, demand, total_load_ratio_);
    if (const auto others = load_of_others_.find(lead.report->membership.epoch);
        others != load_of_others_.end())
        load.add(others->second);
    return forecast(engine, model, load, demand, 1);
}

// The entry hosts share a cold endpoint's request rate in proportion to their load.
Duration Directory::cold_interval(const EndpointReport& report, const Service& service) const {
    if (!report.cold || service.cold_calls_per_second <= 0)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(total_load_ratio_ / service.cold_calls_per_second));
}

bool Directory::cold_pace_allows(EndpointUse& use, Duration interval, Time now) {
    if (interval == Duration::zero()) {
        use.cold = {};
        return true;
    }
    return use.cold.allows(interval, std::uniform_real_distribution<double>(0, 1)(random_), now);
}

void Directory::back_off(const EndpointId& id, Duration rest, Time now) {
    EndpointUse& use = uses_[id];
    use.backoff_until = std::max(use.backoff_until, now + rest);
}

bool Directory::mark_leaving(const EndpointId& id, Time now) {
    EndpointUse& use = uses_[id];
    if (use.is_leaving())
        return false;
    use.leaving_since = now;
    return true;
}

Duration Directory::throttled_for(const EndpointId& id, Time now) {
    const auto use = uses_.find(id);
    const Duration rest = use == uses_.end() ? Duration::zero() : use->second.backoff_until - now;
    return std::max(rest, limits_.wait(id, now));
}

Duration Directory::retry_delay(const NoPick& none, Time now) {
    if (none != PickFailure::AllThrottled)
        return Duration::zero();
    if (limits_.book().limit(none.soonest) > 0)
        return std::max(none.wait, limits_.retry_delay(none.soonest, now));
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return none.wait + scaled(RetrySpread, draw);
}

// A group that opens is idle at first, so that all it serves can be retries.
BookedRetry Directory::book_retry(const Demand& demand, Duration opens_in, Time now) {
    const double served = sent_requests_[demand.model].per_second(now);
    const auto groups = registry_.index().open_leads(demand.model).size();
    RetryRequest request;
    request.model = demand.model;
    request.waited = demand.waited;
    request.time_left = demand.time_left;
    request.per_second = RetryPart * served;
    request.per_second_once_open =
        std::max(request.per_second, served / std::max<double>(1, static_cast<double>(groups)));
    request.opens_in = opens_in;
    request.draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return retries_.book(request, now);
}

double Directory::mean_prompt(const Demand& demand, Time now) const {
    const auto tokens = sent_tokens_.find(demand.model);
    const auto requests = sent_requests_.find(demand.model);
    const double sent = requests == sent_requests_.end() ? 0 : requests->second.per_second(now);
    return sent > 0 ? tokens->second.per_second(now) / sent : demand.engine.prompt_tokens;
}

// Admission depends on the work queued before a request and on at most one chunk of its own prompt:
// the prefill of the prompt takes as long at every group, and counting all of it would reject
// callers with long prompts where others are served.
//
// Callers that return are judged by a prompt of the mean length: their bound is below the goal, and
// with their own prompts the largest requests would be refused again where others are served.
EngineDemand Directory::admission_demand(const Demand& demand, Time now) const {
    const EngineCost& engine = *demand.service->engine;
    EngineDemand judged = demand.engine;
    if (demand.caller != CallerReturn::New)
        judged.prompt_tokens = static_cast<std::uint32_t>(mean_prompt(demand, now));
    judged.prompt_tokens = std::min(judged.prompt_tokens, engine.chunk);
    return judged;
}

// The retries arrive at any entry host, and each host has booked its share of them.
void Directory::add_due_retries(LoadForecast& predicted, const Demand& demand,
                                const ModelShape& model, std::size_t groups, Time now) const {
    const double due =
        total_load_ratio_ * retries_.due(demand.model, now) / static_cast<double>(groups);
    const EngineCost& engine = *demand.service->engine;
    predicted.in_flight += due;
    predicted.first_event_ms +=
        due * model.time_factor * mean_prompt(demand, now) / engine.prefill_tokens_per_ms;
}

void Directory::Excluded::add(const EndpointId& endpoint, Duration throttled_for) {
    if (!soonest_.empty() && throttled_for >= wait_)
        return;
    soonest_ = endpoint;
    wait_ = throttled_for;
}

NoPick Directory::Excluded::no_pick() const {
    if (any_full_)
        return {PickFailure::AllFull, {}, {}};
    if (!soonest_.empty() && !any_avoided_)
        return {PickFailure::AllThrottled, soonest_, wait_};
    return {};
}

const Directory::Candidate& Directory::choose_lowest(const std::vector<Candidate>& candidates) {
    std::uniform_real_distribution<double> noise(1, 1 + ForecastNoise);
    const Candidate* lowest = nullptr;
    double lowest_ms = 0;
    for (const Candidate& candidate : candidates) {
        const double ms = candidate.level_ms * noise(random_);
        if (lowest != nullptr && ms >= lowest_ms)
            continue;
        lowest = &candidate;
        lowest_ms = ms;
    }
    return *lowest;
}

// Load reports of the other entry hosts are old, so the tokens that all hosts send meanwhile are
// estimated and added. The estimate includes this request: one of hundreds of hosts may have sent
// no other one lately, and without any inflow they would all take the same lowest group.
const Directory::Candidate& Directory::choose_levelled(const std::vector<Candidate>& candidates,
                                                       const ModelShape& model,
                                                       const EngineCost& engine,
                                                       const EngineDemand& demand, Time now) {
    std::vector<double> levels;
    levels.reserve(candidates.size());
    for (const Candidate& candidate : candidates)
        levels.push_back(candidate.level_ms);
    const double tokens = total_load_ratio_ *
                          sent_tokens_[model.name].per_second_with(demand.prompt_tokens, now) *
                          LevelingSeconds;
    const double inflow_ms = model.time_factor * tokens / engine.prefill_tokens_per_ms;
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return candidates[choose_by_level(levels, inflow_ms, draw)];
}

// Uses the registry's index, since this runs for each request: iterating over all endpoints, and
// for each group again over its members, is too slow at a site of many small groups.
Directory::Leads Directory::serving_leads(const Demand& demand, const std::set<EndpointId>& tried,
                                          Time now, Excluded& excluded) {
    Leads leads;
    for (const auto& [id, report] : registry_.index().open_leads(demand.model)) {
        if (report->service != demand.service->name ||
            dissolved_.contains(report->membership.epoch))
            continue;
        EndpointUse& use = uses_[id];
        if (use.is_leaving() || zones_.excludes(report->zone, now))
            continue;
        const Duration wait = throttled_for(id, now);
        if (wait > Duration::zero())
            excluded.add(id, wait);
        else if (tried.contains(id))
            continue;
        else if (use.avoided(now))
            excluded.add_avoided();
        else
            leads.push_back({report, &use});
    }
    return leads;
}

tl::expected<Pick, NoPick> Directory::pick_group(const Demand& demand,
                                                 const std::set<EndpointId>& tried, Time now) {
    const EngineCost& engine = *demand.service->engine;
    const auto shape = std::find_if(engine.models.begin(), engine.models.end(),
                                    [&](const ModelShape& m) { return m.name == demand.model; });
    if (shape == engine.models.end())
        return tl::make_unexpected(NoPick{});
    const std::uint32_t connections = connections_allowed(*demand.service);
    const EngineDemand admitted_demand = admission_demand(demand, now);
    Excluded excluded;
    const Leads leads = serving_leads(demand, tried, now, excluded);
    const bool with_others = uses_load_of_others(leads, now);
    std::vector<Candidate> candidates;
    for (const Lead& lead : leads) {
        excluded.add_full(); // unless it becomes a candidate
        const Duration interval = cold_interval(*lead.report, *demand.service);
        if (lead.use->in_flight >= connections || !cold_pace_allows(*lead.use, interval, now))
            continue;
        const ModelShape model = shape_at(*lead.report, *shape, engine);
        const LoadForecast predicted = forecast_at(lead, model, engine, demand.engine, with_others);
        LoadForecast admission =
            admitted_demand == demand.engine
                ? predicted
                : forecast_at(lead, model, engine, admitted_demand, with_others);
        if (demand.caller == CallerReturn::New && demand.time_left > Duration::zero())
            add_due_retries(admission, demand, model, leads.size(), now);
        if (!admits(demand, admission))
            continue;
        candidates.push_back(
            {{lead.report->id, lead.report->address, predicted, longest_pass(engine, model),
              std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double, std::milli>(predicted.first_event_ms)),
              interval},
             (predicted.first_event_ms + predicted.pause_ms) / 2});
    }
    if (candidates.empty())
        return tl::make_unexpected(excluded.no_pick());
    return (with_others ? choose_levelled(candidates, *shape, engine, demand.engine, now)
                        : choose_lowest(candidates))
        .pick;
}

tl::expected<Pick, NoPick> Directory::pick_plain(const Demand& demand,
                                                 const std::set<EndpointId>& tried, Time now) {
    const std::uint32_t connections = connections_allowed(*demand.service);
    std::optional<Pick> best;
    std::pair<int, double> best_score;
    Excluded excluded;
    for (const auto& [id, report] : registry_.index().of_service(demand.service->name)) {
        EndpointUse& use = uses_[id];
        if (report->phase != EndpointPhase::Serving || use.is_leaving() ||
            zones_.excludes(report->zone, now))
            continue;
        const Duration wait = throttled_for(id, now);
        if (wait > Duration::zero()) {
            excluded.add(id, wait);
            continue;
        }
        if (tried.contains(id))
            continue;
        const Duration interval = cold_interval(*report, *demand.service);
        if (use.in_flight >= connections || !cold_pace_allows(use, interval, now)) {
            excluded.add_full();
            continue;
        }
        // An endpoint that failed recently is better than none.
        const std::pair<int, double> score{
            use.avoided(now) ? 1 : 0,
            use.in_flight + std::uniform_real_distribution<double>(0, 1)(random_)};
        if (best && score >= best_score)
            continue;
        best_score = score;
        best = Pick{id, report->address, {}, {}, {}, interval};
    }
    if (best)
        return *best;
    return tl::make_unexpected(excluded.no_pick());
}

} // namespace liftweir
