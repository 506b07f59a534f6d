// Drives libcurl's multi interface from the Asio event loop.

#include "connection/httpclient.h"

#include "connection/headcheck.h"

#include <curl/curl.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <unordered_map>

namespace liftweir {

namespace {

// Engines and services run on the agent's own host: a connect that takes longer has failed.
constexpr long ConnectTimeoutMs = 1000;
constexpr long MaxIdleConnections = 64;

struct Transfer {
    HttpCallId id = 0;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    std::string body;
    HttpCallbacks callbacks;
    ResponseHeadsCheck heads;
    bool head_reported = false;
    bool connect_only = false;

    Transfer() = default;
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;
    ~Transfer() {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }
};

// A socket that libcurl wants to be monitored. libcurl opens and closes it.
struct WatchedSocket {
    explicit WatchedSocket(asio::io_context& io, int fd) : descriptor(io, fd) {}
    ~WatchedSocket() {
        if (descriptor.is_open())
            descriptor.release();
    }
    WatchedSocket(const WatchedSocket&) = delete;
    WatchedSocket& operator=(const WatchedSocket&) = delete;

    asio::posix::stream_descriptor descriptor;
    int poll_events = 0;
    bool reading = false;
    bool writing = false;
};

class CurlClient final : public HttpClient {
  public:
    explicit CurlClient(asio::io_context& io)
        : io_(io), timer_(io), multi_(curl_multi_init()), alive_(std::make_shared<bool>(true)) {
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlClient::on_socket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlClient::on_timer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    }

    ~CurlClient() override {
        *alive_ = false;
        for (auto& [id, transfer] : transfers_)
            curl_multi_remove_handle(multi_, transfer->easy);
        transfers_.clear();
        curl_multi_cleanup(multi_);
    }
    CurlClient(const CurlClient&) = delete;
    CurlClient& operator=(const CurlClient&) = delete;

    HttpCallId start(HttpCall call, HttpCallbacks callbacks) override {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = next_id_++;
        transfer->callbacks = std::move(callbacks);
        transfer->body = std::move(call.body);
        transfer->easy = curl_easy_init();
        configure(*transfer, call);
        const HttpCallId id = transfer->id;
        CURL* easy = transfer->easy;
        transfers_.emplace(id, std::move(transfer));
        curl_multi_add_handle(multi_, easy);
        return id;
    }

    void resume(HttpCallId id) override {
        const auto found = transfers_.find(id);
        if (found != transfers_.end())
            curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
    }

    void cancel(HttpCallId id) override {
        const auto found = transfers_.find(id);
        if (found == transfers_.end())
            return;
        curl_multi_remove_handle(multi_, found->second->easy);
        // Freed later: the transfer may be the one whose callback is running.
        asio::post(io_, [dead = std::shared_ptr<Transfer>(std::move(found->second))] {});
        transfers_.erase(found);
    }

