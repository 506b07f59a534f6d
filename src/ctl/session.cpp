#include "ctl/session.h"

#include "process/clock.h"

#include <thread>

namespace liftweir {

namespace {

constexpr Duration PauseBetweenTries = std::chrono::milliseconds(150);

bool elsewhere(const RpcAnswer& answer) {
    return answer.kind == RpcAnswer::Kind::Unreachable ||
           (answer.kind == RpcAnswer::Kind::Error &&
            (answer.type == "not_leader" || answer.type == "no_quorum"));
}

} // namespace

RpcAnswer Session::call(const std::string& method, const Json::Value& params) {
    const Time until = BootClock::now() + std::chrono::milliseconds(timeout_ms_);
    RpcAnswer answer;
    std::size_t tried = 0;
    while (true) {
        const std::string url = "http://" + control_[next_] + "/admin";
        answer = call_rpc(url, token_, timeout_ms_, method, params);
        if (!elsewhere(answer) || BootClock::now() >= until)
            return answer;
        next_ = (next_ + 1) % control_.size();
        if (++tried % control_.size() == 0)
            std::this_thread::sleep_for(PauseBetweenTries);
    }
}

int exit_code_of(const RpcAnswer& answer) {
    if (answer.kind == RpcAnswer::Kind::Result)
        return CtlOk;
    if (elsewhere(answer))
        return CtlUnreachable;
    return answer.type == "conflict" ? CtlConflict : CtlFailed;
}

} // namespace liftweir
