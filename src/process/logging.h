#ifndef LOGGING_H_INCLUDED
#define LOGGING_H_INCLUDED

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace liftweir {

enum class LogLevel : unsigned char { Debug, Info, Warning, Error };

using LogFields = std::vector<std::pair<std::string, std::string>>;

// One JSON object a line on standard error, or text where that is a terminal.
void start_logging(const std::string& process);
void set_log_level(std::string_view level);
void log(LogLevel level, std::string_view message, const LogFields& fields = {});

} // namespace liftweir

#endif // LOGGING_H_INCLUDED
