// Tests of the repair of differing registries, and of what a new leader assumes about groups.

#include "process/groupplanner.h"
#include "process/registryrepair.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(1000);

EndpointReport report_of(int number, std::uint64_t sequence = 1) {
    EndpointReport report;
    report.id = "i-" + std::to_string(number);
    report.service = "llm";
    report.address =
        "10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200 + 1) + ":80";
    report.domain = "d0";
    report.sequence = sequence;
    return report;
}

// Runs one comparison and copies the requested ranges. Returns the number of reports sent.
std::size_t repair_once(RegistryRepair& repair, const Registry& from, Registry& to, bool trusted,
                        Time now) {
    std::size_t sent = 0;
    const auto wanted =
        repair.compare("host", from.range_digests(), to.range_digests(), trusted, now);
    for (const RangeCopy& part : copy_ranges(from, wanted, now))
        for (std::size_t n = 0; n < part.reports.size(); ++n) {
            to.merge(part.reports[n], now - milliseconds(part.silent_ms[n]));
            ++sent;
        }
    return sent;
}

TEST(RegistryRepair, CopiesOneRangeForOneDifference) {
    constexpr int Endpoints = 3000;
    Registry whole;
    Registry other;
    for (int n = 0; n < Endpoints; ++n) {
        whole.merge(report_of(n), Start);
        if (n != 1234)
            other.merge(report_of(n), Start);
    }
    RegistryRepair repair;
    EXPECT_EQ(repair_once(repair, whole, other, false, Start), 0u); // may be in flight
    const std::size_t sent = repair_once(repair, whole, other, false, Start + seconds(1));
    EXPECT_GE(sent, 1u);
    EXPECT_LT(sent, 2 * Endpoints / RegistryRanges);
    EXPECT_EQ(whole.digest(), other.digest());
    EXPECT_EQ(whole.range_digests(), other.range_digests());
}

// While endpoints register, form groups, start or exit, registries differ all the time.
TEST(RegistryRepair, CopiesNothingForChangesInFlight) {
    Registry whole;
    Registry behind;
    RegistryRepair repair;
    for (int step = 0; step < 30; ++step) {
        for (int n = 0; n < 600; ++n) {
            EndpointReport report = report_of(n, static_cast<std::uint64_t>(step) + 1);
            report.slots = static_cast<std::uint32_t>(step);
            whole.merge(report, Start);
        }
        EXPECT_EQ(repair_once(repair, whole, behind, false, Start + step * seconds(1)), 0u);
    }
}

TEST(RegistryRepair, ANewHostRequestsAllFromOneHostInParts) {
    Registry whole;
    for (int n = 0; n < 1000; ++n)
        whole.merge(report_of(n), Start);
    Registry empty;
    RegistryRepair repair;
    const auto wanted =
        repair.compare("first", whole.range_digests(), empty.range_digests(), true, Start);
    EXPECT_EQ(wanted.size(), RegistryRanges);
    EXPECT_TRUE(repair.compare("second", whole.range_digests(), empty.range_digests(), true, Start)
                    .empty());
    for (const RangeCopy& part : copy_ranges(whole, wanted, Start))
        EXPECT_LE(part.reports.size(), 256u);
}

TEST(RegistryRepair, ANewHostRequestsRangesOnWhichOthersAgree) {
    Registry whole;
    Registry part;
    Registry entry;
    for (int n = 0; n < 10; ++n)
        whole.merge(report_of(n), Start);
    for (int n = 0; n < 3; ++n)
        part.merge(report_of(n), Start);
    RegistryRepair repair;
    const auto compare_with = [&](const std::string& host, const Registry& by, Time now) {
        return repair.compare(host, by.range_digests(), entry.range_digests(), host == "first",
                              now);
    };
    for (const RangeCopy& copy : copy_ranges(part, compare_with("first", part, Start), Start))
        for (const EndpointReport& report : copy.reports)
            entry.merge(report, Start);
    EXPECT_TRUE(compare_with("second", whole, Start + milliseconds(120)).empty());
    EXPECT_FALSE(
        repair.agreed_ranges(entry.range_digests(), Start + seconds(1))); // one host is not enough
    EXPECT_TRUE(compare_with("third", whole, Start + milliseconds(121)).empty());
    EXPECT_FALSE(repair.agreed_ranges(entry.range_digests(), Start + milliseconds(130)));
    const auto request = repair.agreed_ranges(entry.range_digests(), Start + milliseconds(600));
    ASSERT_TRUE(request);
    for (const RangeCopy& copy : copy_ranges(whole, request->ranges, Start))
        for (const EndpointReport& report : copy.reports)
            entry.merge(report, Start);
    EXPECT_EQ(entry.digest(), whole.digest());
    EXPECT_FALSE(repair.agreed_ranges(entry.range_digests(), Start + seconds(2)));
}

