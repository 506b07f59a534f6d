#ifndef REQUESTCHECK_H_INCLUDED
#define REQUESTCHECK_H_INCLUDED

#include "connection/httpserver.h"
#include "process/failure.h"

#include <cstdint>
#include <json/json.h>

namespace liftweir {

// Longest answer that a request may ask for, in tokens: above any context window of today.
constexpr std::uint32_t MostTokens = 1u << 20;

// Bounds of what a caller sends, asked before anything of it leaves for an endpoint: an endpoint
// may end on a field that it does not expect. BadRequest names the field and what is allowed.

// Body of a completion, or of a chat.
Expected<void> check_model_body(const Json::Value& body, bool chat);

// The headers that are read or passed on.
Expected<void> check_headers(const HttpExchange& exchange);

} // namespace liftweir

#endif // REQUESTCHECK_H_INCLUDED
