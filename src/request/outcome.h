// Outcome of a request, and how a failure is reported to the caller.

#ifndef OUTCOME_H_INCLUDED
#define OUTCOME_H_INCLUDED

#include "process/failure.h"

#include <string>
#include <string_view>

namespace liftweir {

// What is known about a request at its end. NotRun is reported only if it is certain.
enum class Outcome : unsigned char { Completed, NotRun, Unknown };

std::string_view name_of(Outcome outcome);

// HTTP status for a request that ended with this failure.
int status_of(FailureKind kind, Outcome outcome);

// JSON body of an error response to a caller.
std::string error_body(const Failure& failure, Outcome outcome);

} // namespace liftweir

#endif // OUTCOME_H_INCLUDED
