// Tickets: signed bearer tokens that give operators read access to every process for a while.

#ifndef TICKET_H_INCLUDED
#define TICKET_H_INCLUDED

#include "connection/secret.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace liftweir {

// A ticket allows its holder to read metrics and events of any process until the given wall time.
// Control hosts issue it to operators. The other processes do not know the operators and check the
// ticket with the cluster key.
std::string make_ticket(const ClusterKeys& keys, std::int64_t until_ms);

// `authorization` is the complete value of the header: "Bearer TICKET".
bool ticket_is_valid(const ClusterKeys& keys, std::string_view authorization, std::int64_t now_ms);

// The token of a "Bearer" Authorization header; empty for other schemes.
std::string_view bearer_token(std::string_view authorization);

} // namespace liftweir

#endif // TICKET_H_INCLUDED
