// Tests of the rate limits that endpoints report.

#include "process/reportedlimits.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);
const EndpointId Endpoint("i-1", 7);

TEST(ReportedLimits, KeepsTheReportForTheLatestRequest) {
    ReportedLimits limits;
    EXPECT_TRUE(limits.add_report(Endpoint, 3, Start + seconds(1)));
    EXPECT_FALSE(limits.add_report(Endpoint, 9, Start));
    EXPECT_EQ(limits.limit(Endpoint), 3);
    EXPECT_TRUE(limits.add_report(Endpoint, 0, Start + seconds(2)));
    EXPECT_FALSE(limits.add_report(Endpoint, 3, Start + seconds(1)));
    EXPECT_EQ(limits.limit(Endpoint), 0);
}

TEST(ReportedLimits, ALimitBelongsToOneIncarnation) {
    ReportedLimits limits;
    limits.add_report(Endpoint, 3, Start);
    EXPECT_EQ(limits.limit(EndpointId("i-1", 8)), 0);
}

TEST(ReportedLimits, ADelayedEndOfALimitDoesNotUndoANewerLimit) {
    ReportedLimits limits;
    limits.add_report(Endpoint, 3, Start + milliseconds(100));
    // The end was reported before the limit, and its message was delayed.
    EXPECT_FALSE(limits.merge({Endpoint, 0, 0}, Start + milliseconds(400)));
    EXPECT_EQ(limits.limit(Endpoint), 3);
    EXPECT_TRUE(limits.merge({Endpoint, 0, 0}, Start + seconds(1)));
    EXPECT_EQ(limits.limit(Endpoint), 0);
}

TEST(ReportedLimits, KeepsALimitAsLongAsItsEndpointExists) {
    ReportedLimits limits;
    limits.add_report(Endpoint, 3, Start);
    const auto known = [](const EndpointId&) { return true; };
    limits.expire(known, Start + std::chrono::hours(1));
    EXPECT_EQ(limits.limit(Endpoint), 3);
    limits.expire([](const EndpointId&) { return false; }, Start + std::chrono::hours(1));
    EXPECT_TRUE(limits.empty());
}

TEST(ReportedLimits, SharesItsReportsWithAnotherProcess) {
    ReportedLimits limits, other;
    limits.add_report(Endpoint, 3, Start);
    for (const LimitReport& report : limits.reports(Start + seconds(2)))
        EXPECT_TRUE(other.merge(report, Start + seconds(2)));
    EXPECT_EQ(other.limit(Endpoint), 3);
    EXPECT_EQ(other.reports(Start + seconds(3)), limits.reports(Start + seconds(3)));
}

} // namespace
} // namespace liftweir
