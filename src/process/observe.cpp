// Serves health checks, metrics and events; runs in liftweir-control, -entry and -agent.

#include "process/observe.h"

#include "connection/ticket.h"
#include "process/clock.h"
#include "process/metrics.h"
#include "process/timeline.h"
#include "request/outcome.h"
#include "version/keys.h"

#include <cstdlib>

namespace liftweir {

void respond_json(HttpExchange& exchange, int status, std::string body) {
    exchange.respond(status, {{"Content-Type", "application/json"}}, std::move(body));
}

bool serve_observability(HttpExchange& exchange, const ClusterKeys& keys,
                         const std::function<bool()>& ready) {
    const std::string_view path = exchange.path();
    if (path == "/healthz") {
        respond_json(exchange, 200, "{\"healthy\":true}");
        return true;
    }
    if (path == "/readyz") {
        const bool is_ready = ready();
        respond_json(exchange, is_ready ? 200 : 503,
                     is_ready ? "{\"ready\":true}" : "{\"ready\":false}");
        return true;
    }
    if (path != "/metrics" && path != "/events")
        return false;
    if (!ticket_is_valid(keys, exchange.header("Authorization"), wall_millis())) {
        respond_json(
            exchange, 401,
            error_body({FailureKind::Unauthorized, "a ticket is needed"}, Outcome::NotRun));
        return true;
    }
    if (path == "/metrics") {
        exchange.respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                         Metrics::instance().text());
        return true;
    }
    constexpr std::string_view Since = "since=";
    const auto at = exchange.query().find(Since);
    const std::uint64_t since =
        at == std::string_view::npos
            ? 0
            : std::strtoull(std::string(exchange.query().substr(at + Since.size())).c_str(),
                            nullptr, 10);
    respond_json(exchange, 200, to_text(Timeline::instance().since(since)));
    return true;
}

} // namespace liftweir
