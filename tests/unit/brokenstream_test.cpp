// Streams that an endpoint breaks off although the HTTP message has come to its end.

#include "unit/relayfakes.h"
#include "unit/streamroute.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

// One call for a stream, with two groups that can serve it.
class BrokenStream : public testing::Test {
  protected:
    void TearDown() override { EXPECT_LE(caller_->ends, 1) << "the response ended twice"; }

    void start(const RouteOptions& options = {}) {
        const Time now = BootClock::now();
        for (const int number : {1, 2}) {
            EndpointReport report = lead_of_group(number, now);
            if (!options.engine)
                report.membership = {};
            host_.directory().registry().merge(report, now);
        }
        CallerRequest request;
        request.model = options.engine ? "model" : "";
        call_ = std::make_shared<RelayedCall>(host_, caller_, request, stream_route(options));
        call_->start();
    }

    // The response of the endpoint that has the request now, to the end of the message.
    void respond(BodyFraming framing, const std::string& body) {
        const CallEvents events = host_.pool().calls.back().events;
        events.on_head(
            {200, {{"Content-Type", media_type_}, {"Response-Signature", "s"}}, framing});
        for (const char byte : body)
            events.on_body({&byte, 1});
        events.on_end(CallEnd::Complete, true);
    }

    std::size_t sends() { return host_.pool().calls.size(); }
    std::string resumed_after() {
        return std::string(find_header(host_.pool().calls.back().head.headers, "Last-Event-Id"));
    }

    std::string media_type_ = "text/event-stream";
    FakeRelayHost host_{AdmissionRefusal::None};
    std::shared_ptr<FakeExchange> caller_ = std::make_shared<FakeExchange>();
    std::shared_ptr<RelayedCall> call_;
};

const std::string First = "id: 1\ndata: one\n\n";
const std::string Second = "id: 2\ndata: two\n\n";

TEST_F(BrokenStream, CloseInsideAnEventIsNotTakenForTheEndOfTheStream) {
    start();
    respond(BodyFraming::ConnectionClose, First + "id: 2\ndata: t");
    ASSERT_EQ(sends(), 2u);
    EXPECT_EQ(resumed_after(), "1");
    EXPECT_EQ(host_.aborts, 1);
    EXPECT_FALSE(caller_->finished);
    respond(BodyFraming::Chunked, Second);
    EXPECT_EQ(caller_->body_sent, First + Second);
    EXPECT_TRUE(caller_->finished);
}

TEST_F(BrokenStream, LastChunkInsideAnEventIsNotTakenForTheEndOfTheStream) {
    start();
    respond(BodyFraming::Chunked, First + "id: 2\n");
    ASSERT_EQ(sends(), 2u);
    respond(BodyFraming::Chunked, Second);
    EXPECT_EQ(caller_->body_sent, First + Second);
    EXPECT_TRUE(caller_->finished);
}

TEST_F(BrokenStream, StreamThatNoGroupCompletesIsAborted) {
    start();
    respond(BodyFraming::ConnectionClose, First + "id: 2");
    respond(BodyFraming::ConnectionClose, Second + "id: 3");
    EXPECT_EQ(sends(), 2u);
    EXPECT_EQ(caller_->body_sent, First + Second);
    EXPECT_FALSE(caller_->finished);
    EXPECT_TRUE(caller_->aborted);
}

TEST_F(BrokenStream, StreamThatMayNotBeRepeatedIsAbortedInsideAnEvent) {
    start({.resumable = false});
    respond(BodyFraming::ConnectionClose, First + "id: 2\ndata: t");
    EXPECT_EQ(sends(), 1u);
    EXPECT_FALSE(caller_->finished);
    EXPECT_TRUE(caller_->aborted);
}

TEST_F(BrokenStream, CloseBeforeTheFirstEventIsNotTakenForAnEmptyStream) {
    start();
    respond(BodyFraming::ConnectionClose, "");
    ASSERT_EQ(sends(), 2u);
    EXPECT_EQ(resumed_after(), "");
    respond(BodyFraming::ConnectionClose, First + Second);
    EXPECT_EQ(caller_->body_sent, First + Second);
    EXPECT_TRUE(caller_->finished);
}

TEST_F(BrokenStream, StreamIsNotResumedAfterAnEventThatNoIdNames) {
    start();
    respond(BodyFraming::ConnectionClose, First + "data: two\n\ndata: th");
    EXPECT_EQ(sends(), 1u);
    EXPECT_TRUE(caller_->aborted);
}

