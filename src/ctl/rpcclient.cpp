// HTTP and JSON-RPC calls of liftweirctl over libcurl.

#include "ctl/rpcclient.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

#include <curl/curl.h>

namespace {

std::size_t append(char* data, std::size_t size, std::size_t count, void* user) {
    static_cast<std::string*>(user)->append(data, size * count);
    return size * count;
}

} // namespace

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

HttpGetResponse http_get(const std::string& url, const std::string& token, long timeout_ms) {
    HttpGetResponse response;
    CURL* easy = curl_easy_init();
    const std::string authorization = "Authorization: Bearer " + token;
    curl_slist* headers = curl_slist_append(nullptr, authorization.c_str());
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &append);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response.body);
    if (curl_easy_perform(easy) == CURLE_OK)
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response.status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    return response;
}
