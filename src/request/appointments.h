// Retries that an entry host has asked refused callers to make (liftweir-site-entry).

#ifndef APPOINTMENTS_H_INCLUDED
#define APPOINTMENTS_H_INCLUDED

#include "process/clock.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace liftweir {

// A refused caller that needs a time for its retry.
struct RetryRequest {
    std::string model;
    Duration waited{};               // by the caller so far, since its first attempt
    Duration time_left{};            // until the caller gives up
    double per_second = 0;           // retries that this host can serve
    double per_second_once_open = 0; // the same from the time when the next group opens
    Duration opens_in{};             // until that group opens; zero if unknown
    double draw = 0;                 // uniform, 0 to 1

    auto operator<=>(const RetryRequest&) const = default;
};

// The answer to a refused caller.
struct BookedRetry {
    Duration retry_after{};
    bool booked = false; // there is capacity for the caller at that time

    auto operator<=>(const BookedRetry&) const = default;
};

// How a caller relates to an earlier refusal, as far as its time limit shows.
enum class CallerReturn : std::uint8_t {
    New,    // first attempt, or a retry before the time that the caller was told
    Booked, // retries when it was told to, and was probably booked
    Waited  // retries after the longest wait, which callers without a booking are told
};

// A booked caller returns before a third of its time limit has passed, and one without a booking
// after that. `time_left` is zero if the time limit is unknown: the caller counts as new.
CallerReturn classify_return(Duration waited, Duration time_left);

// Counts the booked retries of the next 3 s by model and tenth of a second. Losing them does no
// harm: callers are recognised by their time limits. Pure: no I/O and no clock of its own.
class RetryBook {
  public:
    // Books the earliest tenth of a second with capacity for one more retry. Without capacity the
    // time is a third of the time left, the longest that callers accept, and nothing is booked.
    BookedRetry book(const RetryRequest& request, Time now);
    // Booked retries of the model that are due in the tenth of a second that begins now.
    double due(const std::string& model, Time now) const;

  private:
    static constexpr std::size_t Tenths = 30;

    struct Ring {
        std::array<std::uint32_t, Tenths> booked{};
        std::int64_t first = 0; // number of the tenth of a second that the window begins with
    };

    static std::uint32_t& at(Ring& ring, std::int64_t tenth);
    static void advance(Ring& ring, std::int64_t first);

    std::map<std::string, Ring> rings_; // by model of the document
};

} // namespace liftweir

#endif // APPOINTMENTS_H_INCLUDED
