#include "process/quarantine.h"
#include "version/state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace liftweir {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(1000);
const Fingerprint Poison{1, 1};
const Fingerprint Other{2, 2};

// What the endpoint broke off, long after it was sent there.
AbortedRequest old(const Fingerprint& content) {
    return {content, 60000};
}

EndpointId endpoint(std::size_t n) {
    return {"i-" + std::to_string(n), 5};
}

// Ends so many endpoints, one a second, and returns when the last one ended.
Time end_some(Quarantine& quarantine, std::size_t count, std::size_t first = 0) {
    Time now = Start;
    for (std::size_t n = first; n < first + count; ++n)
        quarantine.aborted(old(Poison), endpoint(n), now = Start + seconds(n));
    return now;
}

TEST(Quarantine, HoldsBackWhatHasEndedThreeEndpoints) {
    Quarantine quarantine;
    EXPECT_FALSE(quarantine.aborted(old(Poison), endpoint(0), Start));
    EXPECT_FALSE(quarantine.aborted(old(Poison), endpoint(1), Start + seconds(1)));
    EXPECT_EQ(quarantine.left(Poison, Start + seconds(1)), Duration::zero());
    EXPECT_TRUE(quarantine.aborted(old(Poison), endpoint(2), Start + seconds(2)));
    EXPECT_GT(quarantine.left(Poison, Start + seconds(2)), minutes(9));
    EXPECT_EQ(quarantine.left(Other, Start + seconds(2)), Duration::zero());
    EXPECT_EQ(quarantine.held(Start + seconds(2)), 1u);
}

TEST(Quarantine, OneEndIsCountedOnceWhoeverTellsOfIt) {
    Quarantine quarantine;
    for (int n = 0; n < 9; ++n)
        quarantine.aborted(old(Poison), endpoint(0), Start + seconds(n));
    EXPECT_EQ(quarantine.suspicion(Poison, Start).ends, 1u);
}

TEST(Quarantine, AnEndpointThatStartsAgainUnderItsNameIsAnotherOne) {
    Quarantine quarantine;
    for (std::uint64_t start = 1; start <= 3; ++start)
        quarantine.aborted(old(Poison), {"i-0", start}, Start + seconds(start));
    EXPECT_GT(quarantine.left(Poison, Start + seconds(3)), Duration::zero());
}

// Whether the request is held back after so many endpoints ended because of it, `apart` from each
// other.
bool is_held_after(std::size_t ends, const AbortedRequest& what, Duration apart) {
    Quarantine quarantine;
    for (std::size_t n = 0; n < ends; ++n)
        quarantine.aborted(what, endpoint(n), Start + static_cast<int>(n) * apart);
    return quarantine.left(Poison, Start + seconds(1)) > Duration::zero();
}

TEST(Quarantine, EndpointsThatEndTogetherHaveOneCause) {
    EXPECT_FALSE(is_held_after(6, old(Poison), milliseconds(3)));
}

// Sent again within a try: the second endpoint got it when the first had ended because of it.
TEST(Quarantine, AnEndAfterItWasSentAgainIsAnotherOneHoweverSoon) {
    EXPECT_TRUE(is_held_after(3, {Poison, 9}, milliseconds(10)));
}

TEST(Quarantine, CopiesThatEndOneEndpointAfterTheOtherAreNotOneCause) {
    EXPECT_TRUE(is_held_after(10, old(Poison), milliseconds(20)));
}

TEST(Quarantine, AWholeAnswerClears) {
    Quarantine quarantine;
    const Time last = end_some(quarantine, 2);
    EXPECT_TRUE(quarantine.clear(Poison));
    EXPECT_FALSE(quarantine.clear(Poison));
    EXPECT_FALSE(quarantine.aborted(old(Poison), endpoint(7), last + seconds(1)));
    EXPECT_EQ(quarantine.suspicion(Poison, last).ends, 1u);
}

TEST(Quarantine, LateWordsOfEndsBeforeAnAnswerChangeNothing) {
    Quarantine quarantine;
    const Time last = end_some(quarantine, 3);
    const SuspectRequest before = quarantine.suspicion(Poison, last);
    quarantine.clear(Poison);
    for (std::size_t n = 0; n < 3; ++n)
        EXPECT_FALSE(quarantine.aborted(old(Poison), endpoint(n), last + seconds(n + 1)));
    EXPECT_FALSE(quarantine.merge(before, last + seconds(4)));
    EXPECT_FALSE(quarantine.is_suspect(Poison));
    EXPECT_EQ(quarantine.left(Poison, last), Duration::zero());
}

// Three runs more, in a day, than it takes to know the request.
TEST(Quarantine, WhoComesBackAfterItsTimeIsHeldBackForLonger) {
    Quarantine quarantine;
    Time now = end_some(quarantine, 3);
    int more = 0;
    const Time end = now + hours(24);
    for (std::size_t n = 3; now < end; now += seconds(20)) {
        quarantine.expire(now);
        if (quarantine.left(Poison, now) > Duration::zero())
            continue;
        quarantine.aborted(old(Poison), endpoint(n++), now);
        ++more;
    }
    EXPECT_LE(more, 3);
}

TEST(Quarantine, ForgetsWhatEndedNobodyForLong) {
    Quarantine quarantine;
    Time now = end_some(quarantine, 2);
    quarantine.expire(now + minutes(9));
    EXPECT_TRUE(quarantine.is_suspect(Poison));
    quarantine.expire(now + minutes(11));
    EXPECT_TRUE(quarantine.empty());
}

