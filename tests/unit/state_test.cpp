// The replicated state, routing tables built from deltas, decoding of damaged bytes, and settings.

#include "connection/codec.h"
#include "connection/wire.h"
#include "version/state.h"
#include "version/table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace liftweir {
namespace {

HostSpec spec(const std::string& name, const std::string& domain) {
    return {name, "o/r/s", "z", domain, 8, HostRole::Engine, "", "1:1", "1:2", "1:3"};
}

ClaimOnce claim(const std::string& key, std::uint64_t sequence, const std::string& digest = "d") {
    return {"c", key, digest, {1, sequence, 0}, 0, 10};
}

TEST(State, OnlyOneOfTwoConcurrentSettingsChangesIsAppliedAndTheOtherNamesIt) {
    State state;
    const SettingChange a{"o", "models/m/replicas", "1"};
    const SettingChange b{"o", "models/m/replicas", "2"};
    ASSERT_TRUE(state.apply(1, ChangeSettings{"order-a", 0, "ana", {a}, 0}).ok);
    const ApplyResult lost = state.apply(2, ChangeSettings{"order-b", 0, "boris", {b}, 0});
    EXPECT_FALSE(lost.ok);
    EXPECT_EQ(lost.failure, FailureKind::Conflict);
    EXPECT_NE(lost.detail.find("ana"), std::string::npos);
    const ApplyResult resent = state.apply(3, ChangeSettings{"order-a", 0, "ana", {a}, 0});
    EXPECT_TRUE(resent.ok);
    EXPECT_EQ(resent.version, 1u);
    EXPECT_EQ(state.settings_version(), 1u);
}

TEST(State, AnInvalidChangeIsRefusedAsAWhole) {
    State state;
    const ApplyResult r = state.apply(
        1,
        ChangeSettings{
            "o1", 0, "ana", {{"o", "models/m/replicas", "1"}, {"o", "models/m/replica", "1"}}, 0});
    EXPECT_FALSE(r.ok);
    EXPECT_NE(r.detail.find("models/m/replicas"), std::string::npos) << "names the nearest key";
    EXPECT_FALSE(state.settings().at("o", "models/m/replicas"));
}

TEST(State, AClaimIsIdempotentByAttemptAndExclusiveByKey) {
    State state;
    EXPECT_TRUE(state.apply(1, claim("k", 1)).ok);
    EXPECT_TRUE(state.apply(2, claim("k", 1)).ok) << "the holder asks again after a failover";
    EXPECT_EQ(state.apply(3, claim("k", 2)).failure, FailureKind::InProgress);
    EXPECT_EQ(state.apply(4, claim("k", 2, "other")).failure, FailureKind::Mismatch);
    EXPECT_TRUE(state.apply(5, CloseClaim{"c", "k", {1, 1, 0}, ClaimPhase::Unknown, {}, false}).ok);
    EXPECT_EQ(state.apply(6, claim("k", 2)).failure, FailureKind::OutcomeUnknown);
    // A late result replaces Unknown.
    const Answer saved{200, "t", "body"};
    EXPECT_TRUE(
        state.apply(7, CloseClaim{"c", "k", {1, 1, 0}, ClaimPhase::Completed, saved, true}).ok);
    const ApplyResult replay = state.apply(8, claim("k", 2));
    ASSERT_TRUE(replay.ok && replay.claim);
    EXPECT_EQ(replay.claim->answer, saved);
}

TEST(State, ADelayedClaimDoesNotTakeTheKeyAfterItsDrop) {
    State state;
    EXPECT_TRUE(state.apply(1, DropClaim{"c", "k", {1, 1, 0}}).ok);
    EXPECT_FALSE(state.apply(2, claim("k", 1)).ok);
    EXPECT_TRUE(state.apply(3, claim("k", 2)).ok);
}

TEST(State, ClaimsOfARestartedEntryHostBecomeUnknown) {
    State state;
    EXPECT_TRUE(state.apply(1, RegisterEntry{{"e", 1, "a", "s"}}).ok);
    EXPECT_TRUE(state.apply(2, claim("k", 1)).ok);
    EXPECT_TRUE(state.apply(3, RegisterEntry{{"e", 9, "a", "s"}}).ok);
    EXPECT_EQ(state.claim("c", "k")->phase, ClaimPhase::Unknown);
}

TEST(State, ARestartedHostReleasesItsGroupAndIsFree) {
    State state;
    Version index = 0;
    for (const char* name : {"a", "b"})
        state.apply(++index, RegisterHost{spec(name, "d"), 1});
    ASSERT_TRUE(state.apply(++index, FormGroup{{"m", "1", {}}, {{"a", 1}, {"b", 1}}, ""}).ok);
    const Epoch epoch = index;
    state.apply(++index, RegisterHost{spec("b", "d"), 2});
    EXPECT_EQ(state.groups().at(epoch).phase, GroupPhase::Releasing);
    EXPECT_EQ(state.hosts().at("b").bound, NoEpoch);
    EXPECT_EQ(state.hosts().at("a").bound, epoch);
    EXPECT_FALSE(state.apply(++index, ReleaseHost{"a", 2, epoch}).ok) << "another incarnation";
    EXPECT_TRUE(state.apply(++index, ReleaseHost{"a", 1, epoch}).ok);
    EXPECT_TRUE(state.groups().empty());
}

TEST(State, AGroupWaitsToOpenOnlyForALeadThatHasNotReleased) {
    for (const bool lead_releases : {true, false}) {
        State state;
        Version index = 0;
        for (const char* name : {"a", "b", "c"})
            state.apply(++index, RegisterHost{spec(name, "d"), 1});
        ASSERT_TRUE(state.apply(++index, FormGroup{{"m", "1", {}}, {{"a", 1}, {"b", 1}}, ""}).ok);
        const Epoch old = index;
        EXPECT_FALSE(state.groups().at(old).waits_to_open);
        state.apply(++index, DissolveGroup{old, ""});
        state.apply(++index, ReleaseHost{"b", 1, old});
        if (lead_releases)
            state.apply(++index, ReleaseHost{"a", 1, old});
        else
            state.apply(++index, RegisterHost{spec("b", "d"), 2});
        const Incarnation inc = state.hosts().at("b").incarnation;
        ASSERT_TRUE(state.apply(++index, FormGroup{{"m", "1", {}}, {{"b", inc}, {"c", 1}}, ""}).ok);
        EXPECT_EQ(state.groups().at(index).waits_to_open, !lead_releases);
    }
}

TEST(State, AHostRemembersEveryGroupThatMayBeOpen) {
    State state;
    Version index = 0;
    for (const char* name : {"a", "b", "c"})
        state.apply(++index, RegisterHost{spec(name, "d"), 1});
    const auto form = [&](const char* x, const char* y) {
        EXPECT_TRUE(state.apply(++index, FormGroup{{"m", "1", {}}, {{x, 1}, {y, 1}}, ""}).ok);
        return index;
    };
    const auto release = [&](const char* x, Epoch epoch) {
        EXPECT_TRUE(state.apply(++index, ReleaseHost{x, 1, epoch}).ok);
    };
    const Epoch first = form("a", "b");
    state.apply(++index, DissolveGroup{first, ""});
    release("b", first);
    const Epoch second = form("b", "c");
    state.apply(++index, DissolveGroup{second, ""});
    release("b", second);
    release("c", second);
    EXPECT_TRUE(state.groups().at(form("b", "c")).waits_to_open);
}

rc::Gen<Command> any_command() {
    return rc::gen::apply(
        [](int kind, int x, int y, int n) -> Command {
            const std::string h = "h" + std::to_string(x);
            const std::string g = "h" + std::to_string(y);
            const Incarnation inc = static_cast<Incarnation>(n % 3);
            switch (kind) {
            case 0:
                return RegisterHost{spec(h, x % 2 == 0 ? "even" : "odd"), inc};
            case 1:
                return FormGroup{{"m", "1", {}}, {{h, inc}, {g, inc}}, "t"};
            case 2:
                return DissolveGroup{static_cast<Epoch>(n), "t"};
            case 3:
                return ReleaseHost{h, inc, static_cast<Epoch>(n)};
            case 4:
                return SetHostMode{"", h, static_cast<HostMode>(n % 3), "t"};
            default:
                return DrainGroup{static_cast<Epoch>(n), "t"};
            }
        },
        rc::gen::inRange(0, 6), rc::gen::inRange(0, 5), rc::gen::inRange(0, 5),
        rc::gen::inRange(0, 40));
}

// Invariant under any commands: no host is in two groups and no group spans two fabric domains.
TEST(State, NoCommandPutsAHostIntoTwoGroups) {
    EXPECT_TRUE(rc::check([] {
        State state;
        Version index = 0;
        const auto commands = *rc::gen::container<std::vector<Command>>(80, any_command());
        for (const Command& command : commands) {
            state.apply(++index, command);
            RC_ASSERT(state.violations().empty());
            for (const auto& [epoch, group] : state.groups())
                for (const Member& member : group.members)
                    RC_ASSERT(state.hosts().at(member.host).spec.domain == group.domain);
        }
        const auto copy = State::load(state.save());
        RC_ASSERT(copy.has_value());
        RC_ASSERT(copy->save() == state.save());
    }));
}

// A table that was built from any sequence of deltas equals the one that is built from a full copy.
TEST(State, TheLastOrderDecidesWhetherAZoneIsInUse) {
    State state;
    EXPECT_TRUE(state.apply(1, ReplaceDocument{1, "{}"}).ok);
    EXPECT_TRUE(state.apply(2, SetZoneUse{"a", false}).ok);
    EXPECT_TRUE(state.apply(3, SetZoneUse{"b", false}).ok);
    EXPECT_TRUE(state.apply(4, SetZoneUse{"a", true}).ok);
    EXPECT_EQ(state.zones_out_of_use(), (ZonesOutOfUse{4, {"b"}}));
    const auto copy = State::load(state.save());
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy->zones_out_of_use(), state.zones_out_of_use());
    EXPECT_EQ(copy->document().version, 1u);
}

