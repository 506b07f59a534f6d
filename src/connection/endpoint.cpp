// Model engines and plain services on the agent's own host, driven over HTTP.

#include "connection/endpoint.h"

#include "version/keys.h"

#include <algorithm>
#include <deque>

namespace liftweir {

namespace {

constexpr Duration OrderTimeout = std::chrono::seconds(5);
// Health check: if the endpoint does not reply within this time, nothing is concluded.
constexpr Duration ProbeTimeout = std::chrono::seconds(1);
constexpr Duration StatusPoll = std::chrono::milliseconds(100);
// Replies to orders and status calls are short. A longer one is read no further, and its call fails
// at the timeout.
constexpr std::size_t MaxReplyBytes = 64u << 10;
constexpr std::string_view FenceHeader = "X-Fence";

// What an engine reports about itself at GET /status.
struct EngineStatus {
    bool valid = false;
    Epoch fence = NoEpoch;
    std::string state; // empty, loading, ready
    std::string model;
    std::string version;
    bool resumes = false;
};

EngineStatus parse_status(const std::string& text) {
    const auto json = parse_json(text);
    if (!json || !json->isObject())
        return {};
    const Json::Value& j = *json;
    if (!j["fence"].isUInt64() || !j["state"].isString())
        return {};
    return {true,
            j["fence"].asUInt64(),
            j["state"].asString(),
            j["model"].isString() ? j["model"].asString() : "",
            j["version"].isString() ? j["version"].asString() : "",
            j["resumes"].isBool() && j["resumes"].asBool()};
}

// Calls over libcurl, which both kinds of endpoint share.
class HttpEndpoint : public Endpoint {
  public:
    HttpEndpoint(asio::io_context& io, std::string url)
        : io_(io), url_(std::move(url)), client_(make_http_client(io)) {}

    void resume(HttpCallId call) override { client_->resume(call); }

  protected:
    using ResponseHandler = std::function<void(Expected<int>, const std::string& body)>;

    void send_call(HttpCall call, ResponseHandler done, Duration timeout = OrderTimeout) {
        const auto body = std::make_shared<std::string>();
        call.timeout = timeout;
        client_->start(std::move(call), {nullptr,
                                         [body](std::string_view bytes) {
                                             if (body->size() + bytes.size() > MaxReplyBytes)
                                                 return false;
                                             body->append(bytes);
                                             return true;
                                         },
                                         [body, done](Expected<int> status, bool) {
                                             done(std::move(status), *body);
                                         }});
    }

    HttpCallId forward(const Attempt& attempt, std::string path,
                       std::vector<std::pair<std::string, std::string>> headers,
                       EndpointCallbacks callbacks) {
        HttpCall call;
        call.method = attempt.method;
        call.url = url_ + std::move(path);
        call.headers = std::move(headers);
        if (!attempt.content_type.empty())
            call.headers.emplace_back("Content-Type", attempt.content_type);
        call.headers.emplace_back("X-Request-Id", to_text(attempt.id));
        call.body = attempt.body;
        call.timeout = std::chrono::milliseconds(attempt.deadline_ms);
        call.repeatable = attempt.repeatable;
        return client_->start(std::move(call),
                              {std::move(callbacks.on_head), std::move(callbacks.on_data),
                               std::move(callbacks.on_done)});
    }

    // On the same host, a refused connection means that no process listens: with a full backlog
    // the attempt would wait instead.
    void probe_connection(std::function<void(EndpointHealth)> done) {
        HttpCall call;
        call.url = url_;
        call.connect_only = true;
        call.timeout = ProbeTimeout;
        client_->start(std::move(call), {nullptr, [](std::string_view) { return true; },
                                         [done](const Expected<int>& connected, bool) {
                                             if (connected)
                                                 return done(EndpointHealth::Serving);
                                             done(connected.error().kind == FailureKind::NoEndpoint
                                                      ? EndpointHealth::Ended
                                                      : EndpointHealth::Unknown);
                                         }});
    }

