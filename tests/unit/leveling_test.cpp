// Load reports between entry hosts, and load balancing with outdated ones.

#include "request/entryloadtable.h"
#include "request/leveling.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);

GroupLoad prefilling(std::uint32_t requests) {
    GroupLoad load;
    load.prefilling = requests;
    load.prefill_tokens = 1000u * requests;
    return load;
}

// ---- load balancing

TEST(Leveling, FillsTheLowerTargetsToOneLevel) {
    const std::vector<double> levels = {100, 40, 10, 300};
    std::minstd_rand random(1);
    std::vector<int> chosen(levels.size());
    constexpr int Choices = 20000;
    for (int n = 0; n < Choices; ++n)
        ++chosen[choose_by_level(levels, 150, std::uniform_real_distribution<double>()(random))];
    // An inflow of 150 raises the three lower targets to 100 each.
    EXPECT_EQ(chosen[0], 0);
    EXPECT_NEAR(chosen[1], Choices * 60 / 150, Choices / 50);
    EXPECT_NEAR(chosen[2], Choices * 90 / 150, Choices / 50);
    EXPECT_EQ(chosen[3], 0);
}

TEST(Leveling, TakesTheLowestWithoutInflow) {
    EXPECT_EQ(choose_by_level({5, 3, 4}, 0, 0.99), 1u);
    EXPECT_EQ(choose_by_level({5}, 10, 1.0), 0u);
}

// All groups are idle, and each of hundreds of hosts chooses for its first request.
TEST(Leveling, SpreadsChoicesOverEquallyLowTargets) {
    const std::vector<double> levels = {5, 3, 3, 7, 3};
    std::minstd_rand random(1);
    std::vector<int> chosen(levels.size());
    for (int n = 0; n < 3000; ++n)
        ++chosen[choose_by_level(levels, 0, std::uniform_real_distribution<double>()(random))];
    for (const std::size_t lowest : {1, 2, 4})
        EXPECT_NEAR(chosen[lowest], 1000, 150);
    EXPECT_EQ(chosen[0] + chosen[3], 0);
    EXPECT_EQ(choose_by_level(levels, 0, 1.0), 4u);
}

RC_GTEST_PROP(Leveling, NeverChoosesATargetAboveTheFilledLevel, ()) {
    const auto raw = *rc::gen::nonEmpty(rc::gen::arbitrary<std::vector<std::uint16_t>>());
    const std::vector<double> levels(raw.begin(), raw.end());
    const double inflow = *rc::gen::inRange(0, 100000);
    const double draw = *rc::gen::inRange(0, 1000) / 1000.0;
    const double at = levels[choose_by_level(levels, inflow, draw)];
    double below = 0;
    for (const double level : levels)
        below += std::max(0.0, at - level);
    RC_ASSERT(below <= inflow + 1e-6);
}

TEST(ArrivalRate, FollowsTheArrivals) {
    ArrivalRate rate;
    Time now = Start;
    for (int n = 0; n < 200; ++n)
        rate.add(50, now += milliseconds(100));
    EXPECT_NEAR(rate.per_second(now), 500, 25);
    EXPECT_LT(rate.per_second(now + seconds(12)), 10);
}

// ---- load reports

TEST(EntryLoadTable, ReturnsTheLoadOfTheOtherHosts) {
    EntryLoadTable table;
    table.store("a", {{7, prefilling(1)}, {8, prefilling(2)}}, Start);
    table.store("b", {{8, prefilling(3)}}, Start);
    EXPECT_EQ(table.load_of_others("a"), (std::vector<GroupLoadReport>{{8, prefilling(3)}}));
    EXPECT_EQ(table.load_of_others("b"),
              (std::vector<GroupLoadReport>{{7, prefilling(1)}, {8, prefilling(2)}}));
    table.store("a", {}, Start);
    EXPECT_TRUE(table.load_of_others("b").empty());
    EXPECT_EQ(table.load_of_others("c"), (std::vector<GroupLoadReport>{{8, prefilling(3)}}));
}

TEST(EntryLoadTable, ExpiresHostsWithoutReports) {
    EntryLoadTable table;
    table.store("a", {{7, prefilling(1)}}, Start);
    table.store("b", {{7, prefilling(2)}}, Start + seconds(2));
    table.expire(Start + seconds(2));
    EXPECT_EQ(table.load_of_others("c"), (std::vector<GroupLoadReport>{{7, prefilling(2)}}));
    table.expire(Start + seconds(9));
    EXPECT_TRUE(table.empty());
}

RC_GTEST_PROP(EntryLoadTable, SumsEqualARecount, ()) {
    EntryLoadTable table;
    std::map<std::string, std::vector<GroupLoadReport>> reported;
    for (int n = *rc::gen::inRange(1, 30); n > 0; --n) {
        const std::string entry = *rc::gen::element<std::string>("a", "b", "c");
        std::vector<GroupLoadReport> group_loads;
        for (Epoch epoch = 1; epoch < 5; ++epoch)
            if (*rc::gen::arbitrary<bool>())
                group_loads.push_back({epoch, prefilling(*rc::gen::inRange(1u, 9u))});
        reported[entry] = group_loads;
        table.store(entry, group_loads, Start);
    }
    std::map<Epoch, GroupLoad> sums;
    for (const auto& [entry, group_loads] : reported)
        for (const GroupLoadReport& group_load : group_loads)
            sums[group_load.epoch].add(group_load.load);
    const auto totals = table.load_of_others("nobody");
    RC_ASSERT(totals.size() == sums.size());
    for (const GroupLoadReport& group_load : totals)
        RC_ASSERT(group_load.load == sums.at(group_load.epoch));
}

TEST(EntryLoadTable, IntervalLimitsTheBytesPerEntryHost) {
    EntryLoadTable table;
    std::vector<GroupLoadReport> group_loads;
    for (Epoch epoch = 1; epoch <= 1000; ++epoch)
        group_loads.push_back({epoch, prefilling(1)});
    table.store("a", {group_loads.begin(), group_loads.begin() + 30}, Start);
    EXPECT_EQ(table.report_interval(), LoadReportInterval);
    table.store("a", group_loads, Start);
    EXPECT_GE(table.report_interval(), seconds(2));
}

} // namespace
} // namespace liftweir
