#ifndef SESSION_H_INCLUDED
#define SESSION_H_INCLUDED

#include "ctl/rpcclient.h"

#include <string>
#include <vector>

namespace liftweir {

// Exit codes of liftweirctl, the operators' command line tool.
constexpr int CtlOk = 0;
constexpr int CtlFailed = 1;      // liftweir rejected the order
constexpr int CtlUsage = 2;       // wrong command line or settings
constexpr int CtlUnreachable = 3; // the leader of the control hosts could not be reached
constexpr int CtlConflict = 4;    // another operator changed the same version first

// Sends the calls of liftweirctl to the control host that is the leader.
class Session {
  public:
    Session(std::vector<std::string> control, std::string token, long timeout_ms)
        : control_(std::move(control)), token_(std::move(token)), timeout_ms_(timeout_ms) {}

    // Tries the control hosts in turn until the leader answers or the timeout has passed. Retries
    // are safe: each order carries an id, and a repeated order gets the response to the first one.
    RpcResponse call(const std::string& method, const Json::Value& params);
    const std::vector<std::string>& control() const { return control_; }

  private:
    std::vector<std::string> control_;
    std::string token_;
    long timeout_ms_;
    std::size_t next_ = 0;
};

int exit_code_of(const RpcResponse& response);

} // namespace liftweir

#endif // SESSION_H_INCLUDED
