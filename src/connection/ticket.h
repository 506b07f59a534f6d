#ifndef TICKET_H_INCLUDED
#define TICKET_H_INCLUDED

#include "connection/secret.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace liftweir {

// Right to read metrics and events of any process until a wall time. Control hosts give it to
// operators; the other processes, which know no operators, check it with the cluster key.
std::string make_ticket(const ClusterKeys& keys, std::int64_t until_ms);

// `authorization` is the whole header: "Bearer TICKET".
bool ticket_is_valid(const ClusterKeys& keys, std::string_view authorization, std::int64_t now_ms);

// The token of a "Bearer" authorization header; empty where it is none.
std::string_view bearer_token(std::string_view authorization);

} // namespace liftweir

#endif // TICKET_H_INCLUDED
