// Parses the HTTP requests that callers send to liftweir-entry.

#ifndef CALLERAPI_H_INCLUDED
#define CALLERAPI_H_INCLUDED

#include "connection/httpserver.h"
#include "request/call.h"
#include "version/table.h"

#include <string>

namespace liftweir {

// A caller's request, resolved against the table of routes.
struct ParsedCall {
    CallSpec spec;
    TrafficClass traffic_class;
    std::uint32_t slots = 0; // maximum of calls in flight at one endpoint of a plain service
};

// Parses an OpenAI-style request, or one to a plain service at /services/NAME/... Fails with
// BadRequest or NotFound.
Expected<ParsedCall> parse_call(const HttpExchange& exchange, const Table& table, Time now);

// Body of the response to GET /v1/models: the site's models and whether each has a ready group.
std::string models_body(const Table& table);

} // namespace liftweir

#endif // CALLERAPI_H_INCLUDED
