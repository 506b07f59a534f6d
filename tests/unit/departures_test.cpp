// Endpoints that leave, in the replicated log: what of their reports is kept, for how long, and
// what that costs.

#include "connection/codec.h"
#include "process/changefeed.h"
#include "process/replica.h"
#include "unit/memstorage.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

EndpointReport leave_of(const std::string& name, EndpointPhase phase, std::uint64_t sequence) {
    EndpointReport report;
    report.id = EndpointId(name, 1'700'000'000'000);
    report.service = "llm";
    report.address = "10.12.34.56:8080";
    report.zone = "zone-1";
    report.domain = "domain-17";
    report.phase = phase;
    report.slots = 48;
    report.staged = {"model-a"};
    report.membership = {"model-a.1234567", 1234567, 0, MemberState::Open};
    report.sequence = sequence;
    return report;
}

RecordDepartures departed(const EndpointReport& report) {
    return {{report}, {}};
}

TEST(Departures, AnEndThatIsRecordedIsNeverTakenBack) {
    State state;
    EXPECT_TRUE(state.apply(1, departed(leave_of("a", EndpointPhase::Gone, 5))).ok);
    EXPECT_TRUE(state.apply(2, departed(leave_of("a", EndpointPhase::Draining, 9))).ok);
    EXPECT_EQ(state.departures().all.at(leave_of("a", EndpointPhase::Gone, 5).id).index, 1u);
    EXPECT_TRUE(state.departures().cover(leave_of("a", EndpointPhase::Draining, 10)));
    EXPECT_EQ(state.departures().index, 2u);
}

// An endpoint that served again in between drains anew: the first record does not hold for that.
TEST(Departures, ALaterDrainIsRecordedAnew) {
    State state;
    state.apply(1, departed(leave_of("a", EndpointPhase::Draining, 5)));
    EXPECT_TRUE(state.departures().cover(leave_of("a", EndpointPhase::Draining, 4)));
    EXPECT_FALSE(state.departures().cover(leave_of("a", EndpointPhase::Draining, 6)));
    EXPECT_FALSE(state.departures().cover(leave_of("a", EndpointPhase::Gone, 5)));
    state.apply(2, departed(leave_of("a", EndpointPhase::Draining, 6)));
    EXPECT_TRUE(state.departures().cover(leave_of("a", EndpointPhase::Draining, 6)));
}

TEST(Departures, AnotherStartUnderTheNameIsNotCovered) {
    State state;
    state.apply(1, departed(leave_of("a", EndpointPhase::Gone, 5)));
    EndpointReport again = leave_of("a", EndpointPhase::Draining, 1);
    again.id.started_ms += 1000;
    EXPECT_FALSE(state.departures().cover(again));
}

TEST(Departures, AreKeptInSnapshotsUntilTheyAreForgotten) {
    State state;
    state.apply(1, departed(leave_of("a", EndpointPhase::Gone, 5)));
    const auto copy = State::load(state.save());
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy->departures(), state.departures());
    state.apply(2, RecordDepartures{{}, {leave_of("a", EndpointPhase::Gone, 5).id}});
    EXPECT_TRUE(state.departures().all.empty());
}

TEST(Departures, TooManyAreRefusedAndNoneIsDropped) {
    State state;
    Version index = 1;
    const auto add = [&] {
        const std::string name = "e" + std::to_string(index);
        return state.apply(index, departed(leave_of(name, EndpointPhase::Gone, 1))).ok;
    };
    while (add())
        ASSERT_LT(++index, 100'000u);
    EXPECT_GE(state.departures().all.size(), 4000u);
    EXPECT_TRUE(state.departures().contains(leave_of("e1", EndpointPhase::Gone, 1).id));
    // One that is known already may still end.
    state.apply(++index, RecordDepartures{{}, {leave_of("e1", EndpointPhase::Gone, 1).id}});
    EXPECT_TRUE(state.apply(++index, departed(leave_of("x", EndpointPhase::Draining, 1))).ok);
    EXPECT_TRUE(state.apply(++index, departed(leave_of("x", EndpointPhase::Gone, 2))).ok);
}

// A site of 1,000 hosts that replaces its 930 endpoints at once, each draining before its end.
TEST(Departures, ARenewalOfAWholeSiteCostsLessThanOneSnapshot) {
    State state;
    const std::size_t before = state.save().size();
    std::size_t log_bytes = 0;
    Version index = 0;
    for (int n = 0; n < 930; ++n)
        for (const EndpointPhase phase : {EndpointPhase::Draining, EndpointPhase::Gone}) {
            const RecordDepartures command =
                departed(leave_of("i-" + std::to_string(10'000'000 + n), phase, 7));
            log_bytes += encode(Command(command)).size();
            state.apply(++index, command);
        }
    const std::size_t state_bytes = state.save().size() - before;
    RecordProperty("log_bytes", static_cast<int>(log_bytes));
    RecordProperty("state_bytes", static_cast<int>(state_bytes));
    EXPECT_LT(log_bytes, 1u << 20);
    EXPECT_LT(state_bytes, 1u << 18);
}

// After a start the log is applied only once there is a leader.
TEST(Departures, AreReadFromALogThatIsNotYetApplied) {
    MemStorage storage;
    const auto open = [&storage](Time now) {
        return Replica::open(storage, 1, {1, 2, 3}, RaftTuning{}, 7, now);
    };
    const Time now{std::chrono::seconds(100)};
    {
        auto replica = open(now);
        ASSERT_TRUE(replica);
        const LogEntry entry{1, 1, EntryKind::Command,
                             encode(Command(departed(leave_of("a", EndpointPhase::Gone, 5))))};
        AppendRequest request;
        request.term = 1;
        request.entries = {entry};
        (*replica)->step(2, request, now);
        ASSERT_TRUE((*replica)->pump());
        EXPECT_TRUE((*replica)->state().departures().all.empty()); // not committed
    }
    const auto replica = open(now);
    ASSERT_TRUE(replica);
    const auto reports = (*replica)->logged_departures();
    ASSERT_EQ(reports.size(), 1u);
    EXPECT_EQ(reports.front(), leave_of("a", EndpointPhase::Gone, 5));
}

TEST(ChangeFeed, EntryHostsAreNotToldOfMembersThatTheyNeverSentRequestsTo) {
    ChangeFeed feed;
    EndpointReport member = leave_of("member", EndpointPhase::Gone, 5);
    member.membership.rank = 1;
    EndpointReport spare = leave_of("spare", EndpointPhase::Gone, 5);
    spare.membership = {};
    EndpointReport plain = leave_of("plain", EndpointPhase::Gone, 5);
    plain.domain.clear();
    plain.membership = {};
    for (const EndpointReport& report :
         {member, spare, plain, leave_of("lead", EndpointPhase::Gone, 5)})
        feed.add_for_entries(report);
    const auto told = feed.take_for_entries();
    ASSERT_EQ(told.size(), 2u);
    EXPECT_EQ(told[0].id.name, "plain");
    EXPECT_EQ(told[1].id.name, "lead");
    EXPECT_TRUE(feed.take_for_peers().empty());
}

} // namespace
} // namespace liftweir
