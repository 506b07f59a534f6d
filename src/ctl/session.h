#ifndef SESSION_H_INCLUDED
#define SESSION_H_INCLUDED

#include "ctl/rpcclient.h"

#include <string>
#include <vector>

namespace liftweir {

// Exit codes of liftweirctl.
constexpr int CtlOk = 0;
constexpr int CtlFailed = 1;      // the system refused the order
constexpr int CtlUsage = 2;       // wrong command line or settings
constexpr int CtlUnreachable = 3; // no control host that leads could be reached
constexpr int CtlConflict = 4;    // somebody else changed the same version first

// Connection of the operator's tool to whichever control host leads.
class Session {
  public:
    Session(std::vector<std::string> control, std::string token, long timeout_ms)
        : control_(std::move(control)), token_(std::move(token)), timeout_ms_(timeout_ms) {}

    // Tries the control hosts in turn until the leading one answers or the time is over. Safe to
    // repeat: orders carry an id, and a resend gets the first answer.
    RpcAnswer call(const std::string& method, const Json::Value& params);
    const std::vector<std::string>& control() const { return control_; }

  private:
    std::vector<std::string> control_;
    std::string token_;
    long timeout_ms_;
    std::size_t next_ = 0;
};

int exit_code_of(const RpcAnswer& answer);

} // namespace liftweir

#endif // SESSION_H_INCLUDED
