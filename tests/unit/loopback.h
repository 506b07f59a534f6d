// Fakes and a fixture for tests of control hosts and entry hosts over real links on one machine.

#ifndef LOOPBACK_H_INCLUDED
#define LOOPBACK_H_INCLUDED

#include "process/coordinator.h"
#include "request/callerprotocol.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace liftweir {

class NoCallers final : public CallerProtocol {
  public:
    CallerRequest read(const RequestView&) const override { return {}; }
    HttpRequestHead forward(const HttpExchange&, const ForwardedFields&) const override {
        return {};
    }
    ResponseSignals parse_response(const HttpResponseHead&, const CallerRequest&) const override {
        return {};
    }
    HttpHeaders local_response_headers(const CallerRequest&, Duration) const override { return {}; }
};

// Endpoints take every order and answer every probe.
class NoOrders final : public EndpointOrders {
  public:
    void send(const EndpointOrder&, std::function<void(OrderAnswer)> on_answer) override {
        on_answer(OrderAnswer::Taken);
    }
    void probe(const EndpointReport&, std::function<void(bool)> on_answer) override {
        on_answer(true);
    }
};

struct LoopbackTest : testing::Test {
    static std::uint16_t free_port() {
        asio::io_context io;
        return asio::ip::tcp::acceptor(
                   io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            .local_endpoint()
            .port();
    }
    static SiteConfig config_for(std::uint16_t port, const std::string& name) {
        SiteConfig config;
        config.name = name;
        config.ip = "127.0.0.1";
        config.link_port = port;
        config.seeds = {"127.0.0.1:1"};
        config.callers = config.ready = config.metrics = "127.0.0.1:0";
        return config;
    }
    template <typename Done>
    bool run_until(Done done, Duration limit) {
        const Time end = BootClock::now() + limit;
        while (!done() && BootClock::now() < end) {
            io.restart();
            io.run_for(std::chrono::milliseconds(5));
        }
        return done();
    }
    void run_for(Duration time) {
        run_until([] { return false; }, time);
    }

    asio::io_context io;
    const std::uint16_t port = free_port();
    const ClusterKeys keys = ClusterKeys::none();
};

} // namespace liftweir

#endif // LOOPBACK_H_INCLUDED