// A repeated order changes nothing, and entry hosts reach the index that their lease asks for.
TEST(State, EveryOrderForAZoneRaisesTheLeaseVersionAndTheIndexOfTheZones) {
    State state;
    for (Version index = 1; index <= 3; ++index) {
        EXPECT_TRUE(state.apply(index, SetZoneUse{"a", false}).ok);
        EXPECT_TRUE(raises_lease_version(SetZoneUse{"a", false}));
        EXPECT_EQ(state.lease_version(), index);
        EXPECT_EQ(state.zones_out_of_use().index, index);
    }
}

TEST(Table, DeltasLeadToTheSameTableAsAFullCopy) {
    EXPECT_TRUE(rc::check([] {
        State state;
        TableBuilder stepwise("o/r/s");
        Version index = 0;
        state.apply(++index, ChangeSettings{"", 0, "t", {{"o", "models/m/replicas", "1"}}, 0});
        const auto commands = *rc::gen::container<std::vector<Command>>(60, any_command());
        for (const Command& command : commands) {
            state.apply(++index, command);
            if (index % 3 == 0)
                stepwise.apply(state.delta_since(stepwise.version(), stepwise.lease_version()));
        }
        const TableDelta last = state.delta_since(stepwise.version(), stepwise.lease_version());
        stepwise.apply(last);
        stepwise.apply(last); // delivered twice
        TableBuilder whole("o/r/s");
        whole.apply(state.delta_since(0, 0));
        RC_ASSERT(stepwise.addresses() == whole.addresses());
        const auto a = stepwise.build();
        const auto b = whole.build();
        RC_ASSERT(a->models.at("m").targets.size() == b->models.at("m").targets.size());
        RC_ASSERT(a->version == b->version);
    }));
}

