// Finds the leading control host and retries calls of liftweirctl.

#include "ctl/session.h"

#include "process/clock.h"

#include <thread>

namespace liftweir {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(150);

// Whether to try another control host: this one is unreachable, does not lead, or has no quorum.
bool should_try_next_host(const RpcResponse& response) {
    return response.kind == RpcResponse::Kind::Unreachable ||
           (response.kind == RpcResponse::Kind::Error &&
            (response.type == "not_leader" || response.type == "no_quorum"));
}

} // namespace

RpcResponse Session::call(const std::string& method, const Json::Value& params) {
    const Time deadline = BootClock::now() + std::chrono::milliseconds(timeout_ms_);
    RpcResponse response;
    std::size_t attempts = 0;
    while (true) {
        const std::string url = "http://" + control_[next_] + "/admin";
        response = call_rpc(url, token_, timeout_ms_, method, params);
        if (!should_try_next_host(response) || BootClock::now() >= deadline)
            return response;
        next_ = (next_ + 1) % control_.size();
        if (++attempts % control_.size() == 0)
            std::this_thread::sleep_for(RetryDelay);
    }
}

int exit_code_of(const RpcResponse& response) {
    if (response.kind == RpcResponse::Kind::Result)
        return CtlOk;
    if (should_try_next_host(response))
        return CtlUnreachable;
    return response.type == "conflict" ? CtlConflict : CtlFailed;
}

} // namespace liftweir
