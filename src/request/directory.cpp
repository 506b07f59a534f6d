#include "request/directory.h"

#include <algorithm>
#include <optional>

namespace liftweir {

namespace {

constexpr Duration FirstAvoided = std::chrono::milliseconds(250);
constexpr std::uint32_t MostDoublings = 4;
// A forecast this far above the goal is too late; below that it may still be met, since a
// forecast is an estimate of other hosts' work.
constexpr double GoalSlack = 1.25;
// A request that is late anyway is let in only where one that is not would still meet its goal: the
// engine's priorities order what waits for a place, not the reading of prompts that have one.
constexpr double YieldPartOfGoal = 0.4;
// Below this part of the places taken only those that yield are refused, whatever the forecast
// says.
constexpr double RefuseAbove = 0.35;
// Forecasts closer than this are equal; then chance decides, so that entry hosts that see the
// same do not all choose the same.
constexpr double ForecastNoise = 0.15;
// Requests of its own at each group on average, from which on a host goes by those alone.
constexpr double EnoughOfItsOwn = 0.5;
// Groups are brought to one level over about as long as a request stays at its group.
constexpr double LevelOverSeconds = 1.5;
// Figures of the other entry hosts are used until so many tellings have not come.
constexpr int TellingsMissed = 5;

// Callers that are refused while all endpoints rest return within so long after the rest.
constexpr Duration ReturnsSpread = std::chrono::milliseconds(1000);

// Late reports of an endpoint that has announced its leaving may come for so long.
constexpr Duration LeavingKept = std::chrono::minutes(10);

// A host whose part of the work is small may get a crowd before the others have told of theirs.
constexpr double LeastConnectionPart = 1.0 / 16;
// However small the bound is, one request need not wait for the end of another.
constexpr std::uint32_t LeastConnections = 2;

// Whether a group with this forecast takes the request.
bool lets_in(const Demand& demand, const LoadForecast& met) {
    const EngineCost& engine = *demand.service->engine;
    const double goal = to_exact_millis(demand.latency_goal);
    const double latest = demand.engine.low_priority
                              ? YieldPartOfGoal * goal
                              : GoalSlack * (goal - to_exact_millis(demand.waited));
    const bool late = goal > 0 && met.first_event_ms > latest;
    const bool full = met.in_flight >= engine.slots;
    const bool crowded = met.in_flight > RefuseAbove * engine.slots;
    return !(late || full) || !(demand.engine.low_priority || crowded);
}

// A request is let in by the work before it: reading its own prompt takes as long wherever it goes,
// and a caller with a long one would be refused where others are served. Of its own tokens those of
// one step count.
EngineDemand judged_by(EngineDemand demand, const EngineCost& engine) {
    demand.prompt_tokens = std::min(demand.prompt_tokens, engine.chunk);
    return demand;
}

} // namespace

void EndpointUse::sent(const EngineDemand& demand, Duration pass, Duration first_event, Time now) {
    load.add_reading(demand);
    watch.expect(pass, first_event);
    watch.started(now);
}

void EndpointUse::on_event(const EngineDemand& demand, bool first, Time now) {
    watch.progress(now, first);
    if (!first)
        return;
    load.remove_reading(demand);
    ++load.decoding;
}

void EndpointUse::ended(const EngineDemand& demand, bool wrote) {
    if (wrote)
        --load.decoding;
    else
        load.remove_reading(demand);
    watch.ended(wrote);
}

void Directory::expire(Time now) {
    registry_.expire(now);
    std::erase_if(uses_, [&](const auto& item) {
        const EndpointUse& use = item.second;
        return use.in_flight == 0 && !use.rests(now) && now - use.leaving_since > LeavingKept &&
               registry_.find(item.first) == nullptr;
    });
}

void Directory::failed(const EndpointId& id, Time now) {
    EndpointUse& use = uses_[id];
    const std::uint32_t doublings = std::min(use.failures++, MostDoublings);
    use.avoid_until = std::max(use.avoid_until, now + FirstAvoided * (1 << doublings));
}

// The bound is shared with the other entry hosts by the work that each has.
std::uint32_t Directory::connections_allowed(const Service& service) const {
    const double part = std::max(1 / others_, LeastConnectionPart);
    return std::max(LeastConnections, static_cast<std::uint32_t>(service.max_connections * part));
}

tl::expected<Pick, NoPick> Directory::pick(const Demand& demand, const std::set<EndpointId>& tried,
                                           Time now) {
    if (!demand.service->engine || demand.model.empty())
        return pick_plain(demand, tried, now);
    return pick_group(demand, tried, now);
}

// A group whose members are far apart is slower at everything.
ModelShape Directory::shape_at(const EndpointReport& lead, ModelShape shape,
                               const EngineCost& engine) const {
    if (registry_.index().spans_domains(lead.membership.epoch))
        shape.pace *= engine.cross_domain_factor;
    return shape;
}

std::vector<GroupLoadReport> Directory::own_load() const {
    std::vector<GroupLoadReport> shares;
    for (const auto& [id, use] : uses_) {
        const Registry::Item* item = use.load.idle() ? nullptr : registry_.find(id);
        if (item != nullptr && item->report.grouped())
            shares.push_back({item->report.membership.epoch, use.load});
    }
    return shares;
}

void Directory::set_load_of_others(const std::vector<GroupLoadReport>& shares, Duration every,
                                   Time now) {
    others_at_.clear();
    for (const GroupLoadReport& share : shares)
        others_at_.emplace(share.epoch, share.load);
    others_told_ = now;
    others_every_ = every;
}

// A host with much work at each group knows it at once; what it is told of the others is old. One
// of many hosts has too little work of its own to judge by.
bool Directory::counts_others(const Leads& leads, Time now) const {
    if (others_told_ == Time{} || now - others_told_ > TellingsMissed * others_every_)
        return false;
    std::size_t own = 0;
    for (const Lead& lead : leads)
        own += lead.use->load.decoding + lead.use->load.prefilling;
    return static_cast<double>(own) < EnoughOfItsOwn * static_cast<double>(leads.size());
}

// Where nothing is known of the others, each has as much there as this host.
LoadForecast Directory::forecast_at(const Lead& lead, const ModelShape& model,
                                    const EngineCost& engine, const EngineDemand& demand,
                                    bool with_others) const {
    GroupLoad load = lead.use->load;
    load.seen_pass_ms = lead.use->watch.pass_ms();
    if (!with_others)
        return forecast(engine, model, load, demand, others_);
    if (const auto others = others_at_.find(lead.report->membership.epoch);
        others != others_at_.end())
        load.add(others->second);
    return forecast(engine, model, load, demand, 1);
}

// All entry hosts together send a cold endpoint what it bears, each by its part of their work.
Duration Directory::cold_every(const EndpointReport& report, const Service& service) const {
    if (!report.cold || service.cold_calls_per_second <= 0)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(others_ / service.cold_calls_per_second));
}

