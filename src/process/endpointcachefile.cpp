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

constexpr const char* RosterName = "endpoints";
// A full disk is tried again: whoever has the last word on disk is believed after a loss of power.
constexpr Duration RetryEvery = std::chrono::milliseconds(500);

struct Roster {
    std::vector<EndpointReport> reports;
    MSGPACK_DEFINE(reports)
};

// The sequence rises with each report, and would make each write differ from the last.
EndpointReport without_sequence(EndpointReport report) {
    report.sequence = 0;
    return report;
}

} // namespace

// Outlives its EndpointCacheFile while the disk holds a write up: a process must be able to end
// then.
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
            const bool kept = write(bytes);
            lock.lock();
            if (!kept)
                retry(std::move(bytes), lock);
        }
    }

    // Endpoints may not change for long, and nothing else would write them again.
    void retry(std::string bytes, std::unique_lock<std::mutex>& lock) {
        wake_.wait_for(lock, RetryEvery, [this] { return next_.has_value() || stopped_; });
        if (!next_)
            next_ = std::move(bytes);
    }

    bool write(const std::string& bytes) {
        const auto kept = storage_->replace(RosterName, bytes);
        const std::lock_guard lock(mutex_);
        if (!kept && !stopped_)
            log(LogLevel::Warning, "endpoint cache could not be written",
                {{"detail", kept.error().detail}});
        return kept.has_value();
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

std::vector<EndpointReport> EndpointCacheFile::load() const {
    const auto names = storage_->list();
    if (!names || std::find(names->begin(), names->end(), RosterName) == names->end())
        return {};
    const auto bytes = storage_->read(RosterName);
    if (!bytes) {
        log(LogLevel::Warning, "endpoint cache could not be read",
            {{"detail", bytes.error().detail}});
        return {};
    }
    auto roster = decode_struct<Roster>(*bytes);
    if (!roster) {
        log(LogLevel::Warning, "endpoint cache could not be read",
            {{"detail", roster.error().detail}});
        return {};
    }
    return std::move(roster->reports);
}

// The registry keeps silent endpoints for long, as they may be cut off from control alone.
void EndpointCacheFile::keep(const Registry& registry, Time since) {
    Roster roster;
    for (const auto& [id, item] : registry.items())
        if (item.report.phase == EndpointPhase::Serving && item.last_contact >= since)
            roster.reports.push_back(without_sequence(item.report));
    std::string bytes = encode_struct(roster);
    if (bytes == kept_)
        return;
    kept_ = bytes;
    writer_->put(std::move(bytes));
}

} // namespace liftweir
