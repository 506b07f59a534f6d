// Accepts connections, applies time limits and connects them with the request handler.

#include "connection/httpserver.h"

#include "connection/link.h"
#include "connection/serverconnection.h"

#include <algorithm>
#include <iterator>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace liftweir {

namespace {

// One timer checks the time limits of all connections: a timer for each connection would cost a
// wake-up for every request.
constexpr Duration SweepInterval = std::chrono::milliseconds(250);
constexpr int ListenBacklog = 512;
// At the limit of connections, this part of them is closed at once: looking for those to close
// takes a pass over all connections.
constexpr std::size_t PartClosedAtLimit = 16;
// Size of the kernel's receive buffer of a connection. By itself the kernel lets it grow to several
// megabytes for a caller whose bytes are not read.
constexpr int ReceiveBufferBytes = 64 << 10;
// Without free descriptors a waiting connection can not be accepted, and trying again at once would
// take all processor time.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(20);

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Whether descriptors or memory are used up.
bool is_shortage(const asio::error_code& error) {
    return error == asio::error::no_descriptors || error == asio::error::no_memory ||
           error == asio::error::no_buffer_space ||
           error == std::errc::too_many_files_open_in_system;
}

// One request on a connection and its response.
class Exchange final : public HttpExchange {
  public:
    Exchange(ConnectionPtr connection, RequestMessage message)
        : connection_(std::move(connection)),
          message_(std::move(message)),
          received_(BootClock::now()) {}
    ~Exchange() override {
        // Destroyed without a response: the close tells the caller not to wait for one.
        if (!done_)
            connection_->close();
    }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    std::string_view method() const override { return message_.method; }
    std::string_view target() const override { return message_.target; }
    const HttpHeaders& headers() const override { return message_.headers; }
    std::string_view body() const override {
        return message_.body ? std::string_view(message_.body->bytes()) : std::string_view{};
    }
    // The body stays counted among the server's requests until its last owner is gone.
    SharedBytes shared_body() const override {
        return message_.body ? SharedBytes(message_.body, &message_.body->bytes()) : nullptr;
    }
    Time received() const override { return received_; }
    bool on_reused_connection() const override { return message_.on_reused_connection; }
    ConnectionId connection() const override { return connection_->id(); }
    void set_label(std::string label) override { connection_->set_label(std::move(label)); }

    void respond(int status, const HttpHeaders& headers, std::string body) override {
        if (std::exchange(done_, true))
            return;
        connection_->send_head(status, headers, body.size());
        if (!body.empty() && message_.method != "HEAD")
            connection_->send(std::move(body), nullptr);
        connection_->answered();
    }
    void begin(int status, const HttpHeaders& headers) override {
        connection_->send_head(status, headers, std::nullopt);
    }
    void write(std::string bytes, std::function<void(bool)> on_written) override {
        connection_->send_chunk(std::move(bytes), std::move(on_written));
    }
    void finish() override {
        if (std::exchange(done_, true))
            return;
        connection_->end_body();
        connection_->answered();
    }
    void abort() override {
        done_ = true;
        connection_->close();
    }
    std::optional<Time> disconnected_at() const override { return connection_->disconnected_at(); }
    void on_disconnect(std::function<void()> callback) override {
        connection_->set_on_disconnect(std::move(callback));
    }

  private:
    ConnectionPtr connection_;
    RequestMessage message_;
    Time received_;
    bool done_ = false;
};

// Accepts connections and checks their time limits. Pending handlers of the event loop hold a
// reference to it, so it may outlive the server.
class Listener : public std::enable_shared_from_this<Listener> {
  public:
    Listener(std::shared_ptr<ServerCore> core, const std::string& address, AddressUse use)
        : core_(std::move(core)),
          acceptor_(core_->io),
          sweeper_(core_->io),
          accept_retry_(core_->io) {
        const auto endpoint = parse_address(address).value();
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        // Set only on request: otherwise another process that is given the same address by mistake
        // would silently receive part of the connections.
        if (use == AddressUse::Shared)
            acceptor_.set_option(ReusePort(true));
        // Accepted connections inherit it.
        asio::error_code ignored;
        acceptor_.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
        acceptor_.bind(endpoint);
        acceptor_.listen(ListenBacklog);
    }

    void start() {
        accept();
        sweep_later();
    }
    void stop_accepting() {
        asio::error_code ignored;
        acceptor_.close(ignored);
    }
    void end() {
        stop_accepting();
        sweeper_.cancel();
        accept_retry_.cancel();
        for (const ConnectionPtr& connection : ServerConnections(core_->connections))
            connection->close();
    }

