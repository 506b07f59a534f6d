// Which answers an entry host ends because their callers do not read them.

#include "request/unreadanswers.h"

#include <gtest/gtest.h>

namespace liftweir {

namespace {

constexpr std::size_t Bound = 1000;

Time at(double seconds) {
    return Time{} + std::chrono::hours(1) +
           std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Guards against cutting off callers whose link is blocked by packet loss for 3 s. The first
// retransmission that arrives may come 6 s after the last byte.
TEST(UnreadAnswers, KeepsAnAnswerOverAShortBlockOfItsLink) {
    UnreadAnswers answers(Bound);
    for (double s = 0; s < 6.25; s += 0.25)
        EXPECT_TRUE(answers.measure({{1, 100, 50, false}}, at(s)).empty());
    EXPECT_TRUE(answers.measure({{1, 100, 60, false}}, at(6.25)).empty());
    EXPECT_TRUE(answers.measure({{1, 100, 60, false}}, at(12)).empty());
}

// Guards against a wait for the endpoint's own limit, after which it would have failed the answer.
TEST(UnreadAnswers, EndsAnAnswerThatKeepsItsEndpointWaiting) {
    UnreadAnswers answers(Bound);
    EXPECT_TRUE(answers.measure({{1, 100, 50, false}, {2, 100, 50, true}}, at(0)).empty());
    EXPECT_TRUE(answers.measure({{1, 100, 50, false}, {2, 100, 50, true}}, at(3.75)).empty());
    const auto ended = answers.measure({{1, 100, 50, false}, {2, 100, 50, true}}, at(4));
    ASSERT_EQ(ended.size(), 1u);
    EXPECT_EQ(ended[0], (EndedAnswer{2, UnreadReason::Time, 100, std::chrono::milliseconds(4000)}));
    EXPECT_EQ(answers.bytes(), 100u);
    EXPECT_EQ(answers.measure({{1, 100, 50, false}}, at(6.5)).size(), 1u);
    EXPECT_EQ(answers.bytes(), 0u);
}

// Guards against cutting off a caller that reads little at a time while the endpoint waits for it.
TEST(UnreadAnswers, KeepsAnAnswerThatIsReadSlowly) {
    UnreadAnswers answers(Bound);
    std::uint64_t read = 0;
    for (double s = 0; s < 60; s += 3.5)
        EXPECT_TRUE(answers.measure({{1, Bound, ++read, true}}, at(s)).empty());
}

// Guards against unbounded memory, and against ending answers that are being read to get it.
TEST(UnreadAnswers, AboveTheBoundEndsTheLongestUnreadFirst) {
    UnreadAnswers answers(Bound);
    EXPECT_TRUE(answers.measure({{1, 300, 0, false}}, at(0)).empty());
    EXPECT_TRUE(answers.measure({{1, 300, 0, false}, {2, 300, 0, false}}, at(1)).empty());
    EXPECT_TRUE(answers.measure({{1, 300, 1, false}, {2, 300, 0, false}, {3, 300, 0, false}}, at(2))
                    .empty());
    const std::vector<UnreadAnswer> more = {
        {1, 300, 2, false}, {2, 300, 0, false}, {3, 300, 0, false}, {4, 700, 0, false}};
    const auto ended = answers.measure(more, at(4));
    ASSERT_EQ(ended.size(), 2u);
    EXPECT_EQ(ended[0].id, 2u);
    EXPECT_EQ(ended[1].id, 3u);
    EXPECT_EQ(ended[0].reason, UnreadReason::Memory);
    EXPECT_EQ(answers.bytes(), Bound);
}

// Guards against ending answers of callers that read, for a moment in which they hold much.
TEST(UnreadAnswers, KeepsAnswersThatWereJustReadUpToTwiceTheBound) {
    UnreadAnswers answers(Bound);
    EXPECT_TRUE(answers.measure({{1, 1000, 0, false}, {2, 1000, 0, false}}, at(0)).empty());
    EXPECT_TRUE(answers.measure({{1, 1000, 1, false}, {2, 1000, 1, false}}, at(0.75)).empty());
    EXPECT_EQ(answers.measure({{1, 1000, 1, false}, {2, 1000, 2, false}, {3, 1, 0, false}}, at(0.8))
                  .size(),
              1u);
    EXPECT_EQ(answers.bytes(), 1001u);
}

// Guards against an answer that inherits the time of an earlier one on its connection.
TEST(UnreadAnswers, ForgetsAnswersThatAreRead) {
    UnreadAnswers answers(Bound);
    answers.measure({{1, 100, 50, true}}, at(0));
    answers.measure({}, at(3));
    EXPECT_TRUE(answers.measure({{1, 100, 50, true}}, at(5)).empty());
    EXPECT_TRUE(answers.measure({{1, 100, 50, true}}, at(8)).empty());
}

} // namespace

} // namespace liftweir
