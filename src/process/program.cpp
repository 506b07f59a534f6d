#include "process/program.h"

#include "process/logging.h"

#include <csignal>
#include <iostream>
#include <popt.h>

namespace liftweir {

namespace {

constexpr const char* VersionText = "liftweir 0.1.0";

} // namespace

std::optional<ProcessConfig> program_config(Program program, int argc, const char** argv,
                                            int& exit_code) {
    const std::string name = "liftweir-" + std::string(name_of(program));
    char* file = nullptr;
    int check_only = 0;
    int version = 0;
    const poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &file, 0, "settings file of this process (JSON)", "FILE"},
        {"check", 0, POPT_ARG_NONE, &check_only, 0, "check the settings file and exit", nullptr},
        {"version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(name.c_str(), argc, argv, options, 0);
    const int parsed = poptGetNextOpt(context);
    const std::string config_file = file != nullptr ? file : "";
    exit_code = ExitOk;
    if (parsed < -1) {
        std::cerr << name << ": " << poptBadOption(context, 0) << ": " << poptStrerror(parsed)
                  << "\n";
        exit_code = ExitBadSettings;
    } else if (version != 0) {
        std::cout << VersionText << "\n";
    } else if (config_file.empty()) {
        poptPrintUsage(context, stderr, 0);
        exit_code = ExitBadSettings;
    }
    poptFreeContext(context);
    if (exit_code != ExitOk || version != 0)
        return std::nullopt;
    auto config = read_config(program, config_file);
    if (!config) {
        std::cerr << name << ": " << config.error().detail << "\n";
        exit_code = ExitBadSettings;
        return std::nullopt;
    }
    if (check_only != 0) {
        std::cout << config_file << ": good\n";
        return std::nullopt;
    }
    start_logging(config->name);
    std::signal(SIGPIPE, SIG_IGN);
    return *config;
}

void run_until_stopped(asio::io_context& io, const std::function<void()>& on_signal) {
    asio::signal_set signals(io, SIGTERM, SIGINT);
    std::function<void()> wait = [&] {
        signals.async_wait([&](asio::error_code error, int) {
            if (error)
                return;
            on_signal();
            wait();
        });
    };
    wait();
    io.run();
}

} // namespace liftweir
