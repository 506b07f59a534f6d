#ifndef OUTCOME_H_INCLUDED
#define OUTCOME_H_INCLUDED

#include "process/failure.h"

#include <string>
#include <string_view>

namespace liftweir {

// What is known about a request at its end. NotRun is said only where it is proved.
enum class Outcome : unsigned char { Completed, NotRun, Unknown };

std::string_view name_of(Outcome outcome);

// HTTP status for a request that ended with this failure.
int status_of(FailureKind kind, Outcome outcome);

// The error's JSON body, as callers see it.
std::string error_body(const Failure& failure, Outcome outcome);

} // namespace liftweir

#endif // OUTCOME_H_INCLUDED
