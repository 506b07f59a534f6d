// Names of the failure kinds, as shown to callers and operators.

#include "process/failure.h"

namespace liftweir {

std::string_view name_of(FailureKind kind) {
    switch (kind) {
    case FailureKind::BadSettings:
        return "bad_settings";
    case FailureKind::BadRequest:
        return "bad_request";
    case FailureKind::Unauthorized:
        return "unauthorized";
    case FailureKind::Forbidden:
        return "forbidden";
    case FailureKind::NotFound:
        return "not_found";
    case FailureKind::Conflict:
        return "conflict";
    case FailureKind::NotLeader:
        return "not_leader";
    case FailureKind::NoQuorum:
        return "no_quorum";
    case FailureKind::Overloaded:
        return "overloaded";
    case FailureKind::DeadlineTooNear:
        return "deadline_too_near";
    case FailureKind::NoEndpoint:
        return "no_endpoint";
    case FailureKind::Draining:
        return "draining";
    case FailureKind::EndpointFailed:
        return "endpoint_failed";
    case FailureKind::Cancelled:
        return "cancelled";
    case FailureKind::Mismatch:
        return "mismatch";
    case FailureKind::InProgress:
        return "in_progress";
    case FailureKind::OutcomeUnknown:
        return "outcome_unknown";
    case FailureKind::Decode:
        return "decode";
    case FailureKind::Damaged:
        return "damaged";
    case FailureKind::Storage:
        return "storage";
    case FailureKind::Io:
        return "io";
    }
    return "unknown";
}

} // namespace liftweir
