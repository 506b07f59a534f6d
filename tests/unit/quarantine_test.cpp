// Tests of the quarantine for requests and parts of prompts that crash endpoints.

#include "process/quarantine.h"
#include "request/answeredparts.h"
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

// A request that the endpoint aborted long after it was sent.
AbortedRequest aborted_late(const Fingerprint& content) {
    return {content, 60000};
}

EndpointId endpoint(std::size_t n) {
    return {"i-" + std::to_string(n), 5};
}

// Crashes `count` endpoints, one per second, and returns the time of the last crash.
Time crash_endpoints(Quarantine& quarantine, std::size_t count, std::size_t first = 0) {
    Time now = Start;
    for (std::size_t n = first; n < first + count; ++n)
        quarantine.aborted(aborted_late(Poison), endpoint(n), now = Start + seconds(n));
    return now;
}

TEST(Quarantine, QuarantinesARequestAfterThreeCrashes) {
    Quarantine quarantine;
    EXPECT_FALSE(quarantine.aborted(aborted_late(Poison), endpoint(0), Start));
    EXPECT_FALSE(quarantine.aborted(aborted_late(Poison), endpoint(1), Start + seconds(1)));
    EXPECT_EQ(quarantine.remaining(Poison, Start + seconds(1)), Duration::zero());
    EXPECT_TRUE(quarantine.aborted(aborted_late(Poison), endpoint(2), Start + seconds(2)));
    EXPECT_GT(quarantine.remaining(Poison, Start + seconds(2)), minutes(9));
    EXPECT_EQ(quarantine.remaining(Other, Start + seconds(2)), Duration::zero());
    EXPECT_EQ(quarantine.quarantined_count(Start + seconds(2)), 1u);
}

TEST(Quarantine, CountsACrashOnceWhicheverHostReportsIt) {
    Quarantine quarantine;
    for (int n = 0; n < 9; ++n)
        quarantine.aborted(aborted_late(Poison), endpoint(0), Start + seconds(n));
    EXPECT_EQ(quarantine.suspect_request(Poison, Start).crashes, 1u);
}

TEST(Quarantine, IncarnationsUnderOneNameCountSeparately) {
    Quarantine quarantine;
    for (std::uint64_t start = 1; start <= 3; ++start)
        quarantine.aborted(aborted_late(Poison), {"i-0", start}, Start + seconds(start));
    EXPECT_GT(quarantine.remaining(Poison, Start + seconds(3)), Duration::zero());
}

// Returns whether the request is quarantined after it crashed `ends` endpoints at intervals of
// `apart`.
bool is_quarantined_after(std::size_t ends, const AbortedRequest& request, Duration apart) {
    Quarantine quarantine;
    for (std::size_t n = 0; n < ends; ++n)
        quarantine.aborted(request, endpoint(n), Start + static_cast<int>(n) * apart);
    return quarantine.remaining(Poison, Start + seconds(1)) > Duration::zero();
}

TEST(Quarantine, SimultaneousCrashesHaveOneCause) {
    EXPECT_FALSE(is_quarantined_after(6, aborted_late(Poison), milliseconds(3)));
}

// The request was retried within an attempt: the second endpoint received it after the first had
// crashed.
TEST(Quarantine, ACrashAfterARetryCountsHoweverSoon) {
    EXPECT_TRUE(is_quarantined_after(3, {Poison, 9}, milliseconds(10)));
}

TEST(Quarantine, CopiesThatCrashEndpointsOneByOneAreNotOneCause) {
    EXPECT_TRUE(is_quarantined_after(10, aborted_late(Poison), milliseconds(20)));
}

TEST(Quarantine, ACompleteAnswerClears) {
    Quarantine quarantine;
    const Time last = crash_endpoints(quarantine, 2);
    EXPECT_TRUE(quarantine.clear(Poison));
    EXPECT_FALSE(quarantine.clear(Poison));
    EXPECT_FALSE(quarantine.aborted(aborted_late(Poison), endpoint(7), last + seconds(1)));
    EXPECT_EQ(quarantine.suspect_request(Poison, last).crashes, 1u);
}

TEST(Quarantine, IgnoresDelayedReportsOfCrashesBeforeAnAnswer) {
    Quarantine quarantine;
    const Time last = crash_endpoints(quarantine, 3);
    const SuspectRequest before = quarantine.suspect_request(Poison, last);
    quarantine.clear(Poison);
    for (std::size_t n = 0; n < 3; ++n)
        EXPECT_FALSE(quarantine.aborted(aborted_late(Poison), endpoint(n), last + seconds(n + 1)));
    EXPECT_FALSE(quarantine.merge(before, last + seconds(4)));
    EXPECT_FALSE(quarantine.is_suspect(Poison));
    EXPECT_EQ(quarantine.remaining(Poison, last), Duration::zero());
}

