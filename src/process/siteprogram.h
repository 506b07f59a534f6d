// Start-up code of liftweir-site-control and liftweir-site-entry, the programs of deployments whose
// endpoints register themselves.

#ifndef SITEPROGRAM_H_INCLUDED
#define SITEPROGRAM_H_INCLUDED

#include "connection/httpserver.h"
#include "process/siteconfig.h"

#include <asio.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace liftweir {

// The settings of a program at its start, and the file that they come from.
struct SiteProgram {
    SiteConfig config;
    std::string settings_file;
};

// Reads the command line and the settings file. Returns nothing where the program must exit: then
// errors are printed and `exit_code` is set. `fallback` is the settings file where the command line
// names none; it may be null.
std::optional<SiteProgram> read_site_program(const std::string& name, const char* fallback,
                                             int argc, const char** argv, int& exit_code);

// Calls `changed` with the new settings each time that their file changes and is valid.
void watch_site_config(asio::io_context& io, const std::string& file,
                       std::function<void(const SiteConfig&)> changed);

// Logs that the program has started.
void log_started(const SiteConfig& config);

// Pages in JSON that a process serves beside its metrics, by path.
using StatusPages = std::map<std::string, std::function<std::string()>>;

// Serves this process's metrics, and the pages. Returns null where the address is empty.
std::unique_ptr<HttpServer> serve_metrics(asio::io_context& io, const std::string& address,
                                          StatusPages pages = {});

} // namespace liftweir

#endif // SITEPROGRAM_H_INCLUDED
