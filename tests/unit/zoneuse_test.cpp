// Zones out of use at an entry host: control hosts that lag behind each other report them in any
// order, and no older state may return.

#include "request/zoneuse.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;

constexpr Time Start{std::chrono::seconds(100)};

TEST(ZoneUse, AnOlderStateDoesNotReplaceANewerOne) {
    ZoneUse zones;
    EXPECT_TRUE(zones.take({7, {"a"}}, 5, Start));
    EXPECT_FALSE(zones.take({6, {}}, 5, Start));
    EXPECT_FALSE(zones.take({0, {}}, 0, Start));
    EXPECT_TRUE(zones.excludes("a", Start));
    EXPECT_FALSE(zones.excludes("b", Start));
}

TEST(ZoneUse, AZoneReturnsOnceItsEndpointsHaveReported) {
    ZoneUse zones;
    zones.set_return_delay(milliseconds(1600));
    zones.take({7, {"a", "b"}}, 5, Start);
    zones.take({8, {"b"}}, 5, Start);
    EXPECT_TRUE(zones.excludes("a", Start + milliseconds(1500)));
    EXPECT_FALSE(zones.excludes("a", Start + milliseconds(1600)));
    zones.take({9, {"a", "b"}}, 5, Start + milliseconds(1700));
    EXPECT_TRUE(zones.excludes("a", Start + milliseconds(9000)));
}

// The zones may arrive with a lease acknowledgement before the document that precedes them.
TEST(ZoneUse, DoesNotCountADocumentThatHasNotArrived) {
    ZoneUse zones;
    EXPECT_EQ(zones.settings_version(5), 5u);
    zones.take({8, {"a"}}, 7, Start);
    EXPECT_EQ(zones.settings_version(5), 5u);
    EXPECT_EQ(zones.settings_version(7), 8u);
    EXPECT_EQ(zones.settings_version(9), 9u);
}

// One replicated history; the entry host receives the states of any of its prefixes in any order.
// Once it claims a settings version, it has every document and zone of the history up to there.
RC_GTEST_PROP(ZoneUse, ClaimsNoSettingsThatItLacks, ()) {
    struct Prefix {
        ZonesOutOfUse zones;
        Version document = 0;
    };
    std::vector<Prefix> history(1);
    for (Version index = 1; index <= 12; ++index) {
        Prefix next = history.back();
        if (*rc::gen::arbitrary<bool>())
            next.document = index;
        else
            next.zones = {index, {"z" + std::to_string(index)}};
        history.push_back(next);
    }
    ZoneUse zones;
    Version document = 0;
    const int messages = *rc::gen::inRange(1, 30);
    for (int n = 0; n < messages; ++n) {
        const Prefix& sent = history[*rc::gen::inRange<std::size_t>(0, history.size())];
        zones.take(sent.zones, sent.document, Start);
        if (*rc::gen::arbitrary<bool>())
            document = std::max(document, sent.document);
        const Version claimed = zones.settings_version(document);
        RC_ASSERT(document >= history[claimed].document);
        RC_ASSERT(zones.current().index >= history[claimed].zones.index);
    }
}

} // namespace
} // namespace liftweir
