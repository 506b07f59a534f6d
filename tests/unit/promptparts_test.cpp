// Requests whose prompts share a part that crashes endpoints.

#include "unit/relayfakes.h"
#include "unit/streamroute.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

const std::string Event = "id: 1\ndata: one\n\n";
const std::string SecondEvent = "id: 2\ndata: two\n\n";
const std::vector<Fingerprint> Parts = {fingerprint_of_part("5c1e07a2"),
                                        fingerprint_of_part("e4402b7d")};

// One call for a stream, with two groups that can serve it.
class PromptParts : public testing::Test {
  protected:
    std::shared_ptr<RelayedCall> start(std::shared_ptr<FakeExchange> caller) {
        const Time now = BootClock::now();
        for (const int number : {1, 2})
            host_.directory().registry().merge(lead_of_group(number, now), now);
        CallerRequest request;
        request.model = "model";
        request.shared_parts = Parts;
        const auto call =
            std::make_shared<RelayedCall>(host_, std::move(caller), request, stream_route({}));
        call->start();
        return call;
    }

    // The part crashes three endpoints in requests of other calls.
    void quarantine_part() {
        for (int n = 0; n < 3; ++n)
            host_.quarantine().aborted(AbortedPart{Parts.back(), 0, false},
                                       {"i-" + std::to_string(10 + n), 7},
                                       BootClock::now() + std::chrono::seconds(n));
    }

    CallEvents& endpoint() { return host_.pool().calls.back().events; }
    void begin_response() {
        endpoint().on_head({200,
                            {{"Content-Type", "text/event-stream"}, {"Response-Signature", "s"}},
                            BodyFraming::Chunked});
    }

    FakeRelayHost host_{AdmissionRefusal::None};
    std::shared_ptr<FakeExchange> caller_ = std::make_shared<FakeExchange>();
};

TEST_F(PromptParts, EndpointThatCrashesBeforeItsAnswerMayHaveDoneSoBecauseOfThem) {
    const auto call = start(caller_);
    begin_response();
    endpoint().on_end(CallEnd::Broken, true);
    EXPECT_EQ(host_.suspect_parts, Parts);
    EXPECT_TRUE(host_.answered_parts.empty());
}

// The first event may still come from an endpoint that crashes at the beginning of its answer.
TEST_F(PromptParts, FirstEventDoesNotClearThem) {
    const auto call = start(caller_);
    begin_response();
    endpoint().on_body(Event);
    endpoint().on_end(CallEnd::Broken, true);
    EXPECT_EQ(host_.suspect_parts, Parts);
    EXPECT_TRUE(host_.answered_parts.empty());
}

TEST_F(PromptParts, BegunAnswerClearsThemAlthoughItsEndpointCrashesLater) {
    const auto call = start(caller_);
    begin_response();
    endpoint().on_body(Event + SecondEvent);
    EXPECT_EQ(host_.answered_parts, Parts);
    endpoint().on_end(CallEnd::Broken, true);
    EXPECT_EQ(host_.aborts, 1);
    EXPECT_TRUE(host_.suspect_parts.empty());
}

TEST_F(PromptParts, RequestThatHoldsAQuarantinedPartReachesNoEndpoint) {
    quarantine_part();
    const auto call = start(caller_);
    EXPECT_EQ(caller_->status, 503);
    EXPECT_TRUE(host_.pool().calls.empty());
}

TEST_F(PromptParts, QuarantineOfAPartTakesBackRequestsThatWaitForTheirAnswers) {
    const auto call = start(caller_);
    ASSERT_EQ(host_.pool().calls.size(), 1u);
    quarantine_part();
    call->check_quarantine(BootClock::now());
    EXPECT_EQ(caller_->status, 503);
    EXPECT_TRUE(call->done());
}

} // namespace
} // namespace liftweir
