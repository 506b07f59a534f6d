// Endpoints that send bytes without end: each response that is held has a bound, and so have all of
// them together.

#include "connection/memorybudget.h"
#include "unit/relayfakes.h"
#include "unit/streamroute.h"

#include <gtest/gtest.h>

#include <vector>

namespace liftweir {
namespace {

constexpr std::size_t Mebibyte = 1u << 20;

TEST(MemoryBudget, EndlessResponsesLeaveRoomForTheNextOne) {
    for (const std::size_t endless : {1u, 10u, 1000u}) {
        MemoryBudget memory(64 * Mebibyte);
        std::vector<std::size_t> held(endless, 0);
        bool growing = true;
        while (growing) {
            growing = false;
            for (std::size_t& bytes : held) {
                if (!memory.allows(bytes + 8192))
                    continue;
                memory.change(bytes, bytes + 8192);
                bytes += 8192;
                growing = true;
            }
        }
        EXPECT_LE(memory.held(), 64 * Mebibyte);
        EXPECT_TRUE(memory.allows(16384)) << endless;
    }
}

TEST(MemoryBudget, IsFreeAgainOnceAResponseHasEnded) {
    MemoryBudget memory(Mebibyte);
    memory.change(0, Mebibyte);
    EXPECT_FALSE(memory.allows(1));
    memory.change(Mebibyte, 0);
    EXPECT_TRUE(memory.allows(Mebibyte));
    EXPECT_FALSE(memory.allows(Mebibyte + 1));
}

class EndlessResponse : public testing::Test {
  protected:
    std::shared_ptr<FakeExchange> start(const RouteOptions& options = {}) {
        const Time now = BootClock::now();
        for (const int number : {1, 2})
            host_.directory().registry().merge(lead_of_group(number, now), now);
        auto caller = std::make_shared<FakeExchange>();
        CallerRequest request;
        request.model = "model";
        calls_.push_back(
            std::make_shared<RelayedCall>(host_, caller, request, stream_route(options)));
        calls_.back()->start();
        return caller;
    }

    // Sends a piece of the response to the present attempt until the next attempt or the end.
    void send_endlessly(const FakeExchange& caller, const std::string& type,
                        const std::string& piece, std::size_t most) {
        const std::size_t attempts = host_.pool().calls.size();
        const CallEvents events = host_.pool().calls.back().events;
        events.on_head({200, {{"Content-Type", type}, {"Response-Signature", "s"}}, {}});
        for (std::size_t sent = 0; sent < most; sent += piece.size()) {
            if (caller.ends > 0 || host_.pool().calls.size() > attempts)
                return;
            events.on_body(piece);
        }
        FAIL() << "the attempt goes on after " << most << " bytes";
    }

    FakeRelayHost host_{AdmissionRefusal::None};
    std::vector<std::shared_ptr<RelayedCall>> calls_;
};

class StreamWithoutData : public EndlessResponse,
                          public testing::WithParamInterface<std::string> {};

TEST_P(StreamWithoutData, GoesOnElsewhere) {
    const auto caller = start();
    std::string pieces;
    while (pieces.size() < 8192)
        pieces += GetParam();
    send_endlessly(*caller, "text/event-stream", pieces, 4 * Mebibyte);
    EXPECT_EQ(host_.memory.held(), 0u);
    EXPECT_EQ(caller->ends, 0);
    calls_.back()->abandon();
}

INSTANTIATE_TEST_SUITE_P(Pieces, StreamWithoutData,
                         testing::Values("\n\n", ": comment\n\n", "retry: 1\n\n"));

TEST_F(EndlessResponse, EndpointThatSendsItIsAvoided) {
    const auto caller = start();
    const EndpointId first{"i-1", 7};
    const EndpointId second{"i-2", 7};
    send_endlessly(*caller, "text/event-stream", std::string(8192, 'a'), 4 * Mebibyte);
    const Time now = BootClock::now();
    EXPECT_TRUE(host_.directory().use(first).avoided(now) ||
                host_.directory().use(second).avoided(now));
    calls_.back()->abandon();
}

TEST_F(EndlessResponse, ManyOfThemStayWithinTheMemoryOfTheHost) {
    std::vector<std::shared_ptr<FakeExchange>> callers;
    std::vector<CallEvents> events;
    for (int number = 0; number < 20; ++number) {
        callers.push_back(start({.kind = CallKind::Unsafe, .resumable = false}));
        events.push_back(host_.pool().calls.back().events);
        events.back().on_head(
            {200, {{"Content-Type", "text/plain"}, {"Response-Signature", "s"}}, {}});
    }
    std::size_t most = 0;
    for (std::size_t sent = 0; sent < 16 * Mebibyte; sent += 65536)
        for (const CallEvents& each : events) {
            each.on_body(std::string(65536, 'a'));
            most = std::max(most, host_.memory.held());
        }
    EXPECT_LE(most, 64 * Mebibyte);
    EXPECT_EQ(host_.memory.held(), 0u);
    for (const auto& caller : callers)
        EXPECT_EQ(caller->status, 502);
}

} // namespace
} // namespace liftweir
