#include "connection/httpchannel.h"

#include "connection/channel.h"

#include <deque>
#include <map>
#include <utility>

namespace liftweir {

namespace {

// The connections that rest between calls, by address; the one used last is taken first.
class Pool final : public ChannelKeeper, public std::enable_shared_from_this<Pool> {
  public:
    explicit Pool(asio::io_context& io) : io_(io) {}

    std::unique_ptr<HttpCallHandle> start(const std::string& address, const HttpRequestHead& head,
                                          const std::string& body, ChannelOptions options,
                                          CallEvents events);
    void forget(const std::string& address);
    void forget_all();
    std::uint64_t opened() const { return opened_; }

    void keep(const ChannelPtr& channel) override;
    void drop(const ChannelPtr& channel) override;

  private:
    ChannelPtr take_kept(const std::string& address);

    asio::io_context& io_;
    std::map<std::string, std::deque<ChannelPtr>> kept_;
    std::map<std::string, std::size_t> most_kept_; // by address, as the last call told
    std::uint64_t opened_ = 0;
};

// A caller's hold on its call, which may be over or on another connection by now.
class Handle final : public HttpCallHandle {
  public:
    Handle(const ChannelPtr& channel, std::uint64_t call) : channel_(channel), call_(call) {}
    ~Handle() override {
        if (const auto channel = channel_.lock())
            channel->cancel(call_);
    }
    Handle(const Handle&) = delete;
    Handle& operator=(const Handle&) = delete;

    void cancel() override {
        if (const auto channel = channel_.lock())
            channel->cancel(call_);
        channel_.reset();
    }
    void pause() override {
        if (const auto channel = channel_.lock())
            channel->pause();
    }
    void resume() override {
        if (const auto channel = channel_.lock())
            channel->resume();
    }

  private:
    std::weak_ptr<Channel> channel_;
    std::uint64_t call_;
};

ChannelPtr Pool::take_kept(const std::string& address) {
    const auto found = kept_.find(address);
    if (found == kept_.end())
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
                                            const std::string& body, ChannelOptions options,
                                            CallEvents events) {
    most_kept_[address] = options.max_idle_connections;
    ChannelPtr channel = options.fresh ? nullptr : take_kept(address);
    const bool kept = channel != nullptr;
    if (!kept) {
        channel = std::make_shared<Channel>(io_, weak_from_this(), address);
        ++opened_;
    }
    const std::uint64_t call = channel->begin(head, body, std::move(events));
    if (!kept)
        channel->connect(options.connect_timeout);
    return std::make_unique<Handle>(channel, call);
}

void Pool::keep(const ChannelPtr& channel) {
    auto& channels = kept_[channel->address()];
    channels.push_back(channel);
    if (channels.size() <= most_kept_[channel->address()])
        return;
    const ChannelPtr oldest = channels.front();
    channels.pop_front();
    oldest->close();
}

void Pool::drop(const ChannelPtr& channel) {
    const auto found = kept_.find(channel->address());
    if (found != kept_.end())
        std::erase(found->second, channel);
}

void Pool::forget(const std::string& address) {
    most_kept_.erase(address);
    const auto found = kept_.find(address);
    if (found == kept_.end())
        return;
    const auto channels = std::move(found->second);
    kept_.erase(found);
    for (const ChannelPtr& channel : channels)
        channel->close();
}

void Pool::forget_all() {
    for (const auto& [address, channels] : std::exchange(kept_, {}))
        for (const ChannelPtr& channel : channels)
            channel->close();
}

// Channels outlive their calls' owner by a turn of the loop, so they only know the pool weakly.
class SharedPool final : public HttpChannelPool {
  public:
    explicit SharedPool(asio::io_context& io) : pool_(std::make_shared<Pool>(io)) {}
    ~SharedPool() override { pool_->forget_all(); }
    SharedPool(const SharedPool&) = delete;
    SharedPool& operator=(const SharedPool&) = delete;

    std::unique_ptr<HttpCallHandle> start(const std::string& address, const HttpRequestHead& head,
                                          const std::string& body, ChannelOptions options,
                                          CallEvents events) override {
        return pool_->start(address, head, body, options, std::move(events));
    }
    void forget(const std::string& address) override { pool_->forget(address); }
    std::uint64_t opened() const override { return pool_->opened(); }

  private:
    std::shared_ptr<Pool> pool_;
};

} // namespace

std::unique_ptr<HttpChannelPool> make_channel_pool(asio::io_context& io) {
    return std::make_unique<SharedPool>(io);
}

} // namespace liftweir
