#ifndef PROGRAM_H_INCLUDED
#define PROGRAM_H_INCLUDED

#include "process/config.h"

#include <asio.hpp>

#include <functional>
#include <optional>
#include <string>

namespace liftweir {

// Exit codes of all programs.
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;
constexpr int ExitStorage = 3;

// Reads the command line: the settings file, or nothing where the program must not go on; then the
// exit code stands in `exit_code`. `fallback` is used where the command line names no file.
struct CommandLine {
    std::string settings_file;
    bool check_only = false;
};
std::optional<CommandLine> read_command_line(const std::string& program, const char* fallback,
                                             int argc, const char** argv, int& exit_code);

// Reads the command line and the settings file of a server program. Prints what is wrong and
// leaves the exit code in `exit_code` where the program must not go on.
std::optional<ProcessConfig> read_program_config(Program program, int argc, const char** argv,
                                                 int& exit_code);

// Runs the loop until it is stopped; SIGTERM and SIGINT call `on_signal`.
void run_until_stopped(asio::io_context& io, const std::function<void()>& on_signal);

// Calls `reload` on SIGHUP, and when the file's time of change moves without a signal.
void watch_settings_file(asio::io_context& io, const std::string& file,
                         std::function<void()> reload);

} // namespace liftweir

#endif // PROGRAM_H_INCLUDED
