// HTTP endpoints for health checks, metrics and events.
// Runs in liftweir-control, liftweir-entry and liftweir-agent.

#ifndef OBSERVE_H_INCLUDED
#define OBSERVE_H_INCLUDED

#include "connection/httpserver.h"
#include "connection/secret.h"

#include <functional>

namespace liftweir {

// Serves /healthz, /readyz, /metrics and /events; returns false for any other path. Metrics and
// events require a ticket. Health and readiness do not, as they reveal only yes or no.
bool serve_observability(HttpExchange& exchange, const ClusterKeys& keys,
                         const std::function<bool()>& ready);

// Sends a response with a JSON body.
void respond_json(HttpExchange& exchange, int status, std::string body);

} // namespace liftweir

#endif // OBSERVE_H_INCLUDED
