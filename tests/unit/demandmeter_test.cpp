// Rates of demand at an entry host, and what the leading control host makes of them.

#include "process/demandtable.h"
#include "request/demandmeter.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);

Deployment deployment() {
    EngineCost engine;
    engine.models.resize(2);
    engine.models[0].name = "small";
    engine.models[1].name = "large";
    Deployment document;
    document.services.push_back({.name = "chat", .engine = engine});
    return document;
}

MeteredRequest request(const std::string& model, const std::string& customer = "",
                       std::uint32_t urgency = 0) {
    return {{"chat", model, urgency, customer}, 700, 80, false};
}

// Counts `per_second` arrivals per second from `from` until `until`.
void load(DemandMeter& meter, const MeteredRequest& asked, int per_second, Time from, Time until) {
    for (Time at = from; at < until; at += Duration(seconds(1)) / per_second)
        meter.count(asked, DemandEvent::Arrived, at);
}

// A control host that begins to lead must plan for the whole load, not for what it saw itself.
TEST(DemandMeter, OneReportOfEachHostGivesANewLeaderTheWholeLoad) {
    DemandTable leader;
    const Time now = Start + seconds(12);
    for (int host = 0; host < 16; ++host) {
        DemandMeter meter;
        load(meter, request("small"), 9, Start, now);
        load(meter, request("large", "", 1), 1, Start, now);
        leader.store(std::to_string(host), meter.report(deployment(), now), now);
    }
    const std::vector<ModelDemand> totals = leader.totals(now);
    ASSERT_EQ(totals.size(), 2u);
    EXPECT_NEAR(totals[0].requests, 16, 4); // one event every second: within a quarter
    EXPECT_NEAR(totals[1].requests, 144, 7);
    EXPECT_NEAR(totals[1].prompt_tokens, 700 * 144, 700 * 7);
    EXPECT_NEAR(totals[1].answer_tokens, 80 * 144, 80 * 7);
}

// Groups follow a shift of the load only if the old model's rate falls as the new one's rises.
TEST(DemandMeter, FollowsAShiftBetweenModelsAndBecomesEmpty) {
    DemandMeter meter;
    const Time shift = Start + seconds(10);
    load(meter, request("small"), 20, Start, shift);
    load(meter, request("large"), 20, shift, shift + seconds(5));
    const auto lines = meter.report(deployment(), shift + seconds(5));
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_EQ(lines[0].model, "large");
    EXPECT_GT(lines[0].requests, 17);
    EXPECT_LT(lines[1].requests, 3);
    EXPECT_TRUE(meter.report(deployment(), shift + seconds(30)).empty());
    EXPECT_EQ(meter.size(), 0u);
}

// Each refused caller returns: counted again, refusals would look like demand and cause more of it.
TEST(DemandMeter, RetriesAreNotCountedAsDemand) {
    DemandMeter meter;
    MeteredRequest retry = request("small", "c");
    retry.retry = true;
    load(meter, retry, 50, Start, Start + seconds(2));
    meter.count(retry, DemandEvent::Refused, Start + seconds(2));
    EXPECT_TRUE(meter.report(deployment(), Start + seconds(2)).empty());
    meter.count(request("small", "c"), DemandEvent::Arrived, Start + seconds(2));
    EXPECT_EQ(meter.report(deployment(), Start + seconds(2)).size(), 2u); // with the customer's
}

TEST(DemandMeter, CustomersAreListedOnlyWhileTheirModelRefuses) {
    DemandMeter meter;
    for (const char* model : {"small", "large"})
        load(meter, request(model, "c"), 20, Start, Start + seconds(4));
    EXPECT_EQ(meter.report(deployment(), Start + seconds(4)).size(), 2u);
    meter.count(request("small", "c"), DemandEvent::Refused, Start + seconds(4));
    meter.count(request("small", "c"), DemandEvent::Abandoned, Start + seconds(4));
    const auto lines = meter.report(deployment(), Start + seconds(4));
    ASSERT_EQ(lines.size(), 3u);
    EXPECT_EQ(lines[2].model + lines[2].customer, "smallc");
    EXPECT_DOUBLE_EQ(lines[2].refused, 0.5);
    EXPECT_DOUBLE_EQ(lines[2].abandoned, 0.5);
    EXPECT_EQ(meter.report(deployment(), Start + milliseconds(6100)).size(), 2u);
}

// Neither the report nor the memory may grow with the number of customers, and the sums over all
// customers, which decide on groups, must not be crowded out.
TEST(DemandMeter, ReportAndMemoryAreBounded) {
    DemandMeter meter;
    for (std::size_t n = 0; n < 2 * DemandMeter::MaxClasses; ++n)
        meter.count(request("small", std::to_string(n)), DemandEvent::Arrived, Start);
    meter.count(request("large"), DemandEvent::Arrived, Start);
    load(meter, request("small", "7"), 20, Start, Start + seconds(1));
    meter.count(request("small"), DemandEvent::Refused, Start + seconds(1));
    EXPECT_LE(meter.size(), DemandMeter::MaxClasses / 2 + 1);
    const auto lines = meter.report(deployment(), Start + seconds(1));
    ASSERT_EQ(lines.size(), MaxDemandLines);
    EXPECT_EQ(lines[0].model + lines[0].customer, "small");
    EXPECT_EQ(lines[1].model + lines[1].customer, "large");
    EXPECT_EQ(lines[2].customer, "7");
}

} // namespace
} // namespace liftweir
