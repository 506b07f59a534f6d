#include "request/callerwait.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);
constexpr Duration Limit = seconds(6);

TEST(CallerWaitEstimator, CallerWithAShorterLimitThanTheOthersHasWaited) {
    CallerWaitEstimator waits;
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(waits.waited("r", milliseconds(5950), Limit, Start + milliseconds(i * 100)),
                  Duration::zero());
    const Time later = Start + seconds(12);
    EXPECT_EQ(waits.waited("r", milliseconds(5940), Limit, later), Duration::zero());
    EXPECT_EQ(waits.waited("r", milliseconds(4950), Limit, later), milliseconds(1000));
    EXPECT_EQ(waits.waited("r", milliseconds(900), Limit, later), Duration::zero());
}

// Right after the start of the process only the configured timeout is known.
TEST(CallerWaitEstimator, RouteTimeoutIsUsedUntilCallersWereCounted) {
    CallerWaitEstimator waits;
    EXPECT_EQ(waits.waited("r", milliseconds(4500), Limit, Start), milliseconds(1500));
    EXPECT_EQ(waits.waited("r", milliseconds(5990), Limit, Start), Duration::zero());
}

TEST(CallerWaitEstimator, CallersWithDifferentLimitsHaveNotWaited) {
    CallerWaitEstimator waits;
    const auto limit_of = [](int i) { return milliseconds(3000 + (i * 7919) % 3000); };
    for (int i = 0; i < 300; ++i)
        (void)waits.waited("r", limit_of(i), Limit, Start + milliseconds(i * 50));
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(waits.waited("r", limit_of(i), Limit, Start + seconds(16) + milliseconds(i)),
                  Duration::zero());
}

TEST(CallerWaitEstimator, LimitShortByLessThanTheMinRetryDelayMeansNoWait) {
    CallerWaitEstimator waits;
    for (int i = 0; i < 200; ++i) {
        const auto time_limit = milliseconds(5150 + (i * 7919) % 850);
        EXPECT_EQ(waits.waited("often", time_limit, Limit, Start + milliseconds(i * 40)),
                  Duration::zero());
        EXPECT_EQ(waits.waited("seldom", time_limit, Limit, Start + seconds(i)), Duration::zero());
    }
    // Callers that return after the Retry-After of a second are recognised by their shorter limit.
    EXPECT_GE(waits.waited("new", milliseconds(4500), Limit, Start),
              CallerWaitEstimator::MinRetryDelay);
}

TEST(CallerWaitEstimator, LimitIsLearnedOnARouteWithFewCalls) {
    CallerWaitEstimator waits;
    const auto limit_of = [](int i) { return milliseconds(6800 + (i * 7919) % 1200); };
    for (int i = 0; i < 45; ++i)
        (void)waits.waited("r", limit_of(i), seconds(8), Start + seconds(i));
    for (int i = 45; i < 145; ++i)
        EXPECT_EQ(waits.waited("r", limit_of(i), seconds(8), Start + seconds(i)), Duration::zero());
}

TEST(CallerWaitEstimator, LimitBelowTheRouteTimeoutIsLearned) {
    CallerWaitEstimator waits;
    for (int i = 0; i < 100; ++i)
        (void)waits.waited("r", seconds(4), Limit, Start + milliseconds(i * 110));
    EXPECT_EQ(waits.waited("r", seconds(4), Limit, Start + seconds(12)), Duration::zero());
}

} // namespace
} // namespace liftweir
