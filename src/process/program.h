#ifndef PROGRAM_H_INCLUDED
#define PROGRAM_H_INCLUDED

#include "process/config.h"

#include <asio.hpp>

#include <functional>
#include <optional>

namespace liftweir {

// Exit codes of all programs.
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;
constexpr int ExitStorage = 3;

// Reads the command line and the settings file of a server program. Prints what is wrong and
// leaves the exit code in `exit_code` where the program must not go on.
std::optional<ProcessConfig> program_config(Program program, int argc, const char** argv,
                                            int& exit_code);

// Runs the loop until it is stopped; SIGTERM and SIGINT call `on_signal`.
void run_until_stopped(asio::io_context& io, const std::function<void()>& on_signal);

} // namespace liftweir

#endif // PROGRAM_H_INCLUDED
