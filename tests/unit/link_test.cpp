// Reconnection of a link to a host that was powered off.

#include "connection/link.h"

#include <asio.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace liftweir {
namespace {

using std::chrono::milliseconds;

// A host that drops the first packet of each connection until power_up(), as a host without power
// does. Its backlog of new connections is kept full for this.
class PoweredOffHost {
  public:
    explicit PoweredOffHost(asio::io_context& io) : io_(io), acceptor_(io) {
        const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
        acceptor_.open(any.protocol());
        acceptor_.bind(any);
        acceptor_.listen(0);
        address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        fill();
    }

    const std::string& address() const { return address_; }

    // Accepts the waiting connections, then accepts links.
    void power_up(const Identity& self, const ClusterKeys& keys) {
        fillers_.clear();
        acceptor_.non_blocking(true);
        asio::error_code error;
        while (!error) {
            asio::ip::tcp::socket taken(io_);
            acceptor_.accept(taken, error);
        }
        acceptor_.close();
        listener_ = std::make_unique<LinkListener>(io_, address_, self, keys);
        listener_->start([](const Link::Ptr&) {}, [](const Link::Ptr&, WireMessage&&) {},
                         [](const Link::Ptr&) {});
    }

  private:
    // Fills the backlog: connection attempts beyond it get no response.
    void fill() {
        for (int i = 0; i < 4; ++i) {
            fillers_.push_back(std::make_unique<asio::ip::tcp::socket>(io_));
            fillers_.back()->async_connect(acceptor_.local_endpoint(), [](asio::error_code) {});
        }
        io_.run_for(milliseconds(30));
        io_.restart();
    }

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> fillers_;
    std::unique_ptr<LinkListener> listener_;
};

struct LinkToPoweredOffHost : testing::Test {
    asio::io_context io;
    const Identity self{ProcessRole::Control, "near", 1};
    const Identity peer{ProcessRole::Control, "far", 2};
    const ClusterKeys keys = ClusterKeys::none();
    PoweredOffHost host{io};
    Dialer dialer{io, host.address(), self, keys};

    bool up_within(Duration limit) {
        const Time end = BootClock::now() + limit;
        while (!dialer.up() && BootClock::now() < end)
            io.run_for(milliseconds(5));
        return dialer.up();
    }

    void dial_while_powered_off(Duration since) {
        dialer.start([](const Link::Ptr&) {}, [](const Link::Ptr&, WireMessage&&) {},
                     [](const Link::Ptr&) {});
        EXPECT_FALSE(up_within(since));
        host.power_up(peer, keys);
    }
};

// The kernel would retransmit the first packet only after a second.
TEST_F(LinkToPoweredOffHost, ReconnectsBeforeTheKernelRetransmits) {
    dial_while_powered_off(milliseconds(50));
    EXPECT_TRUE(up_within(milliseconds(700)));
}

TEST_F(LinkToPoweredOffHost, ReconnectsAtOnceWhenThePeerIsKnownToBeUp) {
    dial_while_powered_off(milliseconds(150));
    dialer.retry_now();
    EXPECT_TRUE(up_within(milliseconds(100)));
}

// A message of the peer may arrive while the response to the connect is in transit.
TEST_F(LinkToPoweredOffHost, ARecentAttemptIsNotAborted) {
    dial_while_powered_off(milliseconds(20));
    dialer.retry_now();
    EXPECT_FALSE(up_within(milliseconds(50)));
    EXPECT_TRUE(up_within(milliseconds(700)));
}

} // namespace
} // namespace liftweir
