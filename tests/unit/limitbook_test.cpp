#include "process/limitbook.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);
const EndpointId Endpoint("i-1", 7);

TEST(LimitBook, TakesTheWordOfTheRequestThatWasSentLast) {
    LimitBook book;
    EXPECT_TRUE(book.heard(Endpoint, 3, Start + seconds(1)));
    EXPECT_FALSE(book.heard(Endpoint, 9, Start));
    EXPECT_EQ(book.limit(Endpoint), 3);
    EXPECT_TRUE(book.heard(Endpoint, 0, Start + seconds(2)));
    EXPECT_FALSE(book.heard(Endpoint, 3, Start + seconds(1)));
    EXPECT_EQ(book.limit(Endpoint), 0);
}

TEST(LimitBook, ALimitIsOfOneStart) {
    LimitBook book;
    book.heard(Endpoint, 3, Start);
    EXPECT_EQ(book.limit(EndpointId("i-1", 8)), 0);
}

TEST(LimitBook, TheEndOfALimitToldLateDoesNotUndoANewerOne) {
    LimitBook book;
    book.heard(Endpoint, 3, Start + milliseconds(100));
    // Said before, and long on its way.
    EXPECT_FALSE(book.merge({Endpoint, 0, 0}, Start + milliseconds(400)));
    EXPECT_EQ(book.limit(Endpoint), 3);
    EXPECT_TRUE(book.merge({Endpoint, 0, 0}, Start + seconds(1)));
    EXPECT_EQ(book.limit(Endpoint), 0);
}

TEST(LimitBook, LastsAsLongAsItsEndpointThoughNobodyAsksIt) {
    LimitBook book;
    book.heard(Endpoint, 3, Start);
    const auto known = [](const EndpointId&) { return true; };
    book.expire(known, Start + std::chrono::hours(1));
    EXPECT_EQ(book.limit(Endpoint), 3);
    book.expire([](const EndpointId&) { return false; }, Start + std::chrono::hours(1));
    EXPECT_TRUE(book.empty());
}

TEST(LimitBook, TellsAnotherProcessWhatItKnows) {
    LimitBook book, other;
    book.heard(Endpoint, 3, Start);
    for (const LimitWord& word : book.words(Start + seconds(2)))
        EXPECT_TRUE(other.merge(word, Start + seconds(2)));
    EXPECT_EQ(other.limit(Endpoint), 3);
    EXPECT_EQ(other.words(Start + seconds(3)), book.words(Start + seconds(3)));
}

} // namespace
} // namespace liftweir
