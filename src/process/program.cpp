// Start-up of all server programs: command line, settings file and signals.

#include "process/program.h"

#include "process/logging.h"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <popt.h>

namespace liftweir {

namespace {

constexpr const char* VersionText = "liftweir 0.1.0";
// How often the settings file is checked for a change without a signal.
constexpr auto SettingsFilePoll = std::chrono::seconds(2);

} // namespace

std::optional<CommandLine> read_command_line(const std::string& name, const char* fallback,
                                             int argc, const char** argv, int& exit_code) {
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
    const char* chosen = file != nullptr ? file : fallback;
    const std::string config_file = chosen != nullptr ? chosen : "";
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
    return CommandLine{config_file, check_only != 0};
}

std::optional<ProcessConfig> read_program_config(Program program, int argc, const char** argv,
                                                 int& exit_code) {
    const std::string name = "liftweir-" + std::string(name_of(program));
    const auto line = read_command_line(name, nullptr, argc, argv, exit_code);
    if (!line)
        return std::nullopt;
    auto config = read_config(program, line->settings_file);
    if (!config) {
        std::cerr << name << ": " << config.error().detail << "\n";
        exit_code = ExitBadSettings;
        return std::nullopt;
    }
    if (line->check_only) {
        std::cout << line->settings_file << ": good\n";
        return std::nullopt;
    }
    start_logging(config->name);
    std::signal(SIGPIPE, SIG_IGN);
    return *config;
}

void watch_settings_file(asio::io_context& io, const std::string& file,
                         std::function<void()> reload) {
    const auto changed_at = [file] {
        std::error_code error;
        const auto time = std::filesystem::last_write_time(file, error);
        return error ? std::filesystem::file_time_type{} : time;
    };
    struct Watch {
        explicit Watch(asio::io_context& io) : signals(io, SIGHUP), timer(io) {}
        asio::signal_set signals;
        asio::steady_timer timer;
        std::filesystem::file_time_type seen;
        std::function<void()> on_signal;
        std::function<void()> on_timer;
    };
    const auto watch = std::make_shared<Watch>(io);
    watch->seen = changed_at();
    Watch* w = watch.get();
    watch->on_signal = [w, watch_ref = std::weak_ptr<Watch>(watch), changed_at, reload] {
        w->signals.async_wait(
            [watch = watch_ref.lock(), changed_at, reload](asio::error_code error, int) {
                if (error)
                    return;
                watch->seen = changed_at();
                reload();
                watch->on_signal();
            });
    };
    watch->on_timer = [w, watch_ref = std::weak_ptr<Watch>(watch), changed_at, reload] {
        w->timer.expires_after(SettingsFilePoll);
        w->timer.async_wait([watch = watch_ref.lock(), changed_at, reload](asio::error_code error) {
            if (error)
                return;
            const auto now = changed_at();
            if (now != watch->seen) {
                watch->seen = now;
                reload();
            }
            watch->on_timer();
        });
    };
    watch->on_signal();
    watch->on_timer();
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
