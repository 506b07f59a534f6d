#include "process/clock.h"

#include <ctime>

namespace liftweir {

// CLOCK_BOOTTIME rather than CLOCK_MONOTONIC: a host that was suspended must find its leases
// run out, and CLOCK_MONOTONIC stands still during a suspend.
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