RC_GTEST_PROP(RegistryRepair, BothSidesEndUpEqual, ()) {
    std::array<Registry, 2> hosts;
    for (int n = *rc::gen::inRange(1, 120); n > 0; --n) {
        EndpointReport report = report_of(*rc::gen::inRange(0, 40), 1 + *rc::gen::inRange(0, 5));
        report.slots = static_cast<std::uint32_t>(report.sequence);
        report.phase = report.sequence < 4    ? EndpointPhase::Serving
                       : report.sequence == 4 ? EndpointPhase::Draining
                                              : EndpointPhase::Gone;
        hosts[*rc::gen::inRange<std::size_t>(0, 2)].merge(report, Start);
    }
    std::array<RegistryRepair, 2> repairs;
    for (int round = 0; round < 6; ++round)
        for (std::size_t to = 0; to < 2; ++to)
            repair_once(repairs[to], hosts[1 - to], hosts[to], false, Start + round * seconds(1));
    RC_ASSERT(hosts[0].digest() == hosts[1].digest());
}

// ---- a new leader

GroupPlanner planner_of_pairs() {
    EngineCost engine;
    engine.loads_per_second = 3;
    engine.models = {{"small", 2, 1.0, 1.0, seconds(12), milliseconds(1100)}};
    GroupPlanner planner("llm", GroupPlannerConfig{}, false);
    planner.configure(engine);
    return planner;
}

TEST(Takeover, HostsOfARecordedGroupAreNotFreeWithoutReports) {
    Registry behind;
    GroupPlanner planner = planner_of_pairs();
    planner.traffic_began();
    PlannedGroups log;
    log[7].name = "small.7";
    for (int n = 0; n < 2; ++n) {
        EndpointReport report = report_of(n);
        report.staged = {"small"};
        behind.merge(report, Start);
        planner.observe(report, Start);
        log[7].members.push_back(report.id);
    }
    const EndpointId lead = log[7].members.front();
    Time now = Start + milliseconds(200);
    planner.take_over(2, now, log);
    std::vector<EndpointOrder> orders;
    const auto joins = [&] {
        orders = planner.plan(behind, now);
        const auto formed = planner.recorded(planner.take_changes(), behind, now);
        orders.insert(orders.end(), formed.begin(), formed.end());
        return std::count_if(orders.begin(), orders.end(), [](const EndpointOrder& order) {
            return order.kind == OrderKind::Join;
        });
    };
    std::size_t asked_to_leave = 0;
    for (int beat = 1; beat <= 8; ++beat) {
        now += milliseconds(600);
        for (int n = 0; n < 2; ++n) {
            EndpointReport late = report_of(n);
            late.staged = {"small"};
            late.sequence = static_cast<std::uint64_t>(beat) + 1;
            if (behind.merge(late, now))
                planner.observe(late, now);
            behind.seen_alive(late.id, now);
        }
        EXPECT_EQ(joins(), 0) << "beat " << beat;
        for (const EndpointOrder& order : orders) {
            asked_to_leave += order.kind == OrderKind::Leave && order.endpoint == lead ? 1 : 0;
            planner.answered(order, OrderAnswer::Silent, now);
        }
    }
    EXPECT_GT(asked_to_leave, 0u);
    // The lead of the group replies at last.
    EndpointOrder leave;
    leave.kind = OrderKind::Leave;
    leave.endpoint = lead;
    leave.epoch = 7;
    planner.answered(leave, OrderAnswer::Taken, now);
    now += seconds(4); // until the planner uses unresponsive endpoints again
    for (int n = 0; n < 2; ++n)
        behind.seen_alive(report_of(n).id, now);
    EXPECT_EQ(joins(), 2);
}

// A control host that was just started knows no endpoint yet, only the replicated log.
TEST(Takeover, AGroupWithoutReportsStaysInTheLog) {
    Registry empty;
    GroupPlanner planner = planner_of_pairs();
    PlannedGroups log;
    log[7] = {"small.7", {report_of(1).id, report_of(2).id}};
    planner.take_over(2, Start, log);
    for (int n = 0; n < 100; ++n) {
        EXPECT_TRUE(planner.plan(empty, Start + n * milliseconds(500)).empty());
        EXPECT_TRUE(planner.take_changes().empty()) << n;
    }
}

} // namespace
} // namespace liftweir