    void run_after(Duration delay, std::function<void()> run) {
        const auto timer = std::make_shared<asio::steady_timer>(io_, delay);
        timer->async_wait([timer, run = std::move(run)](asio::error_code error) {
            if (!error)
                run();
        });
    }

    asio::io_context& io_;
    std::string url_;
    std::unique_ptr<HttpClient> client_;
};

class Engine final : public HttpEndpoint {
  public:
    Engine(asio::io_context& io, std::string url, bool checks_fence)
        : HttpEndpoint(io, std::move(url)), checks_fence_(checks_fence) {}

    // An order of the previous agent process may still be running: polls the status until it is
    // over, then unloads the engine under the fence that it reports.
    void reset(std::function<void(bool)> done) override {
        status([this, done](const EngineStatus& s) {
            if (!s.valid)
                return done(false);
            if (s.state == "loading")
                return run_after(StatusPoll, [this, done] { reset(done); });
            order("unload", s.fence, {}, false, done);
        });
    }

    void load(const Assignment& assignment, bool lead, std::function<void(bool)> done) override {
        assigned_epoch_ = assignment.epoch;
        order("load", assignment.epoch, assignment, lead, [this, assignment, done](bool ok) {
            if (!ok)
                return done(false);
            await_load(assignment, done);
        });
    }

    void release(Epoch epoch, std::function<void(bool)> done) override {
        assigned_epoch_ = NoEpoch;
        order("release", epoch, {}, false, std::move(done));
    }

    HttpCallId start(const Attempt& attempt, EndpointCallbacks callbacks) override {
        std::vector<std::pair<std::string, std::string>> headers;
        headers.emplace_back(FenceHeader, std::to_string(attempt.epoch));
        if (attempt.resume_tokens > 0)
            headers.emplace_back("X-Resume-Tokens", std::to_string(attempt.resume_tokens));
        // A refusal by the fence means that the engine did not run the attempt, so it is not
        // passed to the caller as a response.
        constexpr int FenceRefused = 409;
        const auto refused = std::make_shared<bool>(false);
        callbacks.on_head = [refused, head = callbacks.on_head](int status,
                                                                const std::string& type) {
            *refused = status == FenceRefused;
            if (!*refused)
                head(status, type);
        };
        callbacks.on_data = [refused, data = callbacks.on_data](std::string_view bytes) {
            return *refused || data(bytes);
        };
        callbacks.on_done = [done = callbacks.on_done](Expected<int> status, bool sent) {
            if (status && *status == FenceRefused)
                done(fail(FailureKind::NoEndpoint, "the engine holds another epoch"), false);
            else
                done(std::move(status), sent);
        };
        return forward(attempt, attempt.path, std::move(headers), std::move(callbacks));
    }

    void cancel(HttpCallId call, const AttemptId& attempt) override {
        client_->cancel(call);
        HttpCall request;
        request.method = "POST";
        request.url = url_ + "/cancel";
        request.headers = {{"Content-Type", "application/json"}};
        Json::Value body;
        body["id"] = to_text(attempt);
        request.body = to_text(body);
        send_call(std::move(request), [](const Expected<int>&, const std::string&) {});
    }

    // A restarted engine is recognised by an older fence or by having no model loaded.
    void probe(Epoch epoch, std::function<void(EndpointHealth)> done) override {
        probe_connection([this, epoch, done](EndpointHealth health) {
            if (health != EndpointHealth::Serving)
                return done(health);
            status(
                [this, epoch, done](const EngineStatus& s) {
                    const bool other = checks_fence_ && s.fence < epoch;
                    if (!s.valid)
                        return done(EndpointHealth::Unknown);
                    done(other || s.state == "empty" ? EndpointHealth::Ended
                                                     : EndpointHealth::Serving);
                },
                ProbeTimeout);
        });
    }

    bool can_resume_streams() const override { return can_resume_; }

