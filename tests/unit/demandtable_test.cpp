// The leading control host's sums of the demand reports.

#include "process/demandtable.h"
#include "process/metrics.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);

ModelDemand line(const std::string& model, double requests, const std::string& customer = "") {
    return {"chat", model, 0, customer, requests, 100 * requests, 10 * requests, 0, 0};
}

// Lines of different classes must not be added up, and those of one class must be.
TEST(DemandTable, SumsTheHostsByClass) {
    DemandTable table;
    for (int n = 0; n < 16; ++n)
        table.store("entry-" + std::to_string(n), {line("small", 9), line("large", 1)}, Start);
    table.store("entry-3", {line("small", 10), line("small", 4, "c")}, Start);
    const std::vector<ModelDemand> expected = {line("large", 15), line("small", 145),
                                               line("small", 4, "c")};
    EXPECT_EQ(table.totals(Start), expected);
}

// The demand of a lost host must not hold groups that other models need.
TEST(DemandTable, SilentHostCountsForNothingAfterTwoSeconds) {
    DemandTable table;
    table.store("lost", {line("small", 9)}, Start);
    table.store("idle", {line("small", 5)}, Start);
    table.store("idle", {}, Start + seconds(1));
    EXPECT_EQ(table.totals(Start + seconds(2)), std::vector{line("small", 9)});
    EXPECT_TRUE(table.totals(Start + milliseconds(2001)).empty());
    table.expire(Start + milliseconds(2001));
    EXPECT_TRUE(table.empty());
}

// One line with a wrong number must not spoil the sums of all hosts.
TEST(DemandTable, IgnoresAndCountsInvalidLines) {
    const auto ignored = [](const std::string& why) {
        return Metrics::instance()
            .counter("liftweir_demand_ignored", "why=\"" + why + "\"")
            .value();
    };
    const std::map<std::string, double> faults = {
        {"negative", -1},
        {"not_a_number", std::nan("")},
        {"infinite", std::numeric_limits<double>::infinity()},
        {"too_large", 1e300}};
    for (const auto& [why, number] : faults) {
        DemandTable table;
        const std::uint64_t before = ignored(why);
        ModelDemand bad = line("small", 1);
        bad.answer_tokens = number;
        table.store("a", {bad, line("large", 1)}, Start);
        EXPECT_EQ(table.totals(Start), std::vector{line("large", 1)}) << why;
        EXPECT_EQ(ignored(why), before + 1) << why;
    }
    DemandTable table;
    table.store("a", std::vector(MaxDemandLines + 5, line("small", 1)), Start);
    EXPECT_EQ(table.totals(Start), std::vector{line("small", MaxDemandLines)});
}

} // namespace
} // namespace liftweir
