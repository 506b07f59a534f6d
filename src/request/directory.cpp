#include "request/directory.h"

#include "process/groupname.h"

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
// says. In time are 0.539 of the requests to two groups of which one is lost every 4.5 s, 0.530
// above 0.55 and 0.48 above 0.8; below 0.35 it makes no difference (played in virtual time).
constexpr double RefuseAbove = 0.35;
// Forecasts closer than this are equal; then chance decides, so that entry hosts that see the
// same do not all choose the same.
constexpr double ForecastNoise = 0.15;

// A host whose part of the work is small may get a crowd before the others have told of theirs.
constexpr double LeastConnectionPart = 1.0 / 16;
// However small the bound is, one request need not wait for the end of another.
constexpr std::uint32_t LeastConnections = 2;

// Whether a group with this forecast takes the request.
bool lets_in(const Demand& demand, const LoadForecast& met) {
    const EngineCost& engine = *demand.service->engine;
    const double goal = to_exact_millis(demand.latency_goal);
    const double latest = demand.engine.yields
                              ? YieldPartOfGoal * goal
                              : GoalSlack * (goal - to_exact_millis(demand.waited));
    const bool late = goal > 0 && met.first_event_ms > latest;
    const bool full = met.in_flight >= engine.slots;
    const bool crowded = met.in_flight > RefuseAbove * engine.slots;
    return !(late || full) || !(demand.engine.yields || crowded);
}

// A request is let in by the work before it: reading its own prompt takes as long wherever it goes,
// and a caller with a long one would be refused where others are served, in each try anew. Of its
// own tokens those of one step count: 0.21 of the callers with the longest prompts are refused and
// 0.20 of the others, and not 0.30 and 0.18 (played in virtual time).
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

void EndpointUse::moved(const EngineDemand& demand, bool first, Time now) {
    watch.progress(now, first);
    if (!first)
        return;
    load.remove_reading(demand);
    ++load.writing;
}

void EndpointUse::ended(const EngineDemand& demand, bool wrote) {
    if (wrote)
        --load.writing;
    else
        load.remove_reading(demand);
    watch.ended(wrote);
}

void Directory::expire(Time now) {
    registry_.expire(now);
    std::erase_if(uses_, [&](const auto& item) {
        return item.second.in_flight == 0 && registry_.find(item.first) == nullptr;
    });
}

bool Directory::spans_domains(const EndpointReport& lead) const {
    return std::any_of(registry_.items().begin(), registry_.items().end(), [&](const auto& item) {
        const EndpointReport& other = item.second.report;
        return other.membership.epoch == lead.membership.epoch && other.domain != lead.domain;
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

tl::expected<Pick, PickFailure> Directory::pick(const Demand& demand,
                                                const std::set<EndpointId>& tried, Time now) {
    return demand.service->engine && !demand.model.empty() ? pick_group(demand, tried, now)
                                                           : pick_plain(demand, tried, now);
}

// A group whose members are far apart is slower at everything.
ModelShape Directory::shape_at(const EndpointReport& lead, ModelShape shape,
                               const EngineCost& engine) const {
    if (spans_domains(lead))
        shape.pace *= engine.far_factor;
    return shape;
}

LoadForecast Directory::forecast_at(const EndpointUse& use, const ModelShape& model,
                                    const EngineCost& engine, const EngineDemand& demand) const {
    GroupLoad load = use.load;
    load.seen_pass_ms = use.watch.pass_ms();
    return forecast(engine, model, load, demand, others_);
}

tl::expected<Pick, PickFailure> Directory::pick_group(const Demand& demand,
                                                      const std::set<EndpointId>& tried, Time now) {
    const EngineCost& engine = *demand.service->engine;
    const auto shape = std::find_if(engine.models.begin(), engine.models.end(),
                                    [&](const ModelShape& m) { return m.name == demand.model; });
    if (shape == engine.models.end())
        return tl::make_unexpected(PickFailure::NoneServes);
    const std::uint32_t connections = connections_allowed(*demand.service);
    const EngineDemand judged = judged_by(demand.engine, engine);
    std::optional<Pick> best;
    double best_score = 0;
    bool any_open = false;
    for (const auto& [id, item] : registry_.items()) {
        const EndpointReport& report = item.report;
        if (!report.leads_open_group() || report.service != demand.service->name ||
            model_of_group(report.membership.group) != demand.model)
            continue;
        const EndpointUse& use = uses_[id];
        if (use.avoided(now) || tried.contains(id) || dissolved_.contains(report.membership.epoch))
            continue;
        any_open = true;
        if (use.in_flight >= connections)
            continue;
        const ModelShape model = shape_at(report, *shape, engine);
        const LoadForecast met = forecast_at(use, model, engine, demand.engine);
        if (!lets_in(demand,
                     judged == demand.engine ? met : forecast_at(use, model, engine, judged)))
            continue;
        const double noise =
            1 + ForecastNoise * std::uniform_real_distribution<double>(0, 1)(random_);
        const double score = (met.first_event_ms + met.pause_ms) * noise;
        if (best && score >= best_score)
            continue;
        best_score = score;
        best = Pick{id, report.address, met, longest_pass(engine, model),
                    std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double, std::milli>(met.first_event_ms))};
    }
    if (best)
        return *best;
    return tl::make_unexpected(any_open ? PickFailure::AllFull : PickFailure::NoneServes);
}

tl::expected<Pick, PickFailure> Directory::pick_plain(const Demand& demand,
                                                      const std::set<EndpointId>& tried, Time now) {
    const std::uint32_t connections = connections_allowed(*demand.service);
    std::optional<Pick> best;
    std::pair<int, double> best_score;
    bool any_full = false;
    for (const auto& [id, item] : registry_.items()) {
        const EndpointReport& report = item.report;
        if (report.phase != EndpointPhase::Serving || report.service != demand.service->name ||
            tried.contains(id))
            continue;
        const EndpointUse& use = uses_[id];
        if (use.in_flight >= connections) {
            any_full = true;
            continue;
        }
        // An endpoint that failed lately is better than none.
        const std::pair<int, double> score{
            use.avoided(now) ? 1 : 0,
            use.in_flight + std::uniform_real_distribution<double>(0, 1)(random_)};
        if (best && score >= best_score)
            continue;
        best_score = score;
        best = Pick{id, report.address, {}, {}, {}};
    }
    if (best)
        return *best;
    return tl::make_unexpected(any_full ? PickFailure::AllFull : PickFailure::NoneServes);
}

} // namespace liftweir
