// Start-up code of all server programs: command line, settings file, signals and exit codes.

#ifndef PROGRAM_H_INCLUDED
#define PROGRAM_H_INCLUDED

#include "process/config.h"

#include <asio.hpp>

#include <functional>
#include <optional>
#include <string>

namespace liftweir {

// Exit codes of the programs.
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;
constexpr int ExitStorage = 3;

struct CommandLine {
    std::string settings_file;
    bool check_only = false;
};
// Reads the command line. Returns nothing where the program must exit, and sets `exit_code`.
// `fallback` is the settings file where the command line names none; it may be null.
std::optional<CommandLine> read_command_line(const std::string& program, const char* fallback,
                                             int argc, const char** argv, int& exit_code);

// Reads the command line and the settings file of liftweir-control, -entry or -agent, and sets up
// the log output. Returns nothing where the program must exit: then errors are printed and
// `exit_code` is set.
std::optional<ProcessConfig> read_program_config(Program program, int argc, const char** argv,
                                                 int& exit_code);

// Runs the event loop until it is stopped. SIGTERM and SIGINT call `on_signal`.
void run_until_stopped(asio::io_context& io, const std::function<void()>& on_signal);

// Calls `reload` on SIGHUP, and where the file's modification time changes without a signal.
void watch_settings_file(asio::io_context& io, const std::string& file,
                         std::function<void()> reload);

} // namespace liftweir

#endif // PROGRAM_H_INCLUDED