// Within a day, a quarantined request crashes at most three more endpoints.
TEST(Quarantine, RepeatedCrashesProlongTheQuarantine) {
    Quarantine quarantine;
    Time now = crash_endpoints(quarantine, 3);
    int more = 0;
    const Time end = now + hours(24);
    for (std::size_t n = 3; now < end; now += seconds(20)) {
        quarantine.expire(now);
        if (quarantine.remaining(Poison, now) > Duration::zero())
            continue;
        quarantine.aborted(aborted_late(Poison), endpoint(n++), now);
        ++more;
    }
    EXPECT_LE(more, 3);
}

TEST(Quarantine, ForgetsRequestsWithoutRecentCrashes) {
    Quarantine quarantine;
    Time now = crash_endpoints(quarantine, 2);
    quarantine.expire(now + minutes(9));
    EXPECT_TRUE(quarantine.is_suspect(Poison));
    quarantine.expire(now + minutes(11));
    EXPECT_TRUE(quarantine.empty());
}

TEST(Quarantine, IsBoundedAndKeepsRequestsWithManyCrashes) {
    Quarantine quarantine;
    const Time last = crash_endpoints(quarantine, 3);
    for (std::uint64_t n = 0; n < 10000; ++n)
        quarantine.aborted(aborted_late({n, 77}), endpoint(n), last + milliseconds(n));
    EXPECT_LE(quarantine.size(), 4096u);
    EXPECT_GT(quarantine.remaining(Poison, last), Duration::zero());
}

TEST(Quarantine, ReportsOnlyRequestsThatCrashedMoreThanOneEndpoint) {
    Quarantine quarantine;
    const Time last = crash_endpoints(quarantine, 3);
    quarantine.aborted(aborted_late(Other), endpoint(2), last);
    const std::vector<SuspectRequest> report = quarantine.suspects_to_send(last);
    ASSERT_EQ(report.size(), 1u);
    Quarantine newcomer;
    EXPECT_TRUE(newcomer.merge(report.front(), last));
    EXPECT_FALSE(newcomer.merge(report.front(), last));
    EXPECT_EQ(newcomer.remaining(Poison, last), quarantine.remaining(Poison, last));
}

// Each entry host sees some of the crashes and reports them to all control hosts.
RC_GTEST_PROP(Quarantine, HostsThatReceiveThreeCrashesQuarantineInAnyOrder, ()) {
    const auto ends = *rc::gen::inRange<std::size_t>(3, 8);
    std::vector<std::size_t> messages(2 * ends);
    std::iota(messages.begin(), messages.end(), 0);
    const auto keys =
        *rc::gen::container<std::vector<int>>(messages.size(), rc::gen::arbitrary<int>());
    std::sort(messages.begin(), messages.end(), [&](std::size_t a, std::size_t b) {
        return std::pair(keys[a], a) < std::pair(keys[b], b);
    });
    Quarantine quarantine;
    Time now = Start;
    for (const std::size_t message : messages) {
        now += milliseconds(*rc::gen::inRange(50, 3000));
        const std::size_t which = message % ends;
        quarantine.aborted(aborted_late(Poison), endpoint(which), now);
        quarantine.aborted(aborted_late({which / 2, 9}), endpoint(which), now);
    }
    RC_ASSERT(quarantine.remaining(Poison, now) > Duration::zero());
    for (std::uint64_t n = 0; n < ends; ++n)
        RC_ASSERT(quarantine.remaining({n, 9}, now) == Duration::zero());
}

