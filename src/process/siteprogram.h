#ifndef SITEPROGRAM_H_INCLUDED
#define SITEPROGRAM_H_INCLUDED

#include "connection/httpserver.h"
#include "process/siteconfig.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace liftweir {

// What a program needs to start where endpoints register themselves.
struct FleetProgram {
    SiteConfig config;
    std::string settings_file;
};

// Reads the command line and the settings file. Prints what is wrong and leaves the exit code in
// `exit_code` where the program must not go on. `fallback` is the settings file where the command
// line names none; it may be null.
std::optional<FleetProgram> read_fleet_program(const std::string& name, const char* fallback,
                                               int argc, const char** argv, int& exit_code);

// Hands on the settings each time that their file changes, unless they are wrong.
void watch_site_config(asio::io_context& io, const std::string& file,
                       std::function<void(const SiteConfig&)> changed);

// Says in the log that the program has started.
void log_started(const SiteConfig& config);

// Serves this process's metrics; null where the address is empty.
std::unique_ptr<HttpServer> serve_metrics(asio::io_context& io, const std::string& address);

} // namespace liftweir

#endif // SITEPROGRAM_H_INCLUDED
