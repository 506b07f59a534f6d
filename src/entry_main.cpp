// liftweir-entry: an entry host, which accepts callers' requests and sends them to endpoints.

#include "process/entry.h"
#include "process/program.h"

using namespace liftweir;

int main(int argc, const char** argv) {
    int exit_code = ExitOk;
    const auto config = read_program_config(Program::Entry, argc, argv, exit_code);
    if (!config)
        return exit_code;
    asio::io_context io;
    Entry entry(io, *config);
    entry.start();
    run_until_stopped(io, [&] { entry.leave(); });
    return ExitOk;
}