TEST(Quarantine, IsBoundedAndKeepsTheGraveOnes) {
    Quarantine quarantine;
    const Time last = end_some(quarantine, 3);
    for (std::uint64_t n = 0; n < 10000; ++n)
        quarantine.aborted(old({n, 77}), endpoint(n), last + milliseconds(n));
    EXPECT_LE(quarantine.size(), 4096u);
    EXPECT_GT(quarantine.left(Poison, last), Duration::zero());
}

TEST(Quarantine, TellsOthersOnlyOfThoseThatEndedMoreThanOne) {
    Quarantine quarantine;
    const Time last = end_some(quarantine, 3);
    quarantine.aborted(old(Other), endpoint(2), last);
    const std::vector<SuspectRequest> told = quarantine.suspects_to_send(last);
    ASSERT_EQ(told.size(), 1u);
    Quarantine newcomer;
    EXPECT_TRUE(newcomer.merge(told.front(), last));
    EXPECT_FALSE(newcomer.merge(told.front(), last));
    EXPECT_EQ(newcomer.left(Poison, last), quarantine.left(Poison, last));
}

// Entry hosts see some of the ends each, and tell all control hosts.
RC_GTEST_PROP(Quarantine, HostsThatHaveHeardOfThreeEndsHoldItBackInAnyOrder, ()) {
    const auto ends = *rc::gen::inRange<std::size_t>(3, 8);
    std::vector<std::size_t> words(2 * ends);
    std::iota(words.begin(), words.end(), 0);
    const auto keys =
        *rc::gen::container<std::vector<int>>(words.size(), rc::gen::arbitrary<int>());
    std::sort(words.begin(), words.end(), [&](std::size_t a, std::size_t b) {
        return std::pair(keys[a], a) < std::pair(keys[b], b);
    });
    Quarantine quarantine;
    Time now = Start;
    for (const std::size_t word : words) {
        now += milliseconds(*rc::gen::inRange(50, 3000));
        const std::size_t which = word % ends;
        quarantine.aborted(old(Poison), endpoint(which), now);
        quarantine.aborted(old({which / 2, 9}), endpoint(which), now);
    }
    RC_ASSERT(quarantine.left(Poison, now) > Duration::zero());
    for (std::uint64_t n = 0; n < ends; ++n)
        RC_ASSERT(quarantine.left({n, 9}, now) == Duration::zero());
}

// Two ledgers that tell each other end up the same.
RC_GTEST_PROP(Quarantine, HostsThatTellEachOtherAgree, ()) {
    Quarantine a, b;
    Time now = Start;
    for (std::size_t n = 0; n < 6; ++n) {
        now += seconds(1);
        const bool at_a = *rc::gen::arbitrary<bool>();
        (at_a ? a : b).aborted(old(Poison), endpoint(n), now);
        const bool tells = *rc::gen::arbitrary<bool>();
        if (tells && a.suspicion(Poison, now).ends > 0)
            b.merge(a.suspicion(Poison, now), now);
    }
    b.merge(a.suspicion(Poison, now), now);
    a.merge(b.suspicion(Poison, now), now);
    RC_ASSERT(a.left(Poison, now) == b.left(Poison, now));
    RC_ASSERT(a.suspicion(Poison, now).ends == b.suspicion(Poison, now).ends);
}

TEST(Fingerprint, IsTheSameForTheSameRequestAndNoOther) {
    const RequestContent content{"big", "POST", "a.example", "/p/x", "body"};
    const Fingerprint one = fingerprint_of(content);
    EXPECT_EQ(one, fingerprint_of(content));
    EXPECT_EQ(text_of(one).size(), 32u);
    EXPECT_NE(one, fingerprint_of({"small", "POST", "a.example", "/p/x", "body"}));
    EXPECT_NE(one, fingerprint_of({"big", "POST", "a.example", "/p/xb", "ody"}));
    EXPECT_NE(one, fingerprint_of({"big", "POST", "a.example", "/p/x", "body "}));
}

QuarantineRequest held(std::uint64_t n, std::int64_t until_ms, std::int64_t now_ms = 1000) {
    return {{n, n}, 3, until_ms, now_ms};
}

TEST(State, QuarantineOutlivesASnapshotAndIsLiftedByAnAnswer) {
    State state;
    state.apply(1, held(1, 9000));
    state.apply(2, held(2, 9000));
    const auto loaded = State::load(state.save());
    ASSERT_TRUE(loaded);
    EXPECT_EQ(loaded->quarantined(), state.quarantined());
    EXPECT_EQ(state.quarantined().size(), 2u);
    state.apply(3, held(2, 0));
    EXPECT_FALSE(state.quarantined().contains({2, 2}));
    state.apply(4, held(3, 20000, 9500));
    EXPECT_EQ(state.quarantined().size(), 1u) << "those whose time is over make room";
}

TEST(State, QuarantineIsBounded) {
    State state;
    for (std::uint64_t n = 1; n <= 3000; ++n)
        state.apply(n, held(n, static_cast<std::int64_t>(100000 + n)));
    EXPECT_LE(state.quarantined().size(), 1024u);
    EXPECT_TRUE(state.quarantined().contains({3000, 3000}));
}

} // namespace
} // namespace liftweir
