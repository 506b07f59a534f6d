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

// The write is done by another thread.
std::vector<EndpointReport> kept(const std::shared_ptr<Storage>& storage) {
    for (int i = 0; i < 200; ++i) {
        auto reports = EndpointCacheFile(storage).load();
        if (!reports.empty())
            return reports;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return {};
}

TEST(EndpointCacheFile, KeepsWhoServesAndWasHeardLately) {
    auto folder = open_folder(testing::TempDir() + "/roster-keeps");
    ASSERT_TRUE(folder);
    const std::shared_ptr<Storage> storage = std::move(*folder);
    EndpointCacheFile roster(storage);
    EXPECT_TRUE(roster.load().empty());
    Registry registry;
    registry.merge(endpoint("heard"), Start);
    registry.merge(endpoint("silent"), Start - std::chrono::seconds(9));
    registry.merge(endpoint("leaving", EndpointPhase::Draining), Start);
    roster.keep(registry, Start - std::chrono::seconds(2));
    const auto reports = kept(storage);
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_EQ(reports.front().id, "heard");
    EXPECT_EQ(reports.front().sequence, 0u); // any word of its own goes before it
    ASSERT_TRUE(storage->remove("endpoints"));
}

TEST(EndpointCacheFile, AFileThatCanNotBeReadIsLikeNone) {
    const auto storage = std::make_shared<MemStorage>();
    ASSERT_TRUE(storage->replace("endpoints", "\xff\x00 not a roster"));
    EXPECT_TRUE(EndpointCacheFile(storage).load().empty());
}

// Refuses the first writes, as a full disk does for a while.
class FullForAWhile final : public MemStorage {
  public:
    explicit FullForAWhile(int writes) : left_(writes) {}
    Expected<void> replace(const std::string& name, std::string_view bytes) override {
        return left_-- > 0 ? fail(FailureKind::Storage, "full") : MemStorage::replace(name, bytes);
    }

  private:
    std::atomic<int> left_;
};

TEST(EndpointCacheFile, AWriteThatFailsIsTriedAgainThoughNothingChanges) {
    const auto storage = std::make_shared<FullForAWhile>(2);
    EndpointCacheFile roster(storage);
    Registry registry;
    registry.merge(endpoint("heard"), Start);
    roster.keep(registry, Start);
    const auto reports = kept(storage);
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_EQ(reports.front().id, "heard");
}

} // namespace
} // namespace liftweir
