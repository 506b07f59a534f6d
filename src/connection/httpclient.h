// HTTP client over libcurl, for calls from an agent to the endpoint on its own host.

#ifndef HTTPCLIENT_H_INCLUDED
#define HTTPCLIENT_H_INCLUDED

#include "process/clock.h"
#include "process/failure.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace liftweir {

struct HttpCall {
    std::string method = "GET";
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(10);
    // libcurl silently repeats a request if the reused connection is closed before the first byte
    // of the response. A request that must not be repeated therefore uses a new connection.
    bool repeatable = true;
    // Only checks whether a process listens; nothing is sent. Yields status 0 if the connection was
    // accepted, NoEndpoint if it was refused, and Io if neither is known.
    bool connect_only = false;
};

struct HttpCallbacks {
    std::function<void(int status, const std::string& content_type)> on_head;
    // Returns false to pause the transfer until resume().
    std::function<bool(std::string_view bytes)> on_data;
    // Status of a complete response, or the failure. `sent` is true if any byte of the request may
    // have been sent.
    std::function<void(Expected<int> status, bool sent)> on_done;
};

using HttpCallId = std::uint64_t;

// libcurl's multi interface on one io_context thread.
class HttpClient {
  public:
    virtual ~HttpClient() = default;
    virtual HttpCallId start(HttpCall call, HttpCallbacks callbacks) = 0;
    virtual void resume(HttpCallId id) = 0;
    // Closes the connection; on_done is not called.
    virtual void cancel(HttpCallId id) = 0;
};

std::unique_ptr<HttpClient> make_http_client(asio::io_context& io);

} // namespace liftweir

#endif // HTTPCLIENT_H_INCLUDED
