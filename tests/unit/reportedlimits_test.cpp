#include "process/reportedlimits.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);
const EndpointId Endpoint("i-1", 7);

TEST(ReportedLimits, TakesTheWordOfTheRequestThatWasSentLast) {
    ReportedLimits book;
    EXPECT_TRUE(book.add_report(Endpoint, 3, Start + seconds(1)));
    EXPECT_FALSE(book.add_report(Endpoint, 9, Start));
    EXPECT_EQ(book.limit(Endpoint), 3);
    EXPECT_TRUE(book.add_report(Endpoint, 0, Start + seconds(2)));
    EXPECT_FALSE(book.add_report(Endpoint, 3, Start + seconds(1)));
    EXPECT_EQ(book.limit(Endpoint), 0);
}

TEST(ReportedLimits, ALimitIsOfOneStart) {
    ReportedLimits book;
    book.add_report(Endpoint, 3, Start);
    EXPECT_EQ(book.limit(EndpointId("i-1", 8)), 0);
}

TEST(ReportedLimits, TheEndOfALimitToldLateDoesNotUndoANewerOne) {
    ReportedLimits book;
    book.add_report(Endpoint, 3, Start + milliseconds(100));
    // Said before, and long on its way.
    EXPECT_FALSE(book.merge({Endpoint, 0, 0}, Start + milliseconds(400)));
    EXPECT_EQ(book.limit(Endpoint), 3);
    EXPECT_TRUE(book.merge({Endpoint, 0, 0}, Start + seconds(1)));
    EXPECT_EQ(book.limit(Endpoint), 0);
}

TEST(ReportedLimits, LastsAsLongAsItsEndpointThoughNobodyAsksIt) {
    ReportedLimits book;
    book.add_report(Endpoint, 3, Start);
    const auto known = [](const EndpointId&) { return true; };
    book.expire(known, Start + std::chrono::hours(1));
    EXPECT_EQ(book.limit(Endpoint), 3);
    book.expire([](const EndpointId&) { return false; }, Start + std::chrono::hours(1));
    EXPECT_TRUE(book.empty());
}

TEST(ReportedLimits, TellsAnotherProcessWhatItKnows) {
    ReportedLimits book, other;
    book.add_report(Endpoint, 3, Start);
    for (const LimitReport& word : book.reports(Start + seconds(2)))
        EXPECT_TRUE(other.merge(word, Start + seconds(2)));
    EXPECT_EQ(other.limit(Endpoint), 3);
    EXPECT_EQ(other.reports(Start + seconds(3)), book.reports(Start + seconds(3)));
}

} // namespace
} // namespace liftweir