bool Directory::is_warm_enough(EndpointUse& use, Duration every, Time now) {
    if (every == Duration::zero()) {
        use.cold = {};
        return true;
    }
    return use.cold.allows(every, std::uniform_real_distribution<double>(0, 1)(random_), now);
}

void Directory::back_off(const EndpointId& id, Duration rest, Time now) {
    EndpointUse& use = uses_[id];
    use.rest_until = std::max(use.rest_until, now + rest);
}

bool Directory::note_leaving(const EndpointId& id, Time now) {
    EndpointUse& use = uses_[id];
    if (use.leaves())
        return false;
    use.leaving_since = now;
    return true;
}

Duration Directory::held_back(const EndpointId& id, Time now) {
    const auto use = uses_.find(id);
    const Duration rest = use == uses_.end() ? Duration::zero() : use->second.rest_until - now;
    return std::max(rest, limits_.wait(id, now));
}

Duration Directory::return_after(const NoPick& none, Time now) {
    if (none != PickFailure::AllHeldBack)
        return Duration::zero();
    if (limits_.book().limit(none.soonest) > 0)
        return std::max(none.wait, limits_.return_after(none.soonest, now));
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return none.wait + scaled(ReturnsSpread, draw);
}

void Directory::LeftOut::add(const EndpointId& endpoint, Duration held_back) {
    if (!soonest_.empty() && held_back >= wait_)
        return;
    soonest_ = endpoint;
    wait_ = held_back;
}

