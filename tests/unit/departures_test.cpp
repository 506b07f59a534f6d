// Endpoints that leave, in the replicated log: what of their reports is kept, for how long, and
// what that costs.

#include "connection/codec.h"
#include "process/node.h"
#include "process/replica.h"
#include "unit/loopback.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <vector>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EndpointReport leave(const std::string& name, EndpointPhase phase, std::uint64_t sequence) {
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
    EXPECT_TRUE(state.apply(1, departed(leave("a", EndpointPhase::Gone, 5))).ok);
    EXPECT_TRUE(state.apply(2, departed(leave("a", EndpointPhase::Draining, 9))).ok);
    EXPECT_EQ(state.departures().all.at(leave("a", EndpointPhase::Gone, 5).id).index, 1u);
    EXPECT_TRUE(state.departures().cover(leave("a", EndpointPhase::Draining, 10)));
    EXPECT_EQ(state.departures().index, 2u);
}

// An endpoint that served again in between drains anew: the first record does not hold for that.
TEST(Departures, ALaterDrainIsRecordedAnew) {
    State state;
    state.apply(1, departed(leave("a", EndpointPhase::Draining, 5)));
    EXPECT_TRUE(state.departures().cover(leave("a", EndpointPhase::Draining, 4)));
    EXPECT_FALSE(state.departures().cover(leave("a", EndpointPhase::Draining, 6)));
    EXPECT_FALSE(state.departures().cover(leave("a", EndpointPhase::Gone, 5)));
    state.apply(2, departed(leave("a", EndpointPhase::Draining, 6)));
    EXPECT_TRUE(state.departures().cover(leave("a", EndpointPhase::Draining, 6)));
}

TEST(Departures, AnotherStartUnderTheNameIsNotCovered) {
    State state;
    state.apply(1, departed(leave("a", EndpointPhase::Gone, 5)));
    EndpointReport again = leave("a", EndpointPhase::Draining, 1);
    again.id.started_ms += 1000;
    EXPECT_FALSE(state.departures().cover(again));
}

TEST(Departures, AreKeptInSnapshotsUntilTheyAreForgotten) {
    State state;
    state.apply(1, departed(leave("a", EndpointPhase::Gone, 5)));
    const auto copy = State::load(state.save());
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy->departures(), state.departures());
    state.apply(2, RecordDepartures{{}, {leave("a", EndpointPhase::Gone, 5).id}});
    EXPECT_TRUE(state.departures().all.empty());
}

TEST(Departures, TooManyAreRefusedAndNoneIsDropped) {
    State state;
    Version index = 1;
    const auto add = [&] {
        const std::string name = "e" + std::to_string(index);
        return state.apply(index, departed(leave(name, EndpointPhase::Gone, 1))).ok;
    };
    while (add())
        ASSERT_LT(++index, 100'000u);
    EXPECT_GE(state.departures().all.size(), 4000u);
    EXPECT_TRUE(state.departures().contains(leave("e1", EndpointPhase::Gone, 1).id));
    // One that is known already may still end.
    state.apply(++index, RecordDepartures{{}, {leave("e1", EndpointPhase::Gone, 1).id}});
    EXPECT_TRUE(state.apply(++index, departed(leave("x", EndpointPhase::Draining, 1))).ok);
    EXPECT_TRUE(state.apply(++index, departed(leave("x", EndpointPhase::Gone, 2))).ok);
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
                departed(leave("i-" + std::to_string(10'000'000 + n), phase, 7));
            log_bytes += encode(Command(command)).size();
            state.apply(++index, command);
        }
    const std::size_t state_bytes = state.save().size() - before;
    RecordProperty("log_bytes", static_cast<int>(log_bytes));
    RecordProperty("state_bytes", static_cast<int>(state_bytes));
    EXPECT_LT(log_bytes, 1u << 20);
    EXPECT_LT(state_bytes, 1u << 18);
}

