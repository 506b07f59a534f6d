// The table of metrics, and the text of /metrics.

#include "process/metricnames.h"
#include "process/metrics.h"

#include <gtest/gtest.h>

#include <set>

namespace liftweir {
namespace {

TEST(MetricTable, ListsEachMetricOnceWithUnitAndMeaning) {
    std::set<std::string_view> names;
    for (const MetricInfo& info : metric_table()) {
        EXPECT_TRUE(names.insert(info.name).second) << info.name;
        EXPECT_FALSE(info.meaning.empty()) << info.name;
        EXPECT_FALSE(info.unit.empty()) << info.name;
        EXPECT_NE(metrics_page().find("`" + std::string(info.name) + "`"), std::string::npos);
    }
}

TEST(MetricTable, HelpLinesComeFromTheTable) {
    Metrics::instance().counter("liftweir_resumed").add();
    const std::string text = Metrics::instance().text();
    EXPECT_NE(text.find("# HELP liftweir_resumed Streams that went on at another group.\n"
                        "# TYPE liftweir_resumed counter\n"),
              std::string::npos);
}

// Gauges that outlive the object they read from crash the process at the next read of /metrics.
TEST(MetricTable, GaugesAreRemovedWithTheirOwner) {
    Metrics::instance().gauge("liftweir_voters", [] { return 7.0; });
    {
        OwnedGauges gauges;
        gauges.add("liftweir_leads", [] { return 1.0; });
        EXPECT_NE(Metrics::instance().text().find("liftweir_leads 1"), std::string::npos);
    }
    EXPECT_EQ(Metrics::instance().text().find("liftweir_leads 1"), std::string::npos);
    EXPECT_NE(Metrics::instance().text().find("liftweir_voters 7"), std::string::npos);
}

// A repeated header, or labels in it, makes the page unreadable for Prometheus.
TEST(MetricTable, GaugesThatDifferByLabelShareOneHeader) {
    OwnedGauges gauges;
    gauges.add(
        "liftweir_demand_work", [] { return 1.0; }, "model=\"a\"");
    gauges.add(
        "liftweir_demand_work", [] { return 2.0; }, "model=\"b\"");
    EXPECT_NE(Metrics::instance().text().find("# TYPE liftweir_demand_work gauge\n"
                                              "liftweir_demand_work{model=\"a\"} 1\n"
                                              "liftweir_demand_work{model=\"b\"} 2\n"),
              std::string::npos);
}

} // namespace
} // namespace liftweir
