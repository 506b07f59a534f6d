#ifndef RPCCLIENT_H_INCLUDED
#define RPCCLIENT_H_INCLUDED

#include <json/json.h>

#include <string>

// Calls the administration interface of one control host. Kept free of the JSON-RPC library's
// own client header, which does not compile as C++17 or later.

struct RpcAnswer {
    enum class Kind : unsigned char { Result, Error, Unreachable };
    Kind kind = Kind::Unreachable;
    Json::Value result;
    std::string type;   // of the error, as in FailureKind
    std::string detail; // of the error
};

RpcAnswer call_rpc(const std::string& url, const std::string& token, long timeout_ms,
                   const std::string& method, const Json::Value& params);

struct HttpAnswer {
    long status = 0; // 0: not reached
    std::string body;
};

HttpAnswer http_get(const std::string& url, const std::string& token, long timeout_ms);

#endif // RPCCLIENT_H_INCLUDED
