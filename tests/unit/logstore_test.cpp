// Tests of the log's files after crashes, torn writes, failed syncs and damage.

#include "process/logstore.h"
#include "unit/memstorage.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

LogEntry entry(Index index, Term term, std::string data = "x") {
    return {term, index, EntryKind::Command, std::move(data)};
}

StoredLog reopen(MemStorage& storage) {
    LogStore store(storage);
    const auto stored = store.open();
    EXPECT_TRUE(stored) << stored.error().detail;
    return stored.value_or(StoredLog{});
}

TEST(LogStore, RestoresSyncedEntries) {
    MemStorage storage;
    LogStore store(storage);
    ASSERT_TRUE(store.open());
    ASSERT_TRUE(store.append(HardState{3, 2}, {entry(1, 1), entry(2, 3)}));
    storage.crash();
    const StoredLog stored = reopen(storage);
    EXPECT_EQ(stored.hard_state, (HardState{3, 2}));
    ASSERT_EQ(stored.entries.size(), 2u);
    EXPECT_EQ(stored.entries[1], entry(2, 3));
}

TEST(LogStore, TruncatesATornTail) {
    MemStorage storage;
    LogStore store(storage);
    ASSERT_TRUE(store.open());
    ASSERT_TRUE(store.append(HardState{1, 1}, {entry(1, 1)}));
    storage.fail_sync_next();
    storage.tear_unsynced(7);
    ASSERT_FALSE(store.append(std::nullopt, {entry(2, 1)}));
    storage.crash();
    const StoredLog stored = reopen(storage);
    EXPECT_TRUE(stored.tail_cut);
    EXPECT_EQ(stored.entries.size(), 1u);
    EXPECT_FALSE(reopen(storage).tail_cut) << "the truncation itself must be durable";
}

TEST(LogStore, FailsToOpenWithDamageInTheMiddle) {
    MemStorage storage;
    LogStore store(storage);
    ASSERT_TRUE(store.open());
    ASSERT_TRUE(store.append(HardState{1, 1}, {entry(1, 1)}));
    ASSERT_TRUE(store.append(std::nullopt, {entry(2, 1)}));
    storage.flip_byte("log-00000000000000000000", 14);
    const auto stored = LogStore(storage).open();
    ASSERT_FALSE(stored);
    EXPECT_EQ(stored.error().kind, FailureKind::Damaged);
}

TEST(LogStore, FailsAllWritesAfterAFailedSync) {
    MemStorage storage;
    LogStore store(storage);
    ASSERT_TRUE(store.open());
    storage.fail_sync_next();
    EXPECT_FALSE(store.append(HardState{1, 1}, {entry(1, 1)}));
    const auto again = store.append(HardState{1, 1}, {entry(1, 1)});
    ASSERT_FALSE(again);
    EXPECT_EQ(again.error().kind, FailureKind::Storage);
}

TEST(LogStore, FullDiskIsATypedFailure) {
    MemStorage storage;
    LogStore store(storage);
    ASSERT_TRUE(store.open());
    storage.limit_bytes(40);
    const auto full = store.append(HardState{1, 1}, {entry(1, 1, std::string(100, 'y'))});
    ASSERT_FALSE(full);
    EXPECT_EQ(full.error().kind, FailureKind::Storage);
}

TEST(LogStore, SnapshotSurvivesACrashBetweenAnyTwoSteps) {
    for (int steps = 0; steps < 12; ++steps) {
        MemStorage storage;
        {
            LogStore store(storage);
            ASSERT_TRUE(store.open());
            ASSERT_TRUE(store.append(HardState{2, 1}, {entry(1, 1), entry(2, 2), entry(3, 2)}));
            storage.stop_after(steps);
            const Snapshot snapshot{2, 2, {1, 2, 3}, "state"};
            (void)store.save_snapshot(snapshot, HardState{2, 1}, {entry(3, 2)});
        }
        storage.crash();
        const StoredLog stored = reopen(storage);
        EXPECT_EQ(stored.hard_state, (HardState{2, 1})) << steps;
        EXPECT_EQ(stored.snapshot.index + stored.entries.size(), 3u) << steps;
        EXPECT_EQ(stored.entries.back(), entry(3, 2)) << steps;
    }
}

TEST(LogStore, InstalledSnapshotLeavesNoOldSuffix) {
    MemStorage storage;
    LogStore store(storage);
    ASSERT_TRUE(store.open());
    ASSERT_TRUE(store.append(HardState{2, 1}, {entry(1, 1), entry(2, 1), entry(3, 1)}));
    ASSERT_TRUE(store.save_snapshot(Snapshot{2, 4, {1}, "state"}, HardState{4, 0}, {}));
    storage.crash();
    const StoredLog stored = reopen(storage);
    EXPECT_TRUE(stored.entries.empty());
    EXPECT_EQ(stored.snapshot.term, 4u);
}

} // namespace
} // namespace liftweir
