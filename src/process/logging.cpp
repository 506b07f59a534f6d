// Log output of all programs, by Boost.Log with a sink that never blocks.

#include "process/logging.h"

#include "process/clock.h"
#include "process/metrics.h"
#include "version/keys.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/make_shared.hpp>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace liftweir {

namespace {

namespace blog = boost::log;
using Severity = blog::trivial::severity_level;

// Enough for about ten lines for each request of a busy entry host; 0.125 MB a second.
constexpr std::uint32_t LinesPerSecond = 600;
// A pipe that polls as writable takes this many bytes without blocking (POSIX PIPE_BUF).
constexpr std::size_t MaxLineBytes = 4096;

std::string process_name;
bool on_terminal = false;
LogBudget budget(LinesPerSecond);

// Writes formatted lines to standard output and drops those for which it would block: a reader that
// has stopped must not stop the process.
class NonBlockingSink
    : public blog::sinks::basic_formatted_sink_backend<char, blog::sinks::synchronized_feeding> {
  public:
    void consume(const blog::record_view&, const string_type& line) {
        if (!try_write_line(STDOUT_FILENO, line)) {
            budget.dropped("reader is behind");
            Metrics::instance().counter("liftweir_log_lines_dropped").add();
        }
    }
};

Severity severity_of(LogLevel level) {
    switch (level) {
    case LogLevel::Debug:
        return Severity::debug;
    case LogLevel::Info:
        return Severity::info;
    case LogLevel::Warning:
        return Severity::warning;
    case LogLevel::Error:
        return Severity::error;
    }
    return Severity::info;
}

std::string as_json(LogLevel level, std::string_view message, const LogFields& fields) {
    Json::Value line;
    line["ms"] = Json::Int64(wall_millis());
    line["process"] = process_name;
    line["level"] = blog::trivial::to_string(severity_of(level));
    line["message"] = std::string(message);
    for (const auto& [name, value] : fields)
        line[name] = value;
    return to_text(line);
}

std::string as_text(LogLevel level, std::string_view message, const LogFields& fields) {
    std::string line = std::string(blog::trivial::to_string(severity_of(level))) + " " +
                       process_name + " " + std::string(message);
    for (const auto& [name, value] : fields)
        line.append(" ").append(name).append("=").append(value);
    return line;
}

} // namespace

bool LogBudget::take(std::int64_t now_s) {
    if (now_s != second_) {
        second_ = now_s;
        used_ = 0;
    }
    return used_++ < per_second_;
}

bool try_write_line(int descriptor, std::string_view line) {
    std::string bytes(line.substr(0, MaxLineBytes - 1));
    bytes += '\n';
    pollfd wait{descriptor, POLLOUT, 0};
    if (::poll(&wait, 1, 0) != 1 || (wait.revents & POLLOUT) == 0)
        return false;
    return ::write(descriptor, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
}

void start_logging(const std::string& process) {
    process_name = process;
    on_terminal = ::isatty(STDOUT_FILENO) != 0;
    blog::core::get()->add_sink(boost::make_shared<blog::sinks::synchronous_sink<NonBlockingSink>>(
        boost::make_shared<NonBlockingSink>()));
    set_log_level("info");
}

void set_log_level(std::string_view level) {
    Severity severity{};
    if (blog::trivial::from_string(level.data(), level.size(), severity))
        blog::core::get()->set_filter(blog::trivial::severity >= severity);
}

void log(LogLevel level, std::string_view message, const LogFields& fields) {
    static std::mutex mutex;
    {
        const std::lock_guard lock(mutex);
        if (!budget.take(wall_millis() / 1000)) {
            budget.dropped(message);
            Metrics::instance().counter("liftweir_log_lines_dropped").add();
            return;
        }
        if (budget.has_dropped()) {
            LogFields counts;
            for (const auto& [what, count] : budget.take_dropped())
                counts.emplace_back(what, std::to_string(count));
            try_write_line(STDOUT_FILENO, as_json(LogLevel::Warning, "lines dropped", counts));
        }
    }
    static blog::sources::severity_logger_mt<Severity> logger;
    BOOST_LOG_SEV(logger, severity_of(level))
        << (on_terminal ? as_text(level, message, fields) : as_json(level, message, fields));
}

} // namespace liftweir
