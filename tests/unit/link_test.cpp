#include "connection/link.h"

#include <asio.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace liftweir {
namespace {

using std::chrono::milliseconds;

// A host that drops the first packet of each connection until it is let up, as one without power
// does: its queue of new connections is full.
class DarkHost {
  public:
    explicit DarkHost(asio::io_context& io) : io_(io), acceptor_(io) {
        const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
        acceptor_.open(any.protocol());
        acceptor_.bind(any);
        acceptor_.listen(0);
        address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        fill();
    }

    const std::string& address() const { return address_; }

    // Takes what waits, then serves links.
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
    // Connections beyond the queue stay unanswered.
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

struct LinkToDarkHost : testing::Test {
    asio::io_context io;
    const Identity self{ProcessRole::Control, "near", 1};
    const Identity peer{ProcessRole::Control, "far", 2};
    const ClusterKeys keys = ClusterKeys::none();
    DarkHost host{io};
    Dialer dialer{io, host.address(), self, keys};

    bool up_within(Duration limit) {
        const Time end = BootClock::now() + limit;
        while (!dialer.up() && BootClock::now() < end)
            io.run_for(milliseconds(5));
        return dialer.up();
    }

    void dial_in_the_dark(Duration since) {
        dialer.start([](const Link::Ptr&) {}, [](const Link::Ptr&, WireMessage&&) {},
                     [](const Link::Ptr&) {});
        EXPECT_FALSE(up_within(since));
        host.power_up(peer, keys);
    }
};

// The kernel would send the first packet again after a second.
TEST_F(LinkToDarkHost, IsDialedAnewBeforeTheKernelTriesAgain) {
    dial_in_the_dark(milliseconds(50));
    EXPECT_TRUE(up_within(milliseconds(700)));
}

TEST_F(LinkToDarkHost, IsDialedAtOnceWhenThePeerWasHeard) {
    dial_in_the_dark(milliseconds(150));
    dialer.retry_now();
    EXPECT_TRUE(up_within(milliseconds(100)));
}

// A greeting may come while the answer to the connect is on its way.
TEST_F(LinkToDarkHost, AYoungAttemptIsLeftToItself) {
    dial_in_the_dark(milliseconds(20));
    dialer.retry_now();
    EXPECT_FALSE(up_within(milliseconds(50)));
    EXPECT_TRUE(up_within(milliseconds(700)));
}

} // namespace
} // namespace liftweir