TEST_F(BrokenStream, StreamWithoutIdsIsNotRepeatedFromItsBeginning) {
    start();
    respond(BodyFraming::ConnectionClose, "data: one\n\ndata: t");
    EXPECT_EQ(sends(), 1u);
    EXPECT_TRUE(caller_->aborted);
}

TEST_F(BrokenStream, CommentsWithoutAnIdDoNotPreventAResume) {
    start();
    respond(BodyFraming::ConnectionClose, First + ": keep-alive\n\nretry: 5\n\nid: 2");
    ASSERT_EQ(sends(), 2u);
    EXPECT_EQ(resumed_after(), "1");
}

// Guards against complete streams that are taken for broken ones.
TEST_F(BrokenStream, BlankLinesAndCommentsMayFollowTheLastEvent) {
    for (const std::string rest : {"", "\n", "\r\n", ": done\n", ": a\r\n\n"}) {
        for (const auto framing : {BodyFraming::ConnectionClose, BodyFraming::Length}) {
            caller_ = std::make_shared<FakeExchange>();
            start();
            respond(framing, First + Second + rest);
            EXPECT_TRUE(caller_->finished) << rest;
            EXPECT_EQ(caller_->body_sent, First + Second + rest);
            EXPECT_EQ(host_.aborts, 0);
        }
    }
}

TEST_F(BrokenStream, PartOfACommentIsBrokenOff) {
    start();
    respond(BodyFraming::ConnectionClose, First + ": keep-al");
    EXPECT_FALSE(caller_->finished);
    EXPECT_EQ(sends(), 2u);
}

TEST_F(BrokenStream, LastChunkBeforeTheFirstEventIsNotTakenForAnEmptyStream) {
    start();
    respond(BodyFraming::Chunked, "");
    ASSERT_EQ(sends(), 2u);
    respond(BodyFraming::Chunked, First);
    EXPECT_EQ(caller_->body_sent, First);
    EXPECT_TRUE(caller_->finished);
}

// Guards against a complete stream that is aborted because nothing was left to resume.
TEST_F(BrokenStream, NothingMayFollowTheLastEventOfAResumedStream) {
    start();
    respond(BodyFraming::ConnectionClose, First + "id: 2");
    respond(BodyFraming::Chunked, "");
    EXPECT_EQ(caller_->body_sent, First);
    EXPECT_TRUE(caller_->finished);
}
TEST_F(BrokenStream, MediaTypeInUpperCaseIsAStreamOfEventsToo) {
    start();
    media_type_ = "Text/Event-Stream; charset=utf-8";
    respond(BodyFraming::ConnectionClose, First + "id: 2\ndata: t");
    EXPECT_EQ(sends(), 2u);
    EXPECT_EQ(caller_->body_sent, First);
}
TEST_F(BrokenStream, EndpointThatCompletesItsMessageIsNotReportedAsCrashed) {
    start();
    respond(BodyFraming::Length, First + "id: 2\ndata: t\n");
    EXPECT_EQ(sends(), 2u);
    EXPECT_EQ(host_.aborts, 0);
}
TEST_F(BrokenStream, StreamOfASafeRouteIsNotResumedWithoutTheRoutesConsent) {
    start({.kind = CallKind::Safe, .resumable = false});
    respond(BodyFraming::ConnectionClose, First + "id: 2");
    EXPECT_EQ(sends(), 1u);
    EXPECT_TRUE(caller_->aborted);
}

TEST_F(BrokenStream, SafeRouteIsRepeatedBeforeTheFirstEvent) {
    start({.kind = CallKind::Safe, .resumable = false});
    respond(BodyFraming::ConnectionClose, "id: 1");
    EXPECT_EQ(sends(), 2u);
}
TEST_F(BrokenStream, StreamIsResumedAfterTheLastOfSeveralIdsOfAnEvent) {
    start();
    respond(BodyFraming::ConnectionClose, "id: 1\nid: 2\ndata: x\n\nid: 3");
    ASSERT_EQ(sends(), 2u);
    EXPECT_EQ(resumed_after(), "2");
}
TEST_F(BrokenStream, EmptyStreamIsSentWithALength) {
    start({.engine = false});
    respond(BodyFraming::Chunked, "");
    EXPECT_EQ(caller_->status, 200);
    EXPECT_TRUE(caller_->responded);
    EXPECT_FALSE(caller_->finished);
}
TEST_F(BrokenStream, StreamIsAbortedWhereTheRetryBudgetIsUsedUp) {
    host_.budget("llm").set_share(0);
    start();
    respond(BodyFraming::ConnectionClose, First + "id: 2");
    EXPECT_EQ(sends(), 1u);
    EXPECT_TRUE(caller_->aborted);
}
} // namespace
} // namespace liftweir