  private:
    void status(std::function<void(const EngineStatus&)> done, Duration timeout = OrderTimeout) {
        HttpCall call;
        call.url = url_ + "/status";
        send_call(
            std::move(call),
            [this, done](const Expected<int>& code, const std::string& body) {
                constexpr int Ok = 200;
                const EngineStatus s = code && *code == Ok ? parse_status(body) : EngineStatus{};
                can_resume_ = s.valid ? s.resumes : can_resume_;
                done(s);
            },
            timeout);
    }

    void order(const std::string& kind, Epoch fence, const Assignment& assignment, bool lead,
               std::function<void(bool)> done) {
        Json::Value body;
        body["order"] = kind;
        body["fence"] = Json::UInt64(fence);
        if (kind == "load") {
            body["model"] = assignment.model.model;
            body["version"] = assignment.model.version;
            body["adapters"] = Json::arrayValue;
            for (const std::string& adapter : assignment.model.adapters)
                body["adapters"].append(adapter);
            body["role"] = lead ? "lead" : "member";
            body["group_size"] = Json::UInt64(assignment.members.size());
        }
        HttpCall call;
        call.method = "POST";
        call.url = url_ + "/orders";
        call.headers = {{"Content-Type", "application/json"}};
        call.body = to_text(body);
        orders_.emplace_back(std::move(call), std::move(done));
        if (orders_.size() == 1)
            send_next_order();
    }

    // Sends one order at a time: two orders on two connections could arrive in either sequence,
    // and an engine that does not check fences would obey both.
    void send_next_order() {
        send_call(orders_.front().first, [this](const Expected<int>& code, const std::string&) {
            constexpr int FirstFailureStatus = 300;
            const auto done = std::move(orders_.front().second);
            orders_.pop_front();
            if (!orders_.empty())
                send_next_order();
            done(code && *code < FirstFailureStatus);
        });
    }

    // Polls until the engine reports the ordered model as ready: an engine that does not check
    // fences may still be carrying out an older order.
    void await_load(const Assignment& assignment, std::function<void(bool)> done) {
        status([this, assignment, done](const EngineStatus& s) {
            if (assigned_epoch_ != assignment.epoch)
                return;
            const bool same = s.model == assignment.model.model &&
                              s.version == assignment.model.version &&
                              (!checks_fence_ || s.fence == assignment.epoch);
            if (s.valid && s.state == "ready" && same)
                return done(true);
            if (s.valid && s.state == "empty")
                return done(false);
            run_after(StatusPoll, [this, assignment, done] { await_load(assignment, done); });
        });
    }

    std::deque<std::pair<HttpCall, std::function<void(bool)>>> orders_;
    bool checks_fence_;
    bool can_resume_ = false;
    Epoch assigned_epoch_ = NoEpoch;
};

class PlainService final : public HttpEndpoint {
  public:
    using HttpEndpoint::HttpEndpoint;

    void reset(std::function<void(bool)> done) override { done(true); }
    void load(const Assignment&, bool, std::function<void(bool)> done) override { done(false); }
    void release(Epoch, std::function<void(bool)> done) override { done(true); }
    HttpCallId start(const Attempt& attempt, EndpointCallbacks callbacks) override {
        return forward(attempt, attempt.path, {}, std::move(callbacks));
    }
    void cancel(HttpCallId call, const AttemptId&) override { client_->cancel(call); }
    void probe(Epoch, std::function<void(EndpointHealth)> done) override {
        probe_connection(std::move(done));
    }
    bool can_resume_streams() const override { return false; }
};

} // namespace

std::string to_text(const AttemptId& id) {
    return std::to_string(id.entry) + "-" + std::to_string(id.sequence) + "-" +
           std::to_string(id.attempt);
}

std::unique_ptr<Endpoint> make_engine(asio::io_context& io, std::string url, bool checks_fence) {
    return std::make_unique<Engine>(io, std::move(url), checks_fence);
}

std::unique_ptr<Endpoint> make_service(asio::io_context& io, std::string url) {
    return std::make_unique<PlainService>(io, std::move(url));
}

} // namespace liftweir
