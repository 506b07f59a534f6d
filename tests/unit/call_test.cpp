#include "request/call.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>

namespace liftweir {
namespace {

constexpr Time Start{std::chrono::seconds(100)};

class FakePicker final : public EndpointPicker {
  public:
    std::optional<PickedEndpoint> pick(const CallSpec&, const std::vector<std::uint64_t>& avoid,
                                       bool must_resume, const std::string& version,
                                       Time) override {
        for (std::uint64_t id = 1; id <= count; ++id) {
            const bool failed = std::find(avoid.begin(), avoid.end(), id) != avoid.end();
            if (!failed && (!must_resume || resumes) && (version.empty() || version == "1"))
                return PickedEndpoint{id, "h" + std::to_string(id), 1,
                                      id, "a" + std::to_string(id), "1"};
        }
        return std::nullopt;
    }
    bool take_retry() override { return budget-- > 0; }
    Duration retry_after() const override { return std::chrono::milliseconds(500); }

    std::uint64_t count = 3;
    bool resumes = true;
    int budget = 10;
};

CallSpec spec(bool repeatable, bool streamed = false, const std::string& key = "") {
    CallSpec s;
    s.sequence = 5;
    s.entry = 1;
    s.repeatable = repeatable;
    s.streamed = streamed;
    s.idempotency_key = key;
    s.deadline = Start + std::chrono::seconds(10);
    return s;
}

template <typename T>
std::vector<T> all(const CallActions& actions) {
    std::vector<T> out;
    for (const CallAction& action : actions)
        if (const T* a = std::get_if<T>(&action))
            out.push_back(*a);
    return out;
}

AttemptId sent(const CallActions& actions) {
    return all<SendAttempt>(actions).at(0).id;
}

CommandReply granted(const AttemptId& holder) {
    CommandReply reply;
    reply.ok = reply.has_claim = true;
    reply.claim.holder = holder;
    return reply;
}

TEST(Call, NonRepeatableCallIsNotRetriedAfterALostLink) {
    FakePicker picker;
    Call call(spec(false), picker);
    sent(call.start(Start));
    const auto actions = call.on_link_lost("a1", Start);
    EXPECT_TRUE(all<SendAttempt>(actions).empty());
    EXPECT_EQ(all<FailCall>(actions).at(0).outcome, Outcome::Unknown);
}

TEST(Call, RefusedAttemptIsRetriedElsewhereAndReportedAsNotRun) {
    FakePicker picker;
    Call call(spec(false), picker);
    AttemptId id = sent(call.start(Start));
    id = sent(call.on_refused({id, FailureKind::Draining, 0, 0, 0}, Start));
    id = sent(call.on_refused({id, FailureKind::Draining, 0, 0, 0}, Start));
    const auto end = call.on_refused({id, FailureKind::Overloaded, 700, 0, 0}, Start);
    ASSERT_EQ(all<FailCall>(end).size(), 1u);
    EXPECT_EQ(all<FailCall>(end)[0].outcome, Outcome::NotRun);
    EXPECT_GE(all<FailCall>(end)[0].retry_after, std::chrono::milliseconds(700));
}

TEST(Call, NoAttemptIsSentBeforeTheClaimIsCommitted) {
    FakePicker picker;
    Call call(spec(false, false, "key"), picker);
    const auto begin = call.start(Start);
    EXPECT_TRUE(all<SendAttempt>(begin).empty());
    const AttemptId claim = all<SendClaim>(begin).at(0).id;
    const AttemptId id = sent(call.on_claim(granted(claim), Start));
    call.on_head({id, 200, "t"}, Start);
    call.on_chunk({id, 0, 0, "body"}, Start);
    const auto end = call.on_end({id, 1, 4, 0, 0}, Start);
    EXPECT_EQ(all<SendCloseClaim>(end).at(0).phase, ClaimPhase::Completed);
    EXPECT_EQ(all<WholeAnswer>(end).at(0).answer.body, "body");
}

TEST(Call, WithoutControlNoAttemptIsSentAndTheClaimIsDropped) {
    FakePicker picker;
    Call call(spec(false, false, "key"), picker);
    call.start(Start);
    const auto end = call.on_timer(Start + std::chrono::seconds(2));
    EXPECT_EQ(all<FailCall>(end).at(0).outcome, Outcome::NotRun);
    EXPECT_EQ(all<SendDropClaim>(end).size(), 1u);
}

TEST(Call, TruncatedResponseIsNotReportedAsComplete) {
    FakePicker picker;
    Call call(spec(true), picker);
    const AttemptId id = sent(call.start(Start));
    call.on_head({id, 200, "t"}, Start);
    call.on_chunk({id, 0, 0, "half"}, Start);
    const auto end = call.on_end({id, 2, 8, 0, 0}, Start);
    EXPECT_TRUE(all<WholeAnswer>(end).empty());
    EXPECT_EQ(all<SendAttempt>(end).size(), 1u) << "repeatable: retried elsewhere";
}

TEST(Call, StreamResumesAfterTheLastTokenThatTheCallerReceived) {
    FakePicker picker;
    Call call(spec(true, true), picker);
    AttemptId id = sent(call.start(Start));
    call.on_head({id, 200, "text/event-stream"}, Start);
    call.on_chunk({id, 0, 3, "abc"}, Start);
    const auto again = call.on_broken({id, true, FailureKind::EndpointFailed}, Start);
    ASSERT_EQ(all<SendAttempt>(again).size(), 1u);
    EXPECT_EQ(all<SendAttempt>(again)[0].resume_tokens, 3u);
    // A delayed chunk of the first attempt is dropped.
    EXPECT_TRUE(call.on_chunk({id, 1, 4, "d"}, Start).empty());
    id = all<SendAttempt>(again)[0].id;
    call.on_head({id, 200, "text/event-stream"}, Start);
    EXPECT_EQ(all<StreamBytes>(call.on_chunk({id, 0, 4, "D"}, Start)).at(0).bytes, "D");
}

TEST(Call, ResumedStreamDoesNotEndWithAResponseThatIsNoSuccessfulEventStream) {
    const std::pair<std::uint32_t, std::string> responses[] = {
        {500, "application/json"}, {200, "application/json"}, {500, "text/event-stream"}};
    for (const auto& [status, content_type] : responses) {
        FakePicker picker;
        Call call(spec(true, true), picker);
        AttemptId id = sent(call.start(Start));
        call.on_head({id, 200, "text/event-stream"}, Start);
        call.on_chunk({id, 0, 3, "abc"}, Start);
        id = sent(call.on_broken({id, true, FailureKind::EndpointFailed}, Start));
        const auto again = call.on_head({id, status, content_type}, Start);
        EXPECT_EQ(all<CancelRunningAttempt>(again).size(), 1u) << status << " " << content_type;
        ASSERT_EQ(all<SendAttempt>(again).size(), 1u) << status << " " << content_type;
        EXPECT_EQ(all<SendAttempt>(again)[0].place.id, 3u) << "an endpoint that has not failed";
        EXPECT_EQ(all<SendAttempt>(again)[0].resume_tokens, 3u);
        EXPECT_TRUE(call.on_chunk({id, 0, 0, "{}"}, Start).empty());
        EXPECT_TRUE(call.on_end({id, 1, 2, 0, 0}, Start).empty());
        id = all<SendAttempt>(again)[0].id;
        const auto end = call.on_head({id, status, content_type}, Start);
        EXPECT_TRUE(all<EndStream>(end).empty());
        ASSERT_EQ(all<FailCall>(end).size(), 1u) << "no attempt is left";
        EXPECT_TRUE(all<FailCall>(end)[0].in_stream);
        EXPECT_EQ(all<FailCall>(end)[0].outcome, Outcome::Unknown);
    }
}

TEST(Call, StreamThatCanNotBeResumedEndsWithATypedError) {
    FakePicker picker;
    picker.resumes = false;
    Call call(spec(true, true), picker);
    const AttemptId id = sent(call.start(Start));
    call.on_head({id, 200, "text/event-stream"}, Start);
    call.on_chunk({id, 0, 3, "abc"}, Start);
    const auto end = call.on_broken({id, true, FailureKind::EndpointFailed}, Start);
    ASSERT_EQ(all<FailCall>(end).size(), 1u);
    EXPECT_TRUE(all<FailCall>(end)[0].in_stream);
    EXPECT_EQ(all<FailCall>(end)[0].outcome, Outcome::Unknown);
}

TEST(Call, WithoutBudgetNothingIsRetried) {
    FakePicker picker;
    picker.budget = 0;
    Call call(spec(true), picker);
    sent(call.start(Start));
    EXPECT_TRUE(all<SendAttempt>(call.on_link_lost("a1", Start)).empty());
}

TEST(Call, HedgeRunsInParallelAndOnlyOneAttemptWins) {
    FakePicker picker;
    CallSpec s = spec(true, true);
    s.hedge_after = std::chrono::milliseconds(100);
    Call call(s, picker);
    const AttemptId first = sent(call.start(Start));
    const AttemptId hedge = sent(call.on_timer(Start + std::chrono::milliseconds(100)));
    EXPECT_NE(first, hedge);
    call.on_head({hedge, 200, "text/event-stream"}, Start);
    const auto won = call.on_chunk({hedge, 0, 1, "x"}, Start);
    EXPECT_EQ(all<CancelRunningAttempt>(won).at(0).id, first);
    EXPECT_TRUE(call.on_chunk({first, 0, 1, "y"}, Start).empty());
}

TEST(Call, RequestSuspectedOfACrashIsNotRetried) {
    for (const bool streamed : {false, true}) {
        FakePicker picker;
        Call call(spec(true, streamed), picker);
        const AttemptId id = sent(call.start(Start));
        const auto end = call.on_broken({id, true, FailureKind::EndpointFailed, true, true}, Start);
        EXPECT_TRUE(all<SendAttempt>(end).empty());
        ASSERT_EQ(all<FailCall>(end).size(), 1u);
        EXPECT_EQ(all<FailCall>(end)[0].failure.kind, FailureKind::EndpointFailed);
        EXPECT_EQ(all<FailCall>(end)[0].outcome, Outcome::Unknown);
    }
}

TEST(Call, RequestOfALostGroupIsSentToOneMoreGroupAtMost) {
    FakePicker picker;
    picker.count = 8;
    CallSpec s = spec(true);
    s.max_attempts = 8;
    Call call(s, picker);
    AttemptId id = sent(call.start(Start));
    id = sent(call.on_refused({id, FailureKind::Overloaded, 0, 0, 0}, Start));
    id = sent(call.on_broken({id, true, FailureKind::EndpointFailed, true, false}, Start));
    id = sent(call.on_broken({id, false, FailureKind::EndpointFailed}, Start));
    const auto end = call.on_link_lost("a4", Start);
    EXPECT_TRUE(all<SendAttempt>(end).empty()) << "a third group";
    EXPECT_EQ(all<FailCall>(end).at(0).outcome, Outcome::Unknown);
}

TEST(Call, HedgeOfASuspectedRequestIsCancelled) {
    FakePicker picker;
    CallSpec s = spec(true);
    s.hedge_after = std::chrono::milliseconds(100);
    Call call(s, picker);
    const AttemptId first = sent(call.start(Start));
    const AttemptId hedge = sent(call.on_timer(Start + std::chrono::milliseconds(100)));
    const auto end = call.on_broken({first, true, FailureKind::EndpointFailed, true, true}, Start);
    EXPECT_EQ(all<CancelRunningAttempt>(end).at(0).id, hedge);
    EXPECT_EQ(all<FailCall>(end).size(), 1u);
}

// Random endpoints refuse, run, fail before or after running, or lose their links. A call must not
// report "not run" for a request that ran, nor run a non-repeatable request twice.
TEST(Call, ReportsTheTrueOutcomeUnderRandomEndpoints) {
    EXPECT_TRUE(rc::check([] {
        FakePicker picker;
        picker.count = *rc::gen::inRange<std::uint64_t>(1, 5);
        picker.budget = *rc::gen::inRange(0, 4);
        const bool repeatable = *rc::gen::arbitrary<bool>();
        const bool claims = *rc::gen::arbitrary<bool>();
        Call call(spec(repeatable, false, claims ? "key" : ""), picker);
        int runs = 0;
        int groups_lost = 0;
        bool suspected = false;
        std::deque<CallAction> todo;
        const auto add = [&](CallActions actions) {
            for (CallAction& a : actions)
                todo.push_back(std::move(a));
        };
        add(call.start(Start));
        std::optional<FailCall> failed;
        std::optional<WholeAnswer> whole;
        while (!todo.empty()) {
            const CallAction action = todo.front();
            todo.pop_front();
            if (const auto* c = std::get_if<SendClaim>(&action))
                add(call.on_claim(granted(c->id), Start));
            if (const auto* f = std::get_if<FailCall>(&action)) {
                RC_ASSERT(!failed && !whole);
                failed = *f;
            }
            if (const auto* w = std::get_if<WholeAnswer>(&action)) {
                RC_ASSERT(!failed && !whole);
                whole = *w;
            }
            const auto* s = std::get_if<SendAttempt>(&action);
            if (s == nullptr)
                continue;
            RC_ASSERT(groups_lost < 2 && !suspected);
            switch (*rc::gen::inRange(0, 7)) {
            case 0: // refused
                add(call.on_refused({s->id, FailureKind::Overloaded, 10, 0, 0}, Start));
                break;
            case 1: // failed before it ran
                add(call.on_broken({s->id, false, FailureKind::EndpointFailed}, Start));
                break;
            case 6: // ran, and the endpoint's process exited
                ++runs;
                ++groups_lost;
                suspected = *rc::gen::arbitrary<bool>();
                add(call.on_broken({s->id, true, FailureKind::EndpointFailed, true, suspected},
                                   Start));
                break;
            case 2: // ran, link lost
                ++runs;
                ++groups_lost;
                add(call.on_link_lost(s->place.address, Start));
                break;
            case 3: // ran and failed half way
                ++runs;
                add(call.on_head({s->id, 200, "t"}, Start));
                add(call.on_chunk({s->id, 0, 0, "he"}, Start));
                add(call.on_broken({s->id, true, FailureKind::EndpointFailed}, Start));
                break;
            case 4: // link lost, never ran
                ++groups_lost;
                add(call.on_link_lost(s->place.address, Start));
                break;
            default:
                ++runs;
                add(call.on_head({s->id, 200, "t"}, Start));
                add(call.on_chunk({s->id, 0, 0, "hel"}, Start));
                add(call.on_chunk({s->id, 1, 0, "lo"}, Start));
                add(call.on_end({s->id, 2, 5, 0, 0}, Start));
            }
        }
        RC_ASSERT(call.done());
        RC_ASSERT(failed.has_value() != whole.has_value());
        if (failed && failed->outcome == Outcome::NotRun)
            RC_ASSERT(runs == 0);
        if (!repeatable)
            RC_ASSERT(runs <= 1);
        if (whole)
            RC_ASSERT(whole->answer.body == "hello");
    }));
}

} // namespace
} // namespace liftweir
