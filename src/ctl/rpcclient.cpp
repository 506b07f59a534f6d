// JSON-RPC calls of liftweirctl over libcurl.

#include "ctl/rpcclient.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

RpcResponse call_rpc(const std::string& url, const std::string& token, long timeout_ms,
                     const std::string& method, const Json::Value& params) {
    RpcResponse response;
    try {
        jsonrpc::HttpClient connector(url);
        connector.AddHeader("Authorization", "Bearer " + token);
        connector.SetTimeout(timeout_ms);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        response.result = client.CallMethod(method, params);
        response.kind = RpcResponse::Kind::Result;
    } catch (const jsonrpc::JsonRpcException& e) {
        const Json::Value data = e.GetData();
        const bool typed = data.isObject() && data["type"].isString();
        response.kind = typed ? RpcResponse::Kind::Error : RpcResponse::Kind::Unreachable;
        response.type = typed ? data["type"].asString() : "io";
        response.detail = typed ? data["detail"].asString() : e.what();
    }
    return response;
}
