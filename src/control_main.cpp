// liftweir-control: a control host, one replica of the state of hosts, groups and settings.

#include "process/control.h"
#include "process/logging.h"
#include "process/program.h"

using namespace liftweir;

int main(int argc, const char** argv) {
    int exit_code = ExitOk;
    const auto config = read_program_config(Program::Control, argc, argv, exit_code);
    if (!config)
        return exit_code;
    asio::io_context io;
    auto control = Control::open(io, *config);
    if (!control) {
        log(LogLevel::Error, "can not start",
            {{"failure", std::string(name_of(control.error().kind))},
             {"detail", control.error().detail}});
        return ExitStorage;
    }
    (*control)->start();
    run_until_stopped(io, [&] { (*control)->stop(); });
    return ExitOk;
}
