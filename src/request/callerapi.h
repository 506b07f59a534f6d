#ifndef CALLERAPI_H_INCLUDED
#define CALLERAPI_H_INCLUDED

#include "connection/httpserver.h"
#include "request/call.h"
#include "version/table.h"

#include <string>

namespace liftweir {

// A caller's request as the table understands it.
struct ParsedCall {
    CallSpec spec;
    TrafficClass traffic_class;
    std::uint32_t slots = 0; // calls in flight at one endpoint of a plain service
};

// Reads an OpenAI-style request, or one to a plain service at /services/NAME/... Fails with
// BadRequest, NotFound or Overloaded (a body over its bound).
Expected<ParsedCall> parse_call(const HttpExchange& exchange, const Table& table, Time now);

// Answer to GET /v1/models: the models of this site and whether each has a ready group.
std::string models_body(const Table& table);

} // namespace liftweir

#endif // CALLERAPI_H_INCLUDED
