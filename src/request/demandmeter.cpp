// Smoothed rates of callers' requests by service, model, urgency and customer.

#include "request/demandmeter.h"

#include <algorithm>
#include <cmath>

namespace liftweir {

namespace {

// Time constant of the rates: an event counts less by a factor of e after this time.
constexpr Duration SmoothingTime = std::chrono::seconds(2);
// A model counts as refusing for this long after a rejection.
constexpr Duration RefusingTime = std::chrono::seconds(2);
// Classes with lower rates are forgotten: one request, nine seconds later.
constexpr double MinPerSecond = 0.005;

} // namespace

std::string_view name_of(DemandEvent event) {
    switch (event) {
    case DemandEvent::Arrived:
        return "arrived";
    case DemandEvent::Admitted:
        return "admitted";
    case DemandEvent::Refused:
        return "refused";
    case DemandEvent::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

void DemandMeter::Rates::decay(Time now) {
    const double factor = std::exp(-to_seconds(now - updated) / to_seconds(SmoothingTime));
    for (double* rate : {&requests, &prompt_tokens, &answer_tokens, &refused, &abandoned})
        *rate *= factor;
    updated = now;
}

void DemandMeter::Rates::add(const MeteredRequest& request, DemandEvent event) {
    const double per_second = 1 / to_seconds(SmoothingTime);
    switch (event) {
    case DemandEvent::Arrived:
        requests += per_second;
        prompt_tokens += per_second * request.prompt_tokens;
        answer_tokens += per_second * request.answer_tokens;
        break;
    case DemandEvent::Admitted: // neither refused nor abandoned
        break;
    case DemandEvent::Refused:
        refused += per_second;
        break;
    case DemandEvent::Abandoned:
        abandoned += per_second;
        break;
    }
}

bool DemandMeter::Rates::negligible() const {
    return std::max({requests, refused, abandoned}) < MinPerSecond;
}

// A rejected retry is no further demand, but shows that the model is full.
void DemandMeter::count(const MeteredRequest& request, DemandEvent event, Time now) {
    const DemandClass& key = request.demand_class;
    if (event == DemandEvent::Refused &&
        (last_refused_.size() < MaxClasses || last_refused_.contains({key.service, key.model})))
        last_refused_[{key.service, key.model}] = now;
    if (request.retry)
        return;
    count_in({key.service, key.model, key.urgency, ""}, request, event, now);
    if (!key.customer.empty())
        count_in(key, request, event, now);
}

// Customers can not displace the classes of all customers together, of which there are fewer.
void DemandMeter::count_in(const DemandClass& key, const MeteredRequest& request, DemandEvent event,
                           Time now) {
    const std::size_t bound = key.customer.empty() ? MaxClasses : MaxClasses / 2;
    auto found = rates_.find(key);
    if (found == rates_.end()) {
        if (rates_.size() >= bound)
            return;
        found = rates_.emplace(key, Rates{}).first;
    }
    found->second.decay(now);
    found->second.add(request, event);
}

bool DemandMeter::is_refusing(const DemandClass& key, Time now) const {
    const auto found = last_refused_.find({key.service, key.model});
    return found != last_refused_.end() && now - found->second <= RefusingTime;
}

std::vector<ModelDemand> DemandMeter::report(const Deployment& deployment, Time now) {
    std::erase_if(last_refused_,
                  [&](const auto& item) { return now - item.second > RefusingTime; });
    for (auto& [key, rates] : rates_)
        rates.decay(now);
    std::erase_if(rates_, [](const auto& item) { return item.second.negligible(); });
    struct Ranked {
        ModelDemand line;
        double work = 0;
    };
    std::vector<Ranked> ranked;
    for (const auto& [key, rates] : rates_) {
        const Service* service = deployment.service(key.service);
        const ModelShape* model =
            service != nullptr && service->engine ? service->engine->model(key.model) : nullptr;
        if (model == nullptr || (!key.customer.empty() && !is_refusing(key, now)))
            continue;
        const ModelDemand line{key.service,         key.model,      key.urgency,
                               key.customer,        rates.requests, rates.prompt_tokens,
                               rates.answer_tokens, rates.refused,  rates.abandoned};
        ranked.push_back({line, work_of(line, *service->engine, *model)});
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
        const bool all_a = a.line.customer.empty();
        return all_a != b.line.customer.empty() ? all_a : a.work > b.work;
    });
    std::vector<ModelDemand> lines;
    for (std::size_t n = 0; n < std::min(ranked.size(), MaxDemandLines); ++n)
        lines.push_back(std::move(ranked[n].line));
    return lines;
}

} // namespace liftweir
