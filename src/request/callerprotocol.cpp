// Names of the faults of numbers in response headers.

#include "request/callerprotocol.h"

namespace liftweir {

std::string_view name_of(NumberFault fault) {
    switch (fault) {
    case NumberFault::None:
        return "none";
    case NumberFault::Repeated:
        return "repeated";
    case NumberFault::Unreadable:
        return "unreadable";
    case NumberFault::OutOfRange:
        return "out_of_range";
    }
    return "unknown";
}

} // namespace liftweir