// A delta relative to a lease version that this process does not have must not be applied.
TEST(Table, ADeltaWithAGapInSettingsIsNotApplied) {
    State state;
    state.apply(1, ChangeSettings{"", 0, "t", {{"o", "models/m/replicas", "1"}}, 0});
    state.apply(2, ChangeSettings{"", 1, "t", {{"o", "models/n/replicas", "1"}}, 0});
    TableBuilder builder("o/r/s");
    EXPECT_FALSE(builder.apply(state.delta_since(0, 1)));
    EXPECT_EQ(builder.lease_version(), 0u);
}

// Every decoder accepts any bytes and returns either a message or a typed failure.
TEST(Codec, AnyBytesGiveAMessageOrATypedFailure) {
    EXPECT_TRUE(rc::check([] {
        const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        for (const auto& kind :
             {decode<WireMessage>(bytes).has_value() ? FailureKind::Decode
                                                     : decode<WireMessage>(bytes).error().kind,
              decode<Command>(bytes).has_value() ? FailureKind::Decode
                                                 : decode<Command>(bytes).error().kind})
            RC_ASSERT(kind == FailureKind::Decode);
        (void)decode<RaftMessage>(bytes);
        (void)decode<Datagram>(bytes);
        (void)State::load(bytes);
    }));
}

// A damaged message is refused or decodes to some message, without a crash or an endless loop.
TEST(Codec, FlippedBytesAreHarmless) {
    EXPECT_TRUE(rc::check([] {
        Attempt attempt;
        attempt.body = "body";
        std::string bytes = encode(WireMessage(attempt));
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = *rc::gen::arbitrary<char>();
        (void)decode<WireMessage>(bytes);
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
        (void)decode<WireMessage>(bytes);
    }));
}

TEST(Settings, LowerLevelsOverrideHigherOnesKeyByKey) {
    SettingsTree tree;
    tree.apply({"o", "models/m/replicas", "1"}, 1, "a");
    tree.apply({"o", "models/m/deadline_ms", "1000"}, 2, "a");
    tree.apply({"o/r/s", "models/m/replicas", "3"}, 3, "b");
    const SiteSettings here(tree, "o/r/s");
    const SiteSettings there(tree, "o/r/t");
    EXPECT_EQ(here.integer("models/m/replicas"), 3);
    EXPECT_EQ(here.integer("models/m/deadline_ms"), 1000);
    EXPECT_EQ(there.integer("models/m/replicas"), 1);
    tree.apply({"o/r/s", "models/m/replicas", ""}, 4, "b");
    EXPECT_EQ(SiteSettings(tree, "o/r/s").integer("models/m/replicas"), 1);
    EXPECT_EQ(tree.explain("o/r/s", "models/m/replicas").back().path, "o");
}

TEST(Settings, EveryDefaultIsAllowed) {
    for (const KeySpec& key : key_table()) {
        if (key.type == ValueType::Digest)
            continue;
        const auto value = parse_json(key.default_value);
        ASSERT_TRUE(value) << key.pattern;
        std::string name(key.pattern);
        if (const auto star = name.find('*'); star != std::string::npos)
            name[star] = 'x';
        EXPECT_TRUE(check_value(name, *value)) << name;
    }
}

} // namespace
} // namespace liftweir
