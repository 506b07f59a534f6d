// Stand-in for a plain service with side effects: counts how often each call id was executed.
// Paths: /save runs and responds, /slow responds after a long delay, /vanish runs and never
// responds.
#include "connection/httpserver.h"
#include "options.h"
#include "process/observe.h"
#include "version/keys.h"

using namespace liftweir;

int main(int argc, const char** argv) {
    asio::io_context io;
    const StandOptions options(argc, argv);
    const auto delay = std::chrono::milliseconds(static_cast<int>(options.number("delay-ms", 2)));
    const auto slow = std::chrono::milliseconds(static_cast<int>(options.number("slow-ms", 3000)));
    Json::Value counts(Json::objectValue);
    std::vector<std::shared_ptr<HttpExchange>> unanswered; // kept open without a response
    const auto handler = [&](const std::shared_ptr<HttpExchange>& e) {
        if (e->path() == "/counts")
            return respond_json(*e, 200, to_text(counts));
        const Json::Value body = parse_json(e->body()).value_or(Json::Value());
        const std::string id = body["id"].isString() ? body["id"].asString() : "none";
        counts[id] = counts.get(id, 0).asInt() + 1;
        Json::Value out;
        out["saved"] = id;
        out["execution"] = counts[id];
        if (e->path() == "/vanish") {
            unanswered.push_back(e);
            return;
        }
        const auto timer =
            std::make_shared<asio::steady_timer>(io, e->path() == "/slow" ? slow : delay);
        timer->async_wait(
            [timer, e, text = to_text(out)](asio::error_code) { respond_json(*e, 200, text); });
    };
    const auto http = serve_http(io, options.text("http", "127.0.0.1:0"), {}, handler);
    io.run();
    return 0;
}