  private:
    void accept() {
        acceptor_.async_accept(
            [self = shared_from_this()](asio::error_code error, asio::ip::tcp::socket socket) {
                if (error == asio::error::operation_aborted || !self->acceptor_.is_open())
                    return;
                if (is_shortage(error)) {
                    self->accept_later();
                    return;
                }
                if (!error)
                    self->add_connection(std::move(socket));
                self->accept();
            });
    }
    void accept_later() {
        make_room();
        accept_retry_.expires_after(AcceptRetryDelay);
        accept_retry_.async_wait([self = shared_from_this()](asio::error_code error) {
            if (!error && self->acceptor_.is_open())
                self->accept();
        });
    }
    // Closes a new connection at once if there are too many that are in use, so that its caller
    // tries another host.
    void add_connection(asio::ip::tcp::socket socket) {
        if (core_->connections.size() >= core_->limits.connections && !make_room())
            return;
        const auto connection = std::make_shared<ServerConnection>(std::move(socket), core_);
        core_->connections.insert(connection);
        connection->start();
    }
    // Closes idle connections, or else some whose callers have stalled. False if there are none.
    bool make_room() {
        return close_earliest(&ServerConnection::idle) > 0 ||
               close_earliest(&ServerConnection::stalled) > 0;
    }
    // Closes some connections of a kind: those whose callers have sent nothing for longest. Returns
    // how many. They are freed in a later turn of the loop.
    std::size_t close_earliest(bool (ServerConnection::*is_of_kind)() const) {
        std::vector<ConnectionPtr> found;
        std::copy_if(
            core_->connections.begin(), core_->connections.end(), std::back_inserter(found),
            [&](const ConnectionPtr& connection) { return (connection.get()->*is_of_kind)(); });
        const std::size_t count =
            std::min(found.size(), core_->connections.size() / PartClosedAtLimit + 1);
        const auto end = found.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(found.begin(), end, found.end(),
                          [](const ConnectionPtr& a, const ConnectionPtr& b) {
                              return a->sent_last() < b->sent_last();
                          });
        std::for_each(found.begin(), end,
                      [](const ConnectionPtr& connection) { connection->close(); });
        core_->closed_for_others += count;
        return count;
    }
    void sweep_later() {
        sweeper_.expires_after(SweepInterval);
        sweeper_.async_wait([self = shared_from_this()](asio::error_code error) {
            if (error)
                return;
            const Time now = BootClock::now();
            for (const ConnectionPtr& connection : ServerConnections(self->core_->connections))
                connection->sweep(now);
            self->sweep_later();
        });
    }

    std::shared_ptr<ServerCore> core_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer sweeper_;
    asio::steady_timer accept_retry_;
};

class AsioServer final : public HttpServer {
  public:
    AsioServer(asio::io_context& io, const std::string& address, const HttpServerLimits& limits,
               HttpHandler handler, AddressUse use, RequestScreen* screen)
        : core_(std::make_shared<ServerCore>(
              ServerCore{io, limits,
                         [handler = std::move(handler)](const ConnectionPtr& connection,
                                                        RequestMessage&& message) {
                             handler(std::make_shared<Exchange>(connection, std::move(message)));
                         },
                         std::make_shared<MemoryBudget>(limits.request_bytes), screen})),
          listener_(std::make_shared<Listener>(core_, address, use)) {
        listener_->start();
    }
    // Does not free the shared ServerCore: pending handlers of the event loop still access it.
    ~AsioServer() override {
        core_->screen = nullptr;
        listener_->end();
    }
    AsioServer(const AsioServer&) = delete;
    AsioServer& operator=(const AsioServer&) = delete;

    void stop_accepting() override { listener_->stop_accepting(); }
    void close_after_answers() override { core_->closing = true; }
    void close_idle() override {
        for (const ConnectionPtr& connection : ServerConnections(core_->connections))
            if (connection->idle())
                connection->close();
    }
    std::size_t busy() const override {
        return static_cast<std::size_t>(
            std::count_if(core_->connections.begin(), core_->connections.end(),
                          [](const ConnectionPtr& connection) { return connection->busy(); }));
    }
    void set_limits(const HttpServerLimits& limits) override {
        core_->limits = limits;
        core_->requests->set_limit(limits.request_bytes);
    }
    std::size_t connections() const override { return core_->connections.size(); }
    std::size_t held_bytes() const override { return core_->held_bytes; }
    std::size_t request_bytes() const override { return core_->requests->held(); }
    std::uint64_t refused_for_memory() const override { return core_->refused_for_memory; }
    std::uint64_t closed_for_others() const override { return core_->closed_for_others; }
    std::vector<HeldResponse> held_responses() const override {
        std::vector<HeldResponse> out;
        for (const ConnectionPtr& connection : core_->connections)
            if (const HeldResponse held = connection->held(); held.bytes > 0)
                out.push_back(held);
        return out;
    }
    std::string reset(ConnectionId id) override {
        for (const ConnectionPtr& connection : core_->connections)
            if (connection->id() == id) {
                connection->reset();
                return connection->label();
            }
        return {};
    }

  private:
    std::shared_ptr<ServerCore> core_;
    std::shared_ptr<Listener> listener_;
};

} // namespace

std::string_view RequestView::query() const {
    const auto mark = target().find('?');
    return mark == std::string_view::npos ? std::string_view{} : target().substr(mark + 1);
}

std::unique_ptr<HttpServer> serve_http(asio::io_context& io, const std::string& address,
                                       const HttpServerLimits& limits, HttpHandler handler,
                                       AddressUse use, RequestScreen* screen) {
    return std::make_unique<AsioServer>(io, address, limits, std::move(handler), use, screen);
}

} // namespace liftweir
