// Background writer for the endpoint cache; runs in liftweir-site-control.

#include "process/endpointcachefile.h"

#include "connection/codec.h"
#include "process/logging.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace liftweir {

namespace {

constexpr const char* FileName = "endpoints";
// A failed write, such as on a full disk, is retried, because the cache is used after a power
// failure.
constexpr Duration RetryInterval = std::chrono::milliseconds(500);

// The sequence number rises with each report and would make every write differ from the last one.
EndpointReport without_sequence(EndpointReport report) {
    report.sequence = 0;
    return report;
}

} // namespace

// Shared with the writing thread, so that it outlives its owner while the disk stalls a write: the
// process must be able to end meanwhile.
class EndpointCacheFile::Writer : public std::enable_shared_from_this<EndpointCacheFile::Writer> {
  public:
    explicit Writer(std::shared_ptr<Storage> storage) : storage_(std::move(storage)) {}

    void start() {
        std::thread([self = shared_from_this()] { self->run(); }).detach();
    }

    void put(std::string bytes) {
        const std::lock_guard lock(mutex_);
        next_ = std::move(bytes);
        wake_.notify_one();
    }

    void stop() {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        wake_.notify_one();
    }

  private:
    void run() {
        std::unique_lock lock(mutex_);
        while (true) {
            wake_.wait(lock, [this] { return next_.has_value() || stopped_; });
            if (stopped_)
                return;
            std::string bytes = *std::exchange(next_, std::nullopt);
            lock.unlock();
            const bool written = write(bytes);
            lock.lock();
            if (!written)
                retry(std::move(bytes), lock);
        }
    }

    // Retries by itself, because the next change of the endpoints, and so the next write, may be
    // far off.
    void retry(std::string bytes, std::unique_lock<std::mutex>& lock) {
        wake_.wait_for(lock, RetryInterval, [this] { return next_.has_value() || stopped_; });
        if (!next_)
            next_ = std::move(bytes);
    }

    bool write(const std::string& bytes) {
        const auto written = storage_->replace(FileName, bytes);
        const std::lock_guard lock(mutex_);
        if (!written && !stopped_)
            log(LogLevel::Warning, "endpoint cache could not be written",
                {{"detail", written.error().detail}});
        return written.has_value();
    }

    std::shared_ptr<Storage> storage_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<std::string> next_;
    bool stopped_ = false;
};

EndpointCacheFile::EndpointCacheFile(std::shared_ptr<Storage> storage)
    : storage_(std::move(storage)), writer_(std::make_shared<Writer>(storage_)) {
    writer_->start();
}

EndpointCacheFile::~EndpointCacheFile() {
    writer_->stop();
}

CachedEndpoints EndpointCacheFile::load() const {
    const auto names = storage_->list();
    if (!names || std::find(names->begin(), names->end(), FileName) == names->end())
        return {};
    const auto bytes = storage_->read(FileName);
    if (!bytes) {
        log(LogLevel::Warning, "endpoint cache could not be read",
            {{"detail", bytes.error().detail}});
        return {};
    }
    auto cached = decode_struct<CachedEndpoints>(*bytes);
    if (!cached) {
        log(LogLevel::Warning, "endpoint cache could not be read",
            {{"detail", cached.error().detail}});
        return {};
    }
    return std::move(*cached);
}

// The registry keeps unresponsive endpoints for long, as they may be partitioned from control only,
// so the cache is restricted to recent ones.
void EndpointCacheFile::keep(const Registry& registry, Time since, Version leaves_forgotten) {
    CachedEndpoints cached;
    cached.leaves_forgotten = leaves_forgotten;
    for (const auto& [id, item] : registry.items())
        if (item.report.phase == EndpointPhase::Serving && item.last_contact >= since)
            cached.reports.push_back(without_sequence(item.report));
    std::string bytes = encode_struct(cached);
    if (bytes == last_contents_)
        return;
    last_contents_ = bytes;
    writer_->put(std::move(bytes));
}

} // namespace liftweir
