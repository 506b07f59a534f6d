// Routes and groups for tests of calls with the fakes of relayfakes.h.

#ifndef STREAMROUTE_H_INCLUDED
#define STREAMROUTE_H_INCLUDED

#include "process/groupname.h"
#include "request/relayedcall.h"
#include "unit/groupsimulator.h"

#include <memory>
#include <string>
#include <utility>

namespace liftweir {

// The report of the lead of an open group of the model "model".
inline EndpointReport lead_of_group(int number, Time now) {
    EndpointReport report;
    report.id = {"i-" + std::to_string(number), 7};
    report.service = "llm";
    report.address = "10.0.0." + std::to_string(number) + ":80";
    report.sequence = static_cast<std::uint64_t>(to_millis(now.time_since_epoch()));
    const auto epoch = static_cast<Epoch>(number);
    report.membership = {group_name("model", epoch, GroupKind::Regular), epoch, 0,
                         MemberState::Open};
    return report;
}

// The plan of a call to the only route of a deployment, which leads to the service "llm".
inline RelayedCallRoute plan_for(Route route, std::vector<Service> services) {
    route.name = "generate";
    route.timeout = std::chrono::seconds(10);
    route.latency_goal = std::chrono::milliseconds(250);
    route.split = {{"llm", 1}};
    Deployment deployment;
    deployment.services = std::move(services);
    deployment.routes = {std::move(route)};
    RelayedCallRoute plan;
    plan.table = std::make_shared<const RouteTable>(deployment);
    plan.route = &plan.table->deployment().routes.front();
    plan.service = plan.table->deployment().service("llm");
    return plan;
}

struct RouteOptions {
    CallKind kind = CallKind::Streaming;
    bool resumable = true;
    bool engine = true;
};

inline RelayedCallRoute stream_route(const RouteOptions& options) {
    Route generate;
    generate.kind = options.kind;
    generate.resumable = options.resumable;
    generate.max_attempts = 2;
    Service service{"llm", 100, simulated_engine()};
    if (!options.engine)
        service.engine.reset();
    return plan_for(generate, {service});
}

} // namespace liftweir

#endif // STREAMROUTE_H_INCLUDED
