// Validates callers' requests at liftweir-entry before any part of them is sent to an endpoint.

#ifndef REQUESTCHECK_H_INCLUDED
#define REQUESTCHECK_H_INCLUDED

#include "connection/httpserver.h"
#include "process/failure.h"

#include <cstdint>
#include <json/json.h>

namespace liftweir {

// Longest answer that a request may ask for, in tokens: above any present context window.
constexpr std::uint32_t MaxTokens = 1u << 20;

// An engine may crash on a field that it does not expect, so every known field is checked. Both
// functions fail with BadRequest, which names the field and its allowed values.

// Checks the body of a completion or of a chat completion.
Expected<void> check_model_body(const Json::Value& body, bool chat);

// Checks the headers that are used or forwarded.
Expected<void> check_headers(const HttpExchange& exchange);

} // namespace liftweir

#endif // REQUESTCHECK_H_INCLUDED
