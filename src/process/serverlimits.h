// How much of a process's memory and descriptors the clients of each of its ports may use.

#ifndef SERVERLIMITS_H_INCLUDED
#define SERVERLIMITS_H_INCLUDED

#include "connection/httpserver.h"
#include "process/siteconfig.h"
#include "version/deployment.h"

#include <cstddef>

namespace liftweir {

// Of callers of an entry host.
HttpServerLimits caller_limits(const CallerLimits& limits, const SiteConfig& config);
// Of operators and endpoints that call a control host.
HttpServerLimits control_limits(const SiteConfig& config);
// Of load balancers and monitors, which send short requests without a body.
HttpServerLimits probe_limits();

// Bytes of responses that endpoints have not completed.
std::size_t max_incomplete_bytes(const SiteConfig& config);
// Bytes of responses that callers have not read.
std::size_t max_unread_bytes(const SiteConfig& config);
// Bytes that one document may take once it is parsed.
std::size_t max_parsed_bytes(const SiteConfig& config);

} // namespace liftweir

#endif // SERVERLIMITS_H_INCLUDED
