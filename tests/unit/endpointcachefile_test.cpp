// Tests of the endpoint cache on a control host's disk.

#include "process/endpointcachefile.h"
#include "unit/memstorage.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace liftweir {
namespace {

constexpr Time Start = Time{} + std::chrono::seconds(100);

EndpointReport endpoint(const EndpointId& id, EndpointPhase phase = EndpointPhase::Serving) {
    EndpointReport report;
    report.id = id;
    report.service = "llm";
    report.address = "10.0.0." + std::to_string(id.name.back()) + ":80";
    report.phase = phase;
    report.sequence = 4;
    return report;
}

// Waits for the write, which another thread does.
std::vector<EndpointReport> written(const std::shared_ptr<Storage>& storage) {
    for (int i = 0; i < 200; ++i) {
        auto reports = EndpointCacheFile(storage).load().reports;
        if (!reports.empty())
            return reports;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return {};
}

TEST(EndpointCacheFile, KeepsServingEndpointsWithRecentContact) {
    auto directory = open_directory(testing::TempDir() + "/roster-keeps");
    ASSERT_TRUE(directory);
    const std::shared_ptr<Storage> storage = std::move(*directory);
    EndpointCacheFile cached(storage);
    EXPECT_TRUE(cached.load().reports.empty());
    Registry registry;
    registry.merge(endpoint("heard"), Start);
    registry.merge(endpoint("silent"), Start - std::chrono::seconds(9));
    registry.merge(endpoint("leaving", EndpointPhase::Draining), Start);
    cached.keep(registry, Start - std::chrono::seconds(2), 7);
    const auto reports = written(storage);
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_EQ(reports.front().id, "heard");
    EXPECT_EQ(EndpointCacheFile(storage).load().leaves_forgotten, 7u);
    EXPECT_EQ(reports.front().sequence, 0u); // so that any report of the endpoint takes precedence
    ASSERT_TRUE(storage->remove("endpoints"));
}

TEST(EndpointCacheFile, AnUnreadableFileIsIgnored) {
    const auto storage = std::make_shared<MemStorage>();
    ASSERT_TRUE(storage->replace("endpoints", "\xff\x00 not a roster"));
    EXPECT_EQ(EndpointCacheFile(storage).load(), CachedEndpoints{});
}

// Fails the first writes, like a disk that is full for a while.
class FullForAWhile final : public MemStorage {
  public:
    explicit FullForAWhile(int writes) : left_(writes) {}
    Expected<void> replace(const std::string& name, std::string_view bytes) override {
        return left_-- > 0 ? fail(FailureKind::Storage, "full") : MemStorage::replace(name, bytes);
    }

  private:
    std::atomic<int> left_;
};

TEST(EndpointCacheFile, RetriesAFailedWriteWithoutFurtherChanges) {
    const auto storage = std::make_shared<FullForAWhile>(2);
    EndpointCacheFile cached(storage);
    Registry registry;
    registry.merge(endpoint("heard"), Start);
    cached.keep(registry, Start, 0);
    const auto reports = written(storage);
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_EQ(reports.front().id, "heard");
}

} // namespace
} // namespace liftweir
