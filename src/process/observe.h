#ifndef OBSERVE_H_INCLUDED
#define OBSERVE_H_INCLUDED

#include "connection/httpserver.h"
#include "connection/secret.h"

#include <functional>

namespace liftweir {

// Serves /healthz, /readyz, /metrics and /events. Returns false where the path is another one.
// Metrics and events need a ticket; health and readiness tell nothing but yes or no.
bool serve_observability(HttpExchange& exchange, const ClusterKeys& keys,
                         const std::function<bool()>& ready);

// Answers with a typed JSON error.
void respond_json(HttpExchange& exchange, int status, std::string body);

} // namespace liftweir

#endif // OBSERVE_H_INCLUDED