NoPick Directory::LeftOut::no_pick() const {
    if (any_full_)
        return {PickFailure::AllFull, {}, {}};
    if (!soonest_.empty() && !any_avoided_)
        return {PickFailure::AllHeldBack, soonest_, wait_};
    return {};
}

const Directory::Candidate& Directory::lowest_of(const std::vector<Candidate>& candidates) {
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

// What is known of the others is old: their requests of the same time are counted on.
const Directory::Candidate& Directory::levelling(const std::vector<Candidate>& candidates,
                                                 const ModelShape& model, const EngineCost& engine,
                                                 Time now) {
    std::vector<double> levels;
    levels.reserve(candidates.size());
    for (const Candidate& candidate : candidates)
        levels.push_back(candidate.level_ms);
    const double tokens = others_ * sent_tokens_[model.name].per_second(now) * LevelOverSeconds;
    const double inflow_ms = model.pace * tokens / engine.read_tokens_per_ms;
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return candidates[choose_by_level(levels, inflow_ms, draw)];
}

// Asked for each request, so from an index: a walk over all endpoints, and for each group another
// one for members in other domains, makes a site of many small groups late.
Directory::Leads Directory::serving_leads(const Demand& demand, const std::set<EndpointId>& tried,
                                          Time now, LeftOut& left_out) {
    Leads leads;
    for (const auto& [id, report] : registry_.index().open_leads(demand.model)) {
        if (report->service != demand.service->name ||
            dissolved_.contains(report->membership.epoch))
            continue;
        EndpointUse& use = uses_[id];
        if (use.leaves())
            continue;
        const Duration wait = held_back(id, now);
        if (wait > Duration::zero())
            left_out.add(id, wait);
        else if (tried.contains(id))
            continue;
        else if (use.avoided(now))
            left_out.add_avoided();
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
    const EngineDemand judged = judged_by(demand.engine, engine);
    LeftOut left_out;
    const Leads leads = serving_leads(demand, tried, now, left_out);
    const bool with_others = counts_others(leads, now);
    std::vector<Candidate> candidates;
    for (const Lead& lead : leads) {
        left_out.add_full(); // unless it becomes a candidate
        const Duration every = cold_every(*lead.report, *demand.service);
        if (lead.use->in_flight >= connections || !is_warm_enough(*lead.use, every, now))
            continue;
        const ModelShape model = shape_at(*lead.report, *shape, engine);
        const LoadForecast met = forecast_at(lead, model, engine, demand.engine, with_others);
        if (!lets_in(demand, judged == demand.engine
                                 ? met
                                 : forecast_at(lead, model, engine, judged, with_others)))
            continue;
        candidates.push_back(
            {{lead.report->id, lead.report->address, met, longest_pass(engine, model),
              std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double, std::milli>(met.first_event_ms)),
              every},
             (met.first_event_ms + met.pause_ms) / 2});
    }
    if (candidates.empty())
        return tl::make_unexpected(left_out.no_pick());
    return (with_others ? levelling(candidates, *shape, engine, now) : lowest_of(candidates)).pick;
}

tl::expected<Pick, NoPick> Directory::pick_plain(const Demand& demand,
                                                 const std::set<EndpointId>& tried, Time now) {
    const std::uint32_t connections = connections_allowed(*demand.service);
    std::optional<Pick> best;
    std::pair<int, double> best_score;
    LeftOut left_out;
    for (const auto& [id, report] : registry_.index().of_service(demand.service->name)) {
        EndpointUse& use = uses_[id];
        if (report->phase != EndpointPhase::Serving || use.leaves())
            continue;
        const Duration wait = held_back(id, now);
        if (wait > Duration::zero()) {
            left_out.add(id, wait);
            continue;
        }
        if (tried.contains(id))
            continue;
        const Duration every = cold_every(*report, *demand.service);
        if (use.in_flight >= connections || !is_warm_enough(use, every, now)) {
            left_out.add_full();
            continue;
        }
        // An endpoint that failed lately is better than none.
        const std::pair<int, double> score{
            use.avoided(now) ? 1 : 0,
            use.in_flight + std::uniform_real_distribution<double>(0, 1)(random_)};
        if (best && score >= best_score)
            continue;
        best_score = score;
        best = Pick{id, report->address, {}, {}, {}, every};
    }
    if (best)
        return *best;
    return tl::make_unexpected(left_out.no_pick());
}

} // namespace liftweir
