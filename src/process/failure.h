#ifndef FAILURE_H_INCLUDED
#define FAILURE_H_INCLUDED

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace liftweir {

// Every way in which an operation of liftweir can fail. The names are part of the public
// interface: callers and operators see them in JSON answers.
enum class FailureKind : unsigned char {
    BadSettings,     // a settings file or a change of settings is not valid
    BadRequest,      // a request is malformed
    Unauthorized,    // missing or unknown key or token
    Forbidden,       // the token's role does not allow the call
    NotFound,        // the named thing does not exist
    Conflict,        // compare-and-set lost against another writer
    NotLeader,       // this control host does not lead
    NoQuorum,        // a majority of control hosts can not be reached
    Overloaded,      // a limit or a bounded queue refused the work
    DeadlineTooNear, // the work can not finish before its deadline
    NoEndpoint,      // no endpoint that could serve the request is ready
    Draining,        // the process takes no new work
    EndpointFailed,  // the endpoint failed while it worked
    Cancelled,       // the caller went away
    Mismatch,        // an idempotency key was used again with another body
    InProgress,      // the first call with this idempotency key still runs
    OutcomeUnknown,  // the call may have run; it is not run again
    Decode,          // bytes on the wire are not a valid message
    Damaged,         // stored data fail their checks
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
