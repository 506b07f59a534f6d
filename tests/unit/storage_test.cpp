// Tests of the storage on a directory of the file system.

#include "process/storage.h"

#include "process/endpointcachefile.h"
#include "process/logstore.h"
#include "process/node.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace liftweir {
namespace {

// A directory in place of a file can be opened, but every read of it fails.
struct UnreadableFile : testing::Test {
    UnreadableFile() {
        auto opened = open_directory(path);
        EXPECT_TRUE(opened);
        if (opened)
            storage = std::move(*opened);
    }
    ~UnreadableFile() override { std::filesystem::remove_all(path); }
    void put(const std::string& name) { std::filesystem::create_directory(path + "/" + name); }

    const std::string path = testing::TempDir() + "/unreadable-" + std::to_string(::getpid());
    std::shared_ptr<Storage> storage;
};

TEST_F(UnreadableFile, FailedReadIsNotTakenForTheEndOfTheFile) {
    put("file");
    const auto content = storage->read("file");
    ASSERT_FALSE(content);
    EXPECT_EQ(content.error().kind, FailureKind::Storage);
    EXPECT_NE(content.error().detail.find("read file: "), std::string::npos)
        << content.error().detail;
}

TEST_F(UnreadableFile, WholeFileIsRead) {
    std::string bytes(300000, 'x');
    bytes[70000] = '\0';
    ASSERT_TRUE(storage->append("file", bytes));
    EXPECT_EQ(storage->read("file"), bytes);
    ASSERT_TRUE(storage->replace("file", ""));
    EXPECT_EQ(storage->read("file"), "");
    EXPECT_FALSE(storage->read("missing"));
}

TEST_F(UnreadableFile, LogIsNotOpenedWithoutTheSegmentThatCanNotBeRead) {
    const std::string segment = "log-00000000000000000000";
    put(segment);
    const auto log = LogStore(*storage).open();
    ASSERT_FALSE(log);
    EXPECT_EQ(log.error().kind, FailureKind::Storage);
    EXPECT_NE(log.error().detail.find("read " + segment), std::string::npos) << log.error().detail;
}

TEST_F(UnreadableFile, LogIsNotOpenedWithoutTheSnapshotThatCanNotBeRead) {
    put("snapshot");
    const auto log = LogStore(*storage).open();
    ASSERT_FALSE(log);
    EXPECT_EQ(log.error().kind, FailureKind::Storage) << "Damaged empties the directory";
}

TEST_F(UnreadableFile, NodeNumberIsNotDrawnAnewWhereItCanNotBeRead) {
    put("node");
    const auto node = node_of_directory(*storage, "127.0.0.1", false);
    ASSERT_FALSE(node);
    EXPECT_EQ(node.error().kind, FailureKind::Storage) << "Damaged empties the directory";
}

TEST_F(UnreadableFile, EndpointCacheIsEmpty) {
    put("endpoints");
    EXPECT_TRUE(EndpointCacheFile(storage).load().reports.empty());
}

TEST(ReadFile, ReturnsTheWholeContentsOrFails) {
    const std::string path = testing::TempDir() + "read_file_test";
    const std::string content(200000, 'x');
    std::ofstream(path) << content;
    EXPECT_EQ(read_file(path).value(), content);
    std::filesystem::remove(path);
    for (const std::string& unreadable : {path, std::string("/")}) {
        const auto read = read_file(unreadable);
        ASSERT_FALSE(read) << unreadable;
        EXPECT_EQ(read.error().kind, FailureKind::Storage);
        EXPECT_NE(read.error().detail.find(unreadable), std::string::npos);
    }
}

} // namespace
} // namespace liftweir
