// Names of states, and comparison of reports.

#include "version/endpointreport.h"

namespace liftweir {

std::string_view name_of(MemberState state) {
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Ready:
        return "ready";
    case MemberState::Open:
        return "open";
    case MemberState::Closing:
        return "closing";
    case MemberState::Broken:
        return "broken";
    }
    return "unknown";
}

bool EndpointReport::same_content(const EndpointReport& other) const {
    EndpointReport copy = other;
    copy.sequence = sequence;
    return *this == copy;
}

} // namespace liftweir