// The release before knows neither the command nor the field of the snapshot.
TEST(Departures, SnapshotsAreReadWithAndWithoutThem) {
    State state;
    state.apply(1, SetZoneUse{"z", false});
    state.apply(2, departed(leave("a", EndpointPhase::Gone, 5)));
    const std::string bytes = state.save();
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    msgpack::object fields = handle.get();
    --fields.via.array.size;
    msgpack::sbuffer earlier;
    msgpack::pack(earlier, fields);
    const auto loaded = State::load({earlier.data(), earlier.size()});
    ASSERT_TRUE(loaded);
    EXPECT_EQ(loaded->zones_out_of_use(), state.zones_out_of_use());
    EXPECT_TRUE(loaded->departures().all.empty());
}

TEST(Departures, ForgettingIsRememberedByItsIndex) {
    State state;
    state.apply(1, departed(leave("a", EndpointPhase::Gone, 5)));
    EXPECT_EQ(state.departures().forgotten, 0u);
    state.apply(2, RecordDepartures{{}, {leave("a", EndpointPhase::Gone, 5).id}});
    EXPECT_EQ(state.departures().forgotten, 2u);
    state.apply(3, departed(leave("b", EndpointPhase::Gone, 5)));
    EXPECT_EQ(state.departures().forgotten, 2u);
}

// A control host that is alone, with the data directory of an earlier run.
struct LeavingEndpoints : LoopbackTest {
    LeavingEndpoints() {
        config.first_start = true;
        config.data = testing::TempDir() + "/leaves-" + std::to_string(port);
        std::filesystem::remove_all(config.data);
    }
    ~LeavingEndpoints() override {
        coordinator.reset();
        std::filesystem::remove_all(config.data);
    }

    void start(std::uint32_t tolerated_hosts) {
        config.tolerated_hosts = tolerated_hosts;
        const auto decode = [](const std::string&) { return Expected<Deployment>(Deployment{}); };
        // The thread that wrote the cache may still hold the directory.
        const auto is_open = [&] {
            if (coordinator)
                return true;
            auto opened = Coordinator::open(io, config, orders, decode);
            if (opened)
                coordinator = std::move(*opened);
            return opened.has_value();
        };
        ASSERT_TRUE(run_until(is_open, seconds(3)));
        coordinator->start();
        ASSERT_TRUE(run_until([&] { return coordinator->leads(); }, seconds(5)));
    }
    // What the report was answered with; empty if it was not within the time.
    std::optional<bool> report(EndpointReport report, Duration limit) {
        const auto answered = std::make_shared<std::optional<bool>>();
        const auto done = [answered](const Expected<void>& result) {
            *answered = result.has_value();
        };
        if (report.phase == EndpointPhase::Gone)
            coordinator->deregister(report.id, done);
        else
            EXPECT_EQ(coordinator->merge_report(report, done), ReportFault::None);
        run_until([&] { return answered->has_value(); }, limit);
        return *answered;
    }
    // Writes the directory that a host leaves whose log holds the commands and whose cache was
    // written at this point of it.
    void write_directory(const std::vector<Command>& commands, const EndpointReport& cached,
                         Version leaves_forgotten) {
        auto opened = open_directory(config.data);
        ASSERT_TRUE(opened);
        const std::shared_ptr<Storage> storage = std::move(*opened);
        const auto node = node_of_directory(*storage, config.ip, true);
        ASSERT_TRUE(node);
        Time now = BootClock::now();
        auto replica = Replica::open(*storage, *node, {*node}, RaftTuning{}, 7, now);
        ASSERT_TRUE(replica);
        for (int n = 0; n < 200 && !(*replica)->ready(); ++n) {
            (*replica)->tick(now += milliseconds(50));
            ASSERT_TRUE((*replica)->pump());
        }
        for (const Command& command : commands)
            (*replica)->propose(command, [](const Expected<ApplyResult>&) {});
        ASSERT_TRUE((*replica)->pump());
        Registry registry;
        registry.merge(cached, now);
        EndpointCacheFile file(storage);
        file.keep(registry, now, leaves_forgotten);
        for (int n = 0; n < 200 && file.load().reports.empty(); ++n)
            run_for(milliseconds(10));
        ASSERT_EQ(file.load().reports.size(), 1u);
    }
    // The cached endpoints that an entry host gets that has just started.
    std::vector<EndpointReport> restored() {
        const Identity self{ProcessRole::Entry, "e", 1};
        std::vector<EndpointReport> reports;
        Dialer dialer(io, "127.0.0.1:" + std::to_string(port), self, keys);
        dialer.start([](const Link::Ptr&) {},
                     [&](const Link::Ptr&, WireMessage&& message) {
                         if (const auto* got = std::get_if<EndpointsRestored>(&message))
                             reports = got->reports;
                     },
                     [](const Link::Ptr&) {});
        EXPECT_TRUE(run_until([&] { return dialer.up(); }, seconds(3)));
        LeaseRenewal renewal;
        renewal.entry = "e";
        renewal.routable_only = renewal.wants_restored = true;
        dialer.send(renewal);
        run_for(milliseconds(500));
        return reports;
    }

