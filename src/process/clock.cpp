// Reads the system clocks.

#include "process/clock.h"

#include <ctime>

namespace liftweir {

// Uses CLOCK_BOOTTIME because CLOCK_MONOTONIC stops while the host is suspended: leases must expire
// during a suspend too.
Time BootClock::now() {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

std::int64_t wall_millis() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace liftweir
