// The pool of client connections: which are idle, and which one a call uses.

#include "connection/httpchannel.h"

#include "connection/channel.h"

#include <deque>
#include <map>
#include <utility>

namespace liftweir {

namespace {

// Idle connections by address. The most recently used connection is reused first.
class Pool final : public ChannelOwner, public std::enable_shared_from_this<Pool> {
  public:
    explicit Pool(asio::io_context& io) : io_(io) {}

    std::unique_ptr<HttpCallHandle> start(const std::string& address, const HttpRequestHead& head,
                                          const SharedBytes& body, ChannelOptions options,
                                          CallEvents events);
    void forget(const std::string& address);
    void forget_all();
    std::uint64_t opened() const { return opened_; }

    void on_idle(const ChannelPtr& channel) override;
    void on_closed(const ChannelPtr& channel) override;

  private:
    ChannelPtr take_idle(const std::string& address);

    asio::io_context& io_;
    std::map<std::string, std::deque<ChannelPtr>> idle_;
    std::map<std::string, std::size_t> max_idle_; // by address, from the last call's options
    std::uint64_t opened_ = 0;
};

// The handle of a call. The call may have ended, and its connection may serve another call. It owns
// the connection, since no handler of the event loop refers to one that is paused.
class Handle final : public HttpCallHandle {
  public:
    Handle(const ChannelPtr& channel, std::uint64_t call) : channel_(channel), call_(call) {}
    ~Handle() override {
        if (channel_)
            channel_->cancel(call_);
    }
    Handle(const Handle&) = delete;
    Handle& operator=(const Handle&) = delete;

    void cancel() override {
        if (channel_)
            channel_->cancel(call_);
        channel_.reset();
    }
    void pause() override {
        if (channel_)
            channel_->pause();
    }
    void resume() override {
        if (channel_)
            channel_->resume();
    }

  private:
    ChannelPtr channel_;
    std::uint64_t call_;
};

ChannelPtr Pool::take_idle(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return nullptr;
    const Time now = BootClock::now();
    while (!found->second.empty()) {
        ChannelPtr channel = found->second.back();
        found->second.pop_back();
        if (channel->usable(now))
            return channel;
        channel->close();
    }
    return nullptr;
}

std::unique_ptr<HttpCallHandle> Pool::start(const std::string& address, const HttpRequestHead& head,
                                            const SharedBytes& body, ChannelOptions options,
                                            CallEvents events) {
    max_idle_[address] = options.max_idle_connections;
    ChannelPtr channel = options.new_connection ? nullptr : take_idle(address);
    const bool reused = channel != nullptr;
    if (!reused) {
        channel = std::make_shared<Channel>(io_, weak_from_this(), address);
        ++opened_;
    }
    const std::uint64_t call = channel->begin(head, body, std::move(events));
    if (!reused)
        channel->connect(options.connect_timeout);
    return std::make_unique<Handle>(channel, call);
}

void Pool::on_idle(const ChannelPtr& channel) {
    auto& channels = idle_[channel->address()];
    channels.push_back(channel);
    if (channels.size() <= max_idle_[channel->address()])
        return;
    const ChannelPtr oldest = channels.front();
    channels.pop_front();
    oldest->close();
}

void Pool::on_closed(const ChannelPtr& channel) {
    const auto found = idle_.find(channel->address());
    if (found != idle_.end())
        std::erase(found->second, channel);
}

void Pool::forget(const std::string& address) {
    max_idle_.erase(address);
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return;
    const auto channels = std::move(found->second);
    idle_.erase(found);
    for (const ChannelPtr& channel : channels)
        channel->close();
}

void Pool::forget_all() {
    for (const auto& [address, channels] : std::exchange(idle_, {}))
        for (const ChannelPtr& channel : channels)
            channel->close();
}

// The pool that users hold. Connections may outlive it by one iteration of the event loop, so they
// hold only a weak pointer to the Pool.
class SharedPool final : public HttpChannelPool {
  public:
    explicit SharedPool(asio::io_context& io) : pool_(std::make_shared<Pool>(io)) {}
    ~SharedPool() override { pool_->forget_all(); }
    SharedPool(const SharedPool&) = delete;
    SharedPool& operator=(const SharedPool&) = delete;

    std::unique_ptr<HttpCallHandle> start(const std::string& address, const HttpRequestHead& head,
                                          const SharedBytes& body, ChannelOptions options,
                                          CallEvents events) override {
        return pool_->start(address, head, body, options, std::move(events));
    }
    void forget(const std::string& address) override { pool_->forget(address); }
    std::uint64_t opened() const override { return pool_->opened(); }

  private:
    std::shared_ptr<Pool> pool_;
};

} // namespace

std::string_view name_of(BodyFraming framing) {
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunks";
    case BodyFraming::ConnectionClose:
        return "close";
    }
    return "unknown";
}

std::unique_ptr<HttpChannelPool> make_channel_pool(asio::io_context& io) {
    return std::make_unique<SharedPool>(io);
}

} // namespace liftweir
