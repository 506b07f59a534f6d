// The hosts that found a deployment stay the first voters of its log, whatever the settings name
// later.

#include "process/node.h"
#include "unit/memstorage.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using Hosts = std::vector<std::string>;

TEST(Founders, AreTheSeedsOfTheFirstStart) {
    MemStorage storage;
    EXPECT_EQ(founders_of_directory(storage, {"10.0.0.1", "10.0.0.2"}, true),
              (Hosts{"10.0.0.1", "10.0.0.2"}));
    EXPECT_EQ(founders_of_directory(storage, {"10.0.0.4", "10.0.0.5"}, true),
              (Hosts{"10.0.0.1", "10.0.0.2"}));
    EXPECT_EQ(founders_of_directory(storage, {"10.0.0.4"}, false), (Hosts{"10.0.0.1", "10.0.0.2"}));
}

TEST(Founders, AreUnknownToAHostThatJoinsLater) {
    MemStorage storage;
    EXPECT_EQ(founders_of_directory(storage, {"10.0.0.1"}, false), Hosts{});
    EXPECT_EQ(founders_of_directory(storage, {"10.0.0.1"}, false), Hosts{});
}

TEST(Founders, ATornFileIsDamaged) {
    for (const char* text : {"", "10.0.0.1\n10.0.", "10.0.0.1", "\n", "nobody\n"}) {
        MemStorage storage;
        ASSERT_TRUE(storage.replace("founders", text));
        const auto founders = founders_of_directory(storage, {"10.0.0.1"}, false);
        ASSERT_FALSE(founders) << text;
        EXPECT_EQ(founders.error().kind, FailureKind::Damaged);
    }
}

} // namespace
} // namespace liftweir