    SiteConfig config = config_for(port, "c");
    NoOrders orders;
    std::unique_ptr<Coordinator> coordinator;
};

EndpointReport plain_endpoint(EndpointPhase phase, std::uint64_t sequence) {
    EndpointReport report;
    report.id = EndpointId("a", 1'700'000'000'000);
    report.service = "app";
    report.address = "127.0.0.9:80";
    report.phase = phase;
    report.sequence = sequence;
    return report;
}

// Documents wait for as many disks as may be lost, and one more. A host that is alone waits for the
// others for some seconds.
TEST_F(LeavingEndpoints, AreNotAcknowledgedOnFewerDisksThanADocument) {
    start(1);
    EXPECT_EQ(report(plain_endpoint(EndpointPhase::Gone, 5), seconds(2)), false);
    run_for(seconds(3));
    EXPECT_EQ(report(plain_endpoint(EndpointPhase::Gone, 5), seconds(2)), true);
}

TEST_F(LeavingEndpoints, ADrainThatWasNotAcknowledgedIsNotAcknowledgedByItsNextReport) {
    start(1);
    EXPECT_EQ(report(plain_endpoint(EndpointPhase::Draining, 5), seconds(2)), false);
    EXPECT_EQ(report(plain_endpoint(EndpointPhase::Draining, 6), milliseconds(500)), std::nullopt);
    run_for(seconds(3));
    EXPECT_EQ(report(plain_endpoint(EndpointPhase::Draining, 7), seconds(2)), true);
    EXPECT_EQ(report(plain_endpoint(EndpointPhase::Draining, 8), milliseconds(1)), true);
}

TEST_F(LeavingEndpoints, CachedEndpointsAreSentWithoutThoseThatTheLogNames) {
    write_directory({departed(plain_endpoint(EndpointPhase::Gone, 5))},
                    plain_endpoint(EndpointPhase::Serving, 4), 0);
    start(0);
    EXPECT_TRUE(restored().empty());
}

// The log no longer names the endpoint, and the cache still does.
TEST_F(LeavingEndpoints, ACacheOlderThanAForgottenLeaveIsNotSent) {
    const EndpointReport gone = plain_endpoint(EndpointPhase::Gone, 5);
    write_directory({departed(gone), RecordDepartures{{}, {gone.id}}},
                    plain_endpoint(EndpointPhase::Serving, 4), 0);
    start(0);
    EXPECT_TRUE(restored().empty());
}

TEST_F(LeavingEndpoints, ACacheThatIsAsNewAsTheLogIsSent) {
    EndpointReport other = plain_endpoint(EndpointPhase::Gone, 5);
    other.id.name = "b";
    write_directory({departed(other), RecordDepartures{{}, {other.id}}},
                    plain_endpoint(EndpointPhase::Serving, 4), 1'000);
    start(0);
    ASSERT_EQ(restored().size(), 1u);
}

} // namespace
} // namespace liftweir
