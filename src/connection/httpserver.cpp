#include "connection/httpserver.h"

#include "connection/link.h"

#include <restinio/all.hpp>

#include <sys/socket.h>
#include <unordered_map>

namespace liftweir {

namespace {

// Longest time that a stream may run. Deadlines of requests are far below it.
constexpr auto HandleTimeout = std::chrono::hours(2);
// A caller that takes no byte for so long is given up; its buffer was bounded before.
constexpr auto WriteTimeout = std::chrono::seconds(60);
// A half-open connection or a slow writer of a request costs a connection for so long.
constexpr auto ReadTimeout = std::chrono::seconds(30);
// Reading goes on behind a running request, so that a caller that hangs up is noticed.
constexpr std::size_t PipelinedRequests = 2;

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Tells an exchange that its connection is gone.
class Connections {
  public:
    void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
        using restinio::connection_state::closed_t;
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause()))
            ++open_;
        if (!restinio::holds_alternative<closed_t>(notice.cause()))
            return;
        --open_;
        const auto found = gone_.find(notice.connection_id());
        if (found == gone_.end())
            return;
        const auto gone = std::move(found->second.second);
        gone_.erase(found);
        gone();
    }

    void watch(restinio::connection_id_t id, const void* owner, std::function<void()> gone) {
        gone_[id] = {owner, std::move(gone)};
    }
    // The next request of the connection may watch it already: only the owner forgets.
    void forget(restinio::connection_id_t id, const void* owner) {
        const auto found = gone_.find(id);
        if (found != gone_.end() && found->second.first == owner)
            gone_.erase(found);
    }
    std::size_t open() const { return open_; }

  private:
    using Watch = std::pair<const void*, std::function<void()>>;
    std::unordered_map<restinio::connection_id_t, Watch> gone_;
    std::size_t open_ = 0;
};

struct Traits : public restinio::default_single_thread_traits_t {
    using connection_state_listener_t = Connections;
    static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<Traits>;
using Chunked = restinio::response_builder_t<restinio::chunked_output_t>;

class Exchange final : public HttpExchange {
  public:
    Exchange(restinio::request_handle_t request, std::shared_ptr<Connections> connections)
        : request_(std::move(request)),
          connections_(std::move(connections)),
          method_(request_->header().method().c_str()) {}

    ~Exchange() override { connections_->forget(request_->connection_id(), this); }

    std::string_view method() const override { return method_; }
    std::string_view path() const override {
        const auto path = request_->header().path();
        return {path.data(), path.size()};
    }
    std::string_view query() const override {
        const auto query = request_->header().query();
        return {query.data(), query.size()};
    }
    std::string_view body() const override { return request_->body(); }
    std::string header(std::string_view name) const override {
        return request_->header().get_field_or(restinio::string_view_t(name.data(), name.size()),
                                               std::string());
    }

    void respond(int status, const std::vector<HttpHeader>& headers, std::string body) override {
        connections_->forget(request_->connection_id(), this);
        auto response = request_->create_response(status_line(status));
        for (const auto& [name, value] : headers)
            response.append_header(name, value);
        response.set_body(std::move(body)).done();
    }

    void begin(int status, const std::vector<HttpHeader>& headers) override {
        chunked_.emplace(
            request_->create_response<restinio::chunked_output_t>(status_line(status)));
        for (const auto& [name, value] : headers)
            chunked_->append_header(name, value);
        chunked_->flush();
    }

    void write(std::string bytes, std::function<void(bool)> on_written) override {
        chunked_->append_chunk(std::move(bytes));
        chunked_->flush([on_written](const asio::error_code& error) { on_written(!error); });
    }

    void finish() override {
        connections_->forget(request_->connection_id(), this);
        chunked_->done();
        chunked_.reset();
    }

    void on_gone(std::function<void()> gone) override {
        connections_->watch(request_->connection_id(), this, std::move(gone));
    }

  private:
    static restinio::http_status_line_t status_line(int status) {
        const auto code = restinio::http_status_code_t(static_cast<std::uint16_t>(status));
        return {code, status < 400 ? "OK" : "Error"};
    }

    restinio::request_handle_t request_;
    std::shared_ptr<Connections> connections_;
    std::string method_;
    std::optional<Chunked> chunked_;
};

class RestServer final : public HttpServer {
  public:
    RestServer(asio::io_context& io, const std::string& address, const HttpServerLimits& limits,
               HttpHandler handler)
        : connections_(std::make_shared<Connections>()),
          server_(restinio::external_io_context(io),
                  settings(address, limits, std::move(handler))) {
        server_.open_sync();
    }

    void stop_accepting() override {
        server_.close_async([] {}, [](std::exception_ptr) {});
    }
    std::size_t connections() const override { return connections_->open(); }

  private:
    restinio::server_settings_t<Traits>
    settings(const std::string& address, const HttpServerLimits& limits, HttpHandler handler) {
        const auto endpoint = parse_address(address).value();
        restinio::server_settings_t<Traits> s;
        s.protocol(endpoint.protocol())
            .port(endpoint.port())
            .address(endpoint.address())
            .acceptor_options_setter([](restinio::acceptor_options_t& options) {
                options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
                options.set_option(ReusePort(true));
            })
            .socket_options_setter([](restinio::socket_options_t& options) {
                options.set_option(asio::ip::tcp::no_delay(true));
            })
            .buffer_size(8192)
            .max_pipelined_requests(PipelinedRequests)
            .concurrent_accepts_count(4)
            .max_parallel_connections(limits.connections)
            .read_next_http_message_timelimit(ReadTimeout)
            .write_http_response_timelimit(WriteTimeout)
            .handle_request_timeout(HandleTimeout)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                          .max_url_size(8192)
                                          .max_field_name_size(512)
                                          .max_field_value_size(limits.header_bytes)
                                          .max_field_count(128)
                                          .max_body_size(limits.body_bytes))
            .connection_state_listener(connections_)
            .request_handler([connections = connections_,
                              handler = std::move(handler)](restinio::request_handle_t request) {
                handler(std::make_shared<Exchange>(std::move(request), connections));
                return restinio::request_accepted();
            });
        return s;
    }

    std::shared_ptr<Connections> connections_;
    Server server_;
};

} // namespace

std::unique_ptr<HttpServer> serve_http(asio::io_context& io, const std::string& address,
                                       const HttpServerLimits& limits, HttpHandler handler) {
    return std::make_unique<RestServer>(io, address, limits, std::move(handler));
}

} // namespace liftweir
