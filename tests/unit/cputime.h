// Measures processor time for tests.

#ifndef CPUTIME_H_INCLUDED
#define CPUTIME_H_INCLUDED

#include "process/clock.h"

#include <ctime>

namespace liftweir {

// Processor time that this thread has used, independent of other load on the machine.
inline Duration cpu_time() {
    timespec t{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

} // namespace liftweir

#endif // CPUTIME_H_INCLUDED
