// Periodic timer for the event loops of all server programs.

#ifndef TICKER_H_INCLUDED
#define TICKER_H_INCLUDED

#include "process/clock.h"

#include <asio.hpp>

#include <functional>
#include <utility>

namespace liftweir {

// Calls a function periodically on an event loop, each time `pause` after the previous call ended.
class Ticker {
  public:
    Ticker(asio::io_context& io, Duration pause, std::function<void()> tick)
        : timer_(io), pause_(pause), tick_(std::move(tick)) {}

    void start() {
        timer_.expires_after(pause_);
        timer_.async_wait([this](asio::error_code error) {
            if (error)
                return;
            tick_();
            start();
        });
    }

  private:
    asio::steady_timer timer_;
    Duration pause_;
    std::function<void()> tick_;
};

} // namespace liftweir

#endif // TICKER_H_INCLUDED
