#ifndef RPCCLIENT_H_INCLUDED
#define RPCCLIENT_H_INCLUDED

#include <json/json.h>

#include <string>

// JSON-RPC calls of liftweirctl to one process. This header does not include the JSON-RPC
// library's client header, which does not compile as C++17 or later.

struct RpcResponse {
    enum class Kind : unsigned char { Result, Error, Unreachable };
    Kind kind = Kind::Unreachable;
    Json::Value result;
    std::string type;   // error type: the name of a FailureKind
    std::string detail; // error message
};

// Calls a method of the administration interface of one control host.
RpcResponse call_rpc(const std::string& url, const std::string& token, long timeout_ms,
                     const std::string& method, const Json::Value& params);

#endif // RPCCLIENT_H_INCLUDED
