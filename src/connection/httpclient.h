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
    // libcurl silently repeats a request whose reused connection dies before the first byte of
    // the answer. What may not be repeated therefore gets a connection of its own.
    bool repeatable = true;
    // Asks only whether somebody listens; nothing is sent. Answered with status 0, with NoEndpoint
    // where the connection was refused, and with Io where that is not known.
    bool connect_only = false;
};

struct HttpCallbacks {
    std::function<void(int status, const std::string& content_type)> on_head;
    // Answers false to pause the transfer until resume().
    std::function<bool(std::string_view bytes)> on_data;
    // Status of a whole answer, or the failure. `sent` tells whether any byte of the request
    // may have left.
    std::function<void(Expected<int> status, bool sent)> on_done;
};

using HttpCallId = std::uint64_t;

// libcurl's multi interface on one io_context thread.
class HttpClient {
  public:
    virtual ~HttpClient() = default;
    virtual HttpCallId start(HttpCall call, HttpCallbacks callbacks) = 0;
    virtual void resume(HttpCallId id) = 0;
    // Closes the connection; on_done is not told.
    virtual void cancel(HttpCallId id) = 0;
};

std::unique_ptr<HttpClient> make_http_client(asio::io_context& io);

} // namespace liftweir

#endif // HTTPCLIENT_H_INCLUDED
