// HTTP status and body of failed requests.

#include "request/outcome.h"

#include "version/keys.h"

namespace liftweir {

std::string_view name_of(Outcome outcome) {
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

int status_of(FailureKind kind, Outcome outcome) {
    switch (kind) {
    case FailureKind::BadRequest:
    case FailureKind::BadSettings:
    case FailureKind::Decode:
        return 400;
    case FailureKind::Unauthorized:
        return 401;
    case FailureKind::Forbidden:
        return 403;
    case FailureKind::NotFound:
        return 404;
    case FailureKind::Conflict:
    case FailureKind::InProgress:
    case FailureKind::OutcomeUnknown:
        return 409;
    case FailureKind::Mismatch:
        return 422;
    case FailureKind::Overloaded:
        return 429;
    case FailureKind::EndpointFailed:
    case FailureKind::Io:
        return 502;
    case FailureKind::DeadlineTooNear:
        return outcome == Outcome::NotRun ? 503 : 504;
    default:
        return 503;
    }
}

std::string error_body(const Failure& failure, Outcome outcome) {
    Json::Value body;
    body["error"]["type"] = std::string(name_of(failure.kind));
    body["error"]["message"] = failure.detail;
    body["error"]["outcome"] = std::string(name_of(outcome));
    return to_text(body);
}

} // namespace liftweir
