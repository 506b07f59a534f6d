#ifndef WHY_H_INCLUDED
#define WHY_H_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace liftweir {

// One line of a process's log (JSON).
struct LogLine {
    std::int64_t ms = 0; // wall time of the process that wrote it
    std::string process;
    std::string message;
    std::map<std::string, std::string> fields;

    auto operator<=>(const LogLine&) const = default;
};

// Parses log lines. Text before the JSON object of a line, and lines without one, are skipped.
std::vector<LogLine> parse_log(const std::string& text);

// The lines that concern one request, in order of time: its own, those of the endpoints that worked
// on it and of their groups, and changes of leader, document and lease, from shortly before its
// arrival until shortly after its end. Empty where no line names the request.
std::vector<LogLine> related_lines(const std::string& request, std::vector<LogLine> lines);

// The command `liftweirctl why`: prints the lines of the log files that concern a request. Returns
// the exit code.
int explain_request(const std::string& request, const std::vector<std::string>& files);

} // namespace liftweir

#endif // WHY_H_INCLUDED