// Two hosts that exchange their records converge.
RC_GTEST_PROP(Quarantine, HostsThatExchangeRecordsAgree, ()) {
    Quarantine a, b;
    Time now = Start;
    for (std::size_t n = 0; n < 6; ++n) {
        now += seconds(1);
        const bool at_a = *rc::gen::arbitrary<bool>();
        (at_a ? a : b).aborted(aborted_late(Poison), endpoint(n), now);
        const bool exchanges = *rc::gen::arbitrary<bool>();
        if (exchanges && a.suspect_request(Poison, now).crashes > 0)
            b.merge(a.suspect_request(Poison, now), now);
    }
    b.merge(a.suspect_request(Poison, now), now);
    a.merge(b.suspect_request(Poison, now), now);
    RC_ASSERT(a.remaining(Poison, now) == b.remaining(Poison, now));
    RC_ASSERT(a.suspect_request(Poison, now).crashes == b.suspect_request(Poison, now).crashes);
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

const Fingerprint Part = fingerprint_of_part("e4402b7d");

AbortedPart aborted_part(bool answered) {
    return {Part, 60000, answered};
}

// Crashes `count` endpoints, one per second, with requests that share the part.
Time crash_with_part(Quarantine& quarantine, std::size_t count, bool answered,
                     std::size_t first = 0) {
    Time now = Start;
    for (std::size_t n = first; n < first + count; ++n)
        quarantine.aborted(aborted_part(answered), endpoint(n), now = Start + seconds(n));
    return now;
}

TEST(PromptPart, IsQuarantinedAfterThreeCrashesOfDifferentRequests) {
    Quarantine quarantine;
    Time now = crash_with_part(quarantine, 2, false);
    EXPECT_EQ(quarantine.remaining(Part, now), Duration::zero());
    now = crash_with_part(quarantine, 1, false, 2);
    EXPECT_GT(quarantine.remaining(Part, now), minutes(9));
}

// Sound parts occur together with the one that crashes endpoints.
TEST(PromptPart, NeedsMoreCrashesWhereItWasAnsweredBefore) {
    Quarantine quarantine;
    Time now = crash_with_part(quarantine, 4, true);
    EXPECT_EQ(quarantine.remaining(Part, now), Duration::zero());
    now = crash_with_part(quarantine, 1, true, 4);
    EXPECT_GT(quarantine.remaining(Part, now), seconds(50));
    now = crash_with_part(quarantine, 1, true, 5);
    EXPECT_GT(quarantine.remaining(Part, now), minutes(9));
}

TEST(PromptPart, IsReleasedWhereAnotherHostHadSeenItAnswered) {
    Quarantine quarantine;
    const Time now = crash_with_part(quarantine, 3, false);
    const SuspectRequest before = quarantine.suspect_request(Part, now);
    EXPECT_TRUE(quarantine.note_answered(Part, now));
    EXPECT_TRUE(quarantine.clear(Part));
    EXPECT_FALSE(quarantine.merge(before, now));
    EXPECT_EQ(quarantine.remaining(Part, now), Duration::zero());
    EXPECT_FALSE(quarantine.note_answered(Other, now));
}

TEST(PromptPart, DecisionOfAHostThatDoesNotKnowOfTheAnswersIsNotAdopted) {
    Quarantine hasty, informed;
    const Time now = crash_with_part(hasty, 3, false);
    crash_with_part(informed, 1, true);
    EXPECT_FALSE(informed.merge(hasty.suspect_request(Part, now), now));
    EXPECT_EQ(informed.remaining(Part, now), Duration::zero());
    crash_with_part(hasty, 2, false, 3);
    EXPECT_TRUE(informed.merge(hasty.suspect_request(Part, now), now));
}

TEST(PromptPart, AnAnswerForgetsTheCrashes) {
    Quarantine quarantine;
    Time now = crash_with_part(quarantine, 2, false);
    EXPECT_TRUE(quarantine.clear(Part));
    now = crash_with_part(quarantine, 2, false, 2);
    EXPECT_EQ(quarantine.remaining(Part, now), Duration::zero());
    now = crash_with_part(quarantine, 1, false, 4);
    EXPECT_GT(quarantine.remaining(Part, now), Duration::zero());
}

TEST(PromptPart, IsTheSameHoweverItsIdIsWritten) {
    EXPECT_EQ(Part, fingerprint_of_part("E4402B7D"));
    EXPECT_EQ(Part, fingerprint_of_part("00e4402b7d"));
    EXPECT_EQ(text_of(Part), "part:e4402b7d");
    EXPECT_TRUE(is_prompt_part(Part));
    EXPECT_FALSE(is_prompt_part(Poison));
    const std::string long_id(40, 'a');
    EXPECT_TRUE(is_prompt_part(fingerprint_of_part(long_id)));
    EXPECT_NE(fingerprint_of_part(long_id), fingerprint_of_part(long_id + "b"));
    EXPECT_NE(fingerprint_of_part("not a number"), fingerprint_of_part("another"));
}

TEST(AnsweredParts, ForgetsPartsAfterMinutesAndIsBounded) {
    AnsweredParts answered;
    answered.add(Part, Start);
    EXPECT_TRUE(answered.contains(Part));
    answered.add(Other, Start + minutes(6));
    EXPECT_TRUE(answered.contains(Part));
    answered.add(Other, Start + minutes(12));
    EXPECT_FALSE(answered.contains(Part));
    for (std::uint64_t n = 0; n < 10000; ++n)
        answered.add({n, n}, Start + minutes(12));
    EXPECT_FALSE(answered.contains({0, 0}));
    EXPECT_TRUE(answered.contains({9999, 9999}));
}

QuarantineRequest held(std::uint64_t n, std::int64_t until_ms, std::int64_t now_ms = 1000) {
    return {{n, n}, 3, until_ms, now_ms};
}

TEST(State, QuarantineSurvivesASnapshotAndIsLiftedByAnAnswer) {
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
    EXPECT_EQ(state.quarantined().size(), 1u) << "records whose time is over are evicted";
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
