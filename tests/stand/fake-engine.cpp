// Stand-in for a model engine: OpenAI-style completions at a set token rate, a bounded prefix
// cache, fenced orders, resume and cancel, and faults that a test can inject at /control.
#include "connection/httpclient.h"
#include "connection/httpserver.h"
#include "options.h"
#include "process/clock.h"
#include "process/observe.h"
#include "version/keys.h"

#include <boost/crc.hpp>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <list>
#include <set>
#include <sstream>
#include <xxhash.h>

using namespace liftweir;

namespace {

struct Stream {
    std::shared_ptr<HttpExchange> exchange;
    std::string id;
    std::string prompt;
    unsigned next = 0;
    unsigned count = 0;
    bool streamed = false;
    bool disconnected = false;
    std::string text;
    asio::steady_timer timer;

    explicit Stream(asio::io_context& io) : timer(io) {}
};

std::chrono::microseconds millis(double ms) {
    return std::chrono::microseconds(static_cast<long>(ms * 1000));
}

void increment(Json::Value& counter) {
    counter = counter.asInt() + 1;
}

class FakeEngine {
  public:
    FakeEngine(asio::io_context& io, const StandOptions& options, const std::string& address)
        : io_(io),
          client_(make_http_client(io)),
          load_timer_(io),
          load_ms_(options.number("load-ms", 200)),
          token_ms_(options.number("token-ms", 5)),
          prefill_ms_(options.number("prefill-ms", 5)),
          cache_size_(static_cast<std::size_t>(options.number("cache", 64))),
          checks_fence_(options.number("fence", 1) != 0),
          resumes_(options.number("resumes", 1) != 0),
          store_(options.text("store", "")),
          crash_on_(options.text("end-on", "")) {
        http_ = serve_http(io, address, {},
                           [this](const std::shared_ptr<HttpExchange>& e) { handle(e); });
    }

  private:
    void handle(const std::shared_ptr<HttpExchange>& e) {
        const std::string_view path = e->path();
        if (path == "/status")
            return respond_json(*e, 200, to_text(status()));
        if (path == "/executions")
            return respond_json(*e, 200, to_text(executions_));
        if (path == "/record")
            return respond_json(*e, 200, to_text(record_));
        const Json::Value body = parse_json(e->body()).value_or(Json::Value());
        if (path == "/orders")
            return order(*e, body);
        if (path == "/cancel") {
            cancelled_.insert(body["id"].asString());
            increment(record_["cancels"]);
            return respond_json(*e, 200, "{}");
        }
        if (path == "/control") {
            control(body);
            return respond_json(*e, 200, "{}");
        }
        complete(e, body);
    }

    Json::Value status() const {
        Json::Value out;
        out["fence"] = Json::UInt64(fence_);
        out["state"] = state_;
        out["model"] = model_;
        out["version"] = version_;
        out["resumes"] = resumes_;
        out["running"] = running_;
        return out;
    }

    void control(const Json::Value& body) {
        if (body.isMember("token_ms"))
            token_ms_ = body["token_ms"].asDouble();
        if (body.isMember("prefill_ms"))
            prefill_ms_ = body["prefill_ms"].asDouble();
        if (body.isMember("stop_after"))
            stop_after_ = body["stop_after"].asUInt();
        if (body.isMember("load_ms"))
            load_ms_ = body["load_ms"].asDouble();
    }

    void order(HttpExchange& e, const Json::Value& body) {
        const auto fence = body["fence"].asUInt64();
        if (checks_fence_ && fence < fence_)
            return respond_json(e, 409, "{\"error\":\"fence\"}");
        fence_ = std::max<std::uint64_t>(fence, checks_fence_ ? fence_ : 0);
        const std::string kind = body["order"].asString();
        increment(record_["orders"][kind]);
        if (kind == "load") {
            load(body["model"].asString(), body["version"].asString());
        } else {
            if (kind == "unload")
                resident_.clear();
            state_ = "empty";
            model_.clear();
        }
        respond_json(e, 200, "{}");
    }

    void load(const std::string& model, const std::string& version) {
        const std::string name = model + "@" + version;
        model_ = model;
        version_ = version;
        const auto ready = [this, name, fence = fence_] {
            if (fence != fence_ || state_ != "loading")
                return;
            state_ = "ready";
            resident_ = name;
        };
        state_ = "loading";
        if (resident_ == name)
            return ready();
        if (!store_.empty()) {
            HttpCall call;
            call.url = store_;
            call.timeout = std::chrono::minutes(10);
            client_->start(call, {nullptr, [](std::string_view) { return true; },
                                  [ready](const Expected<int>&, bool) { ready(); }});
            return;
        }
        load_timer_.expires_after(millis(load_ms_));
        load_timer_.async_wait([ready](asio::error_code error) {
            if (!error)
                ready();
        });
    }