  private:
    void configure(Transfer& t, const HttpCall& call) {
        CURL* easy = t.easy;
        curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &t);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(to_millis(call.timeout)));
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlClient::on_write);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &t);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &check_header_line);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &t.heads);
        if (call.method != "GET") {
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, t.body.data());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(t.body.size()));
        }
        if (!call.repeatable || call.connect_only)
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        t.connect_only = call.connect_only;
        curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, call.connect_only ? 1L : 0L);
        for (const auto& [name, value] : call.headers)
            t.headers =
                curl_slist_append(t.headers, std::string(name).append(": ").append(value).c_str());
        t.headers = curl_slist_append(t.headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, t.headers);
    }

    static void report_head(Transfer& t) {
        if (std::exchange(t.head_reported, true) || !t.callbacks.on_head)
            return;
        long status = 0;
        const char* type = nullptr;
        curl_easy_getinfo(t.easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(t.easy, CURLINFO_CONTENT_TYPE, &type);
        t.callbacks.on_head(static_cast<int>(status), type != nullptr ? type : "");
    }

    static std::size_t on_write(char* data, std::size_t size, std::size_t count, void* user) {
        Transfer& t = *static_cast<Transfer*>(user);
        report_head(t);
        if (!t.callbacks.on_data(std::string_view(data, size * count)))
            return CURL_WRITEFUNC_PAUSE;
        return size * count;
    }

    static int on_socket(CURL* /*easy*/, curl_socket_t fd, int what, void* user, void* /*socket*/) {
        auto& client = *static_cast<CurlClient*>(user);
        if (what == CURL_POLL_REMOVE) {
            // Released at once, not when the last shared pointer is destroyed: libcurl may close
            // the descriptor now and open a connection with the same number, and a delayed release
            // would end the monitoring of that new connection.
            const auto found = client.watched_.find(fd);
            if (found != client.watched_.end()) {
                found->second->descriptor.release();
                client.watched_.erase(found);
            }
            return 0;
        }
        auto& watched = client.watched_[fd];
        if (!watched)
            watched = std::make_shared<WatchedSocket>(client.io_, fd);
        watched->poll_events = what;
        client.wait(watched, fd);
        return 0;
    }

    void wait(const std::shared_ptr<WatchedSocket>& watched, curl_socket_t fd) {
        using Wait = asio::posix::stream_descriptor::wait_type;
        if ((watched->poll_events & CURL_POLL_IN) != 0 && !watched->reading) {
            watched->reading = true;
            wait_for(watched, fd, Wait::wait_read, CURL_CSELECT_IN);
        }
        if ((watched->poll_events & CURL_POLL_OUT) != 0 && !watched->writing) {
            watched->writing = true;
            wait_for(watched, fd, Wait::wait_write, CURL_CSELECT_OUT);
        }
    }

    void wait_for(const std::shared_ptr<WatchedSocket>& watched, curl_socket_t fd,
                  asio::posix::stream_descriptor::wait_type type, int event) {
        watched->descriptor.async_wait(type, [this, alive = alive_,
                                              weak = std::weak_ptr<WatchedSocket>(watched), fd,
                                              event](asio::error_code error) {
            const auto w = weak.lock();
            if (!*alive || !w || error == asio::error::operation_aborted)
                return;
            (event == CURL_CSELECT_IN ? w->reading : w->writing) = false;
            if ((w->poll_events & event) != 0)
                perform(fd, error ? CURL_CSELECT_ERR : event);
            const auto still = watched_.find(fd);
            if (still != watched_.end() && still->second == w)
                wait(w, fd);
        });
    }

    static int on_timer(CURLM* /*multi*/, long timeout_ms, void* user) {
        auto& client = *static_cast<CurlClient*>(user);
        client.timer_.cancel();
        if (timeout_ms < 0)
            return 0;
        client.timer_.expires_after(std::chrono::milliseconds(timeout_ms));
        client.timer_.async_wait([&client, alive = client.alive_](asio::error_code error) {
            if (!error && *alive)
                client.perform(CURL_SOCKET_TIMEOUT, 0);
        });
        return 0;
    }

    void perform(curl_socket_t fd, int events) {
        int running = 0;
        curl_multi_socket_action(multi_, fd, events, &running);
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &left))
            if (message->msg == CURLMSG_DONE)
                on_finished(message->easy_handle, message->data.result);
    }

    void on_finished(CURL* easy, CURLcode result) {
        char* user = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
        const HttpCallId id = reinterpret_cast<Transfer*>(user)->id;
        const auto found = transfers_.find(id);
        assert(found != transfers_.end());
        const std::unique_ptr<Transfer> transfer = std::move(found->second);
        transfers_.erase(found);
        curl_multi_remove_handle(multi_, easy);
        // The request counts as sent once a connection was open: a reused connection that fails
        // before the first byte can not be told from one that fails after it. A refused connection
        // alone proves nothing: libcurl may have sent the request on a reused connection before,
        // and the number of bytes sent covers both.
        long bytes_sent = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes_sent);
        const bool sent = result != CURLE_COULDNT_CONNECT || bytes_sent > 0;
        if (transfer->connect_only) {
            long cause = 0;
            curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &cause);
            const bool refused = result == CURLE_COULDNT_CONNECT && cause == ECONNREFUSED;
            const FailureKind kind = refused ? FailureKind::NoEndpoint : FailureKind::Io;
            if (result != CURLE_OK)
                transfer->callbacks.on_done(fail(kind, curl_easy_strerror(result)), false);
            else
                transfer->callbacks.on_done(0, false);
            return;
        }
        if (result != CURLE_OK) {
            transfer->callbacks.on_done(fail(result == CURLE_OPERATION_TIMEDOUT
                                                 ? FailureKind::DeadlineTooNear
                                                 : FailureKind::EndpointFailed,
                                             curl_easy_strerror(result)),
                                        sent);
            return;
        }
        report_head(*transfer);
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        transfer->callbacks.on_done(static_cast<int>(status), true);
    }

    asio::io_context& io_;
    asio::steady_timer timer_;
    CURLM* multi_;
    std::shared_ptr<bool> alive_;
    HttpCallId next_id_ = 1;
    std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> transfers_;
    std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> watched_;
};

} // namespace

std::unique_ptr<HttpClient> make_http_client(asio::io_context& io) {
    return std::make_unique<CurlClient>(io);
}

} // namespace liftweir
