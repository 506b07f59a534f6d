#ifndef CPUTIME_H_INCLUDED
#define CPUTIME_H_INCLUDED

#include "process/clock.h"

#include <ctime>

namespace liftweir {

// What this thread has used of a processor: other work on the machine does not count.
inline Duration cpu_time() {
    timespec t{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

} // namespace liftweir

#endif // CPUTIME_H_INCLUDED
