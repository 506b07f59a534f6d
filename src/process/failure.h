// The kinds of failures, and the result type that carries them. Used by all programs.

#ifndef FAILURE_H_INCLUDED
#define FAILURE_H_INCLUDED

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace liftweir {

// Every way in which an operation can fail. The names are part of the public interface: callers and
// operators see them in JSON responses.
enum class FailureKind : unsigned char {
    BadSettings,     // a settings file or a change of settings is not valid
    BadRequest,      // a request is malformed
    Unauthorized,    // missing or unknown key or token
    Forbidden,       // the token's role does not allow the call
    NotFound,        // the named object does not exist
    Conflict,        // a compare-and-set failed because of another writer
    NotLeader,       // this control host is not the leader
    NoQuorum,        // a majority of control hosts can not be reached
    Overloaded,      // a limit or a bounded queue rejected the work
    DeadlineTooNear, // the request can not finish before its deadline
    NoEndpoint,      // no ready endpoint can serve the request
    Draining,        // the process accepts no new work
    EndpointFailed,  // the endpoint failed while it processed the request
    Cancelled,       // the caller disconnected
    Mismatch,        // an idempotency key was reused with a different body
    InProgress,      // the first call with this idempotency key is still running
    OutcomeUnknown,  // the call may have been executed; it is not repeated
    Decode,          // the received bytes are not a valid message
    Damaged,         // stored data are corrupt
    Storage,         // the file system refused an operation
    Io               // a socket failed
};

struct Failure {
    FailureKind kind;
    std::string detail;

    bool operator==(const Failure&) const = default;
};

template <typename T>
using Expected = tl::expected<T, Failure>;

inline tl::unexpected<Failure> fail(FailureKind kind, std::string detail) {
    return tl::make_unexpected(Failure{kind, std::move(detail)});
}

// The kind's name in snake_case, as shown to callers and operators.
std::string_view name_of(FailureKind kind);

} // namespace liftweir

#endif // FAILURE_H_INCLUDED
