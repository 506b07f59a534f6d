#ifndef HTTPSERVER_H_INCLUDED
#define HTTPSERVER_H_INCLUDED

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace liftweir {

using HttpHeader = std::pair<std::string, std::string>;

// One request and the way to answer it. All calls on the server's io_context thread.
class HttpExchange {
  public:
    virtual ~HttpExchange() = default;

    virtual std::string_view method() const = 0;
    virtual std::string_view path() const = 0;
    virtual std::string_view query() const = 0;
    virtual std::string_view body() const = 0;
    // Empty where the header is missing.
    virtual std::string header(std::string_view name) const = 0;

    // Whole answer at once.
    virtual void respond(int status, const std::vector<HttpHeader>& headers, std::string body) = 0;
    // Streamed answer. `on_written` is told when the bytes are with the kernel, or that the
    // connection is gone.
    virtual void begin(int status, const std::vector<HttpHeader>& headers) = 0;
    virtual void write(std::string bytes, std::function<void(bool)> on_written) = 0;
    virtual void finish() = 0;
    // Told once, when the caller's connection is gone.
    virtual void on_gone(std::function<void()> gone) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

struct HttpServerLimits {
    std::size_t body_bytes = 16u << 20;
    std::size_t header_bytes = 16u << 10;
    std::size_t connections = 16384;
};

// HTTP/1.1 server on one io_context. Several servers on one address, each with its own thread,
// share the load through SO_REUSEPORT.
class HttpServer {
  public:
    virtual ~HttpServer() = default;
    virtual void stop_accepting() = 0;
    virtual std::size_t connections() const = 0;
};

std::unique_ptr<HttpServer> serve_http(asio::io_context& io, const std::string& address,
                                       const HttpServerLimits& limits, HttpHandler handler);

} // namespace liftweir

#endif // HTTPSERVER_H_INCLUDED
