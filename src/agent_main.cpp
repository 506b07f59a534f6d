// liftweir-agent: runs beside the endpoint on each engine or service host, directed by control.

#include "process/agent.h"
#include "process/program.h"

using namespace liftweir;

int main(int argc, const char** argv) {
    int exit_code = ExitOk;
    const auto config = read_program_config(Program::Agent, argc, argv, exit_code);
    if (!config)
        return exit_code;
    asio::io_context io;
    Agent agent(io, *config);
    agent.start();
    run_until_stopped(io, [&] { agent.leave(); });
    return ExitOk;
}
