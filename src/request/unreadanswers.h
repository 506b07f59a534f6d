// Decides which answers to end because their callers do not read them (liftweir-site-entry).

#ifndef UNREADANSWERS_H_INCLUDED
#define UNREADANSWERS_H_INCLUDED

#include "process/clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace liftweir {

// One answer of which bytes are held for its caller, as measured at one time.
struct UnreadAnswer {
    std::uint64_t id = 0;
    std::size_t bytes = 0;
    std::uint64_t read = 0;      // bytes that the caller has read so far; only a change counts
    bool endpoint_waits = false; // the endpoint is not read until the caller reads

    auto operator<=>(const UnreadAnswer&) const = default;
};

enum class UnreadReason : unsigned char { Time, Memory };

std::string_view name_of(UnreadReason reason);

struct EndedAnswer {
    std::uint64_t id = 0;
    UnreadReason reason = UnreadReason::Time;
    std::size_t bytes = 0;
    Duration unread{}; // how long the caller had read nothing

    auto operator<=>(const EndedAnswer&) const = default;
};

// Ends answers that are unread for too long. While the answers together hold more than a bound, it
// also ends the one that is unread longest, then the next.
class UnreadAnswers {
  public:
    explicit UnreadAnswers(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    // Takes a new measurement of all answers and returns those to end, which no longer count.
    std::vector<EndedAnswer> measure(const std::vector<UnreadAnswer>& answers, Time now);
    // Bytes held for all answers at the last measurement.
    std::size_t bytes() const { return bytes_; }
    std::size_t max_bytes() const { return max_bytes_; }

  private:
    struct Item {
        UnreadAnswer answer;
        Time read_at{};       // when the caller last read, or when bytes were first held
        Time waiting_since{}; // since when the endpoint waits; unset if it does not
    };

    void update(const std::vector<UnreadAnswer>& answers, Time now);
    void end(std::uint64_t id, UnreadReason reason, Time now, std::vector<EndedAnswer>& out);

    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::map<std::uint64_t, Item> items_;
};

} // namespace liftweir

#endif // UNREADANSWERS_H_INCLUDED
