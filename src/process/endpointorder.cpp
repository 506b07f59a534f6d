// Names of order kinds and answers.

#include "process/endpointorder.h"

namespace liftweir {

std::string_view name_of(OrderKind kind) {
    switch (kind) {
    case OrderKind::Join:
        return "join";
    case OrderKind::Open:
        return "open";
    case OrderKind::Close:
        return "close";
    case OrderKind::Leave:
        return "leave";
    case OrderKind::Stage:
        return "stage";
    }
    return "unknown";
}

std::string_view name_of(OrderAnswer answer) {
    switch (answer) {
    case OrderAnswer::Taken:
        return "taken";
    case OrderAnswer::Unfit:
        return "unfit";
    case OrderAnswer::Stale:
        return "stale";
    case OrderAnswer::Elsewhere:
        return "elsewhere";
    case OrderAnswer::Silent:
        return "silent";
    }
    return "unknown";
}

} // namespace liftweir
