// The clock for leases and timeouts, and conversions of durations. Used by all programs.

#ifndef CLOCK_H_INCLUDED
#define CLOCK_H_INCLUDED

#include <chrono>
#include <cstdint>

namespace liftweir {

// A clock that keeps running while the machine is suspended. All leases are measured with it.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now();
};

using Time = BootClock::time_point;
using Duration = BootClock::duration;

// Wall-clock time in milliseconds since the Unix epoch. Only for display and for time spans of
// hours, since it may jump.
std::int64_t wall_millis();

constexpr std::int64_t to_millis(Duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// Like to_millis, but keeps fractions of a millisecond.
constexpr double to_exact_millis(Duration d) {
    return std::chrono::duration<double, std::milli>(d).count();
}

constexpr double to_seconds(Duration d) {
    return std::chrono::duration<double>(d).count();
}

constexpr Duration scaled(Duration d, double factor) {
    return std::chrono::duration_cast<Duration>(factor * std::chrono::duration<double>(d));
}

} // namespace liftweir

#endif // CLOCK_H_INCLUDED
