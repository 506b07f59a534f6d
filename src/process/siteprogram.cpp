// Start-up of liftweir-site-control and liftweir-site-entry.

#include "process/siteprogram.h"

#include "process/logging.h"
#include "process/metrics.h"
#include "process/program.h"
#include "process/serverlimits.h"

#include <iostream>
#include <utility>

namespace liftweir {

std::optional<SiteProgram> read_site_program(const std::string& name, const char* fallback,
                                             int argc, const char** argv, int& exit_code) {
    const auto line = read_command_line(name, fallback, argc, argv, exit_code);
    if (!line)
        return std::nullopt;
    auto config = read_site_config(line->settings_file);
    if (!config) {
        std::cerr << config.error().detail << "\n";
        exit_code = ExitBadSettings;
        return std::nullopt;
    }
    if (line->check_only)
        return std::nullopt;
    return SiteProgram{std::move(*config), line->settings_file};
}

void watch_site_config(asio::io_context& io, const std::string& file,
                       std::function<void(const SiteConfig&)> changed) {
    watch_settings_file(io, file, [file, changed = std::move(changed)] {
        const auto config = read_site_config(file);
        log(LogLevel::Info, "settings reloaded",
            {{"outcome", config ? "good" : config.error().detail}});
        if (config)
            changed(*config);
    });
}

void log_started(const SiteConfig& config) {
    log(LogLevel::Info, "started",
        {{"ip", config.ip}, {"authentication", "none: the network is trusted"}});
}

std::unique_ptr<HttpServer> serve_metrics(asio::io_context& io, const std::string& address,
                                          StatusPages pages) {
    if (address.empty())
        return nullptr;
    const auto respond = [pages = std::move(pages)](const std::shared_ptr<HttpExchange>& exchange) {
        const auto page = pages.find(std::string(exchange->path()));
        if (page != pages.end()) {
            exchange->respond(200, {{"Content-Type", "application/json"}}, page->second());
            return;
        }
        exchange->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                          Metrics::instance().text());
    };
    return serve_http(io, address, probe_limits(), respond);
}

} // namespace liftweir
