// Text form of endpoint identities.

#include "version/endpointid.h"

namespace liftweir {

std::string text_of(const EndpointId& id) {
    return id.has_start_time() ? id.name + "@" + std::to_string(id.started_ms) : id.name;
}

} // namespace liftweir
