// The log output of all programs: one JSON object a line on standard output, or text where that is
// a terminal.

#ifndef LOGGING_H_INCLUDED
#define LOGGING_H_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace liftweir {

enum class LogLevel : unsigned char { Debug, Info, Warning, Error };

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Limits the log lines written in each second, and counts the dropped lines by message. The counts
// are logged once lines can be written again.
class LogBudget {
  public:
    explicit LogBudget(std::uint32_t lines_per_second) : per_second_(lines_per_second) {}

    // Whether one more line may be written now. `now_s` is the time in whole seconds of any clock.
    bool take(std::int64_t now_s);
    void dropped(std::string_view message) { ++dropped_[std::string(message)]; }
    // Counts by message since the last call; empty where no line was dropped.
    std::map<std::string, std::uint64_t> take_dropped() { return std::exchange(dropped_, {}); }
    bool has_dropped() const { return !dropped_.empty(); }

  private:
    std::uint32_t per_second_;
    std::int64_t second_ = 0;
    std::uint32_t used_ = 0;
    std::map<std::string, std::uint64_t> dropped_;
};

// Writes one line to a descriptor if that is possible without blocking. Returns false where the
// reader is behind.
bool try_write_line(int descriptor, std::string_view line);

// Sets up the log output; `process` is the process's name in each line.
void start_logging(const std::string& process);
void set_log_level(std::string_view level);
void log(LogLevel level, std::string_view message, const LogFields& fields = {});

} // namespace liftweir

#endif // LOGGING_H_INCLUDED