    // Returns the prefill time in milliseconds: a tenth of it if the prefix cache holds the prompt.
    double prefill(const std::string& prompt) {
        const std::uint64_t key =
            XXH64(prompt.data(), std::min<std::size_t>(prompt.size(), 512), 0);
        const auto known = std::find(cache_.begin(), cache_.end(), key);
        const bool hit = known != cache_.end();
        if (hit)
            cache_.erase(known);
        cache_.push_front(key);
        if (cache_.size() > cache_size_)
            cache_.pop_back();
        increment(record_[hit ? "prefix_hits" : "prefix_misses"]);
        return hit ? prefill_ms_ / 10 : prefill_ms_;
    }

    void complete(const std::shared_ptr<HttpExchange>& e, const Json::Value& body) {
        const std::string fence = e->header("X-Fence");
        if (state_ != "ready" || (checks_fence_ && fence != std::to_string(fence_)))
            return respond_json(*e, 409, "{\"error\":\"fence\"}");
        auto s = std::make_shared<Stream>(io_);
        s->exchange = e;
        s->id = e->header("X-Request-Id");
        s->prompt = body.isMember("prompt") ? body["prompt"].asString() : to_text(body["messages"]);
        if (!crash_on_.empty() && s->prompt.find(crash_on_) != std::string::npos)
            crash(s->id);
        s->count = body.get("max_tokens", 16).asUInt();
        s->streamed = body.get("stream", false).asBool();
        s->next = static_cast<unsigned>(std::atoi(e->header("X-Resume-Tokens").c_str()));
        increment(record_["started"]);
        ++running_;
        Json::Value execution;
        execution["ms"] = Json::Int64(wall_millis());
        execution["fence"] = Json::UInt64(fence_);
        executions_.append(execution);
        e->on_disconnect([s] { s->disconnected = true; });
        if (s->streamed)
            e->begin(200, {{"Content-Type", "text/event-stream"}});
        s->timer.expires_after(millis(prefill(s->prompt)));
        s->timer.async_wait([this, s](asio::error_code) { token(s); });
    }

    // Some requests crash a real engine through a fault of its own that no check can foresee.
    [[noreturn]] static void crash(const std::string& id) {
        std::cerr << "the engine crashes on request " << id << std::endl;
        std::_Exit(1);
    }

    // The text is a function of prompt and position, so that a test can verify a complete answer.
    static std::string token_text(const Stream& s) {
        boost::crc_32_type crc;
        crc.process_bytes(s.prompt.data(), s.prompt.size());
        return "w" + std::to_string((crc.checksum() + 7919ull * s.next) % 100000) + " ";
    }

    void token(const std::shared_ptr<Stream>& s) {
        if (s->disconnected || cancelled_.contains(s->id)) {
            --running_;
            increment(record_["stopped"]);
            return;
        }
        if (s->next >= s->count)
            return finish(s);
        if (stop_after_ != 0 && s->next >= stop_after_) {
            stop_after_ = 0;
            --running_;
            if (s->streamed)
                s->exchange->finish();
            return;
        }
        if (s->streamed) {
            Json::Value event;
            event["id"] = s->id;
            event["choices"][0]["text"] = token_text(*s);
            ++s->next;
            s->exchange->write("data: " + to_text(event) + "\n\n", [](bool) {});
        } else {
            s->text += token_text(*s);
            ++s->next;
        }
        s->timer.expires_after(millis(token_ms_));
        s->timer.async_wait([this, s](asio::error_code) { token(s); });
    }

    void finish(const std::shared_ptr<Stream>& s) {
        --running_;
        increment(record_["finished"]);
        if (s->streamed) {
            s->exchange->write("data: [DONE]\n\n", [](bool) {});
            s->exchange->finish();
            return;
        }
        Json::Value out;
        out["id"] = s->id;
        out["choices"][0]["text"] = s->text;
        respond_json(*s->exchange, 200, to_text(out));
    }

    asio::io_context& io_;
    std::unique_ptr<HttpClient> client_;
    asio::steady_timer load_timer_;
    double load_ms_;
    double token_ms_;
    double prefill_ms_;
    std::size_t cache_size_;
    bool checks_fence_;
    bool resumes_;
    std::string store_;
    std::string crash_on_; // the process exits on a prompt that contains this; empty: never
    unsigned stop_after_ = 0;
    std::uint64_t fence_ = 0;
    std::string state_ = "empty";
    std::string model_;
    std::string version_;
    std::string resident_; // model@version in memory, which a load order finds ready
    int running_ = 0;
    std::list<std::uint64_t> cache_;
    std::set<std::string> cancelled_;
    Json::Value executions_ = Json::arrayValue; // start time and fence of each completion
    Json::Value record_ = Json::objectValue;
    std::unique_ptr<HttpServer> http_;
};

} // namespace

int main(int argc, const char** argv) {
    asio::io_context io;
    const StandOptions options(argc, argv);
    // One engine for each address, so that benches with many hosts need one process only.
    std::vector<std::unique_ptr<FakeEngine>> engines;
    std::istringstream addresses(options.text("http", "127.0.0.1:0"));
    for (std::string address; std::getline(addresses, address, ',');)
        engines.push_back(std::make_unique<FakeEngine>(io, options, address));
    io.run();
    return 0;
}
