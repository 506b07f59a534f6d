#ifndef METRICNAMES_H_INCLUDED
#define METRICNAMES_H_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// How a metric is read: a count since the start, a present value, or a distribution.
enum class MetricKind : unsigned char { Counter, Gauge, Histogram };

// What a metric tells. The page docs/METRICS.md and the HELP lines of /metrics come from it.
struct MetricInfo {
    std::string_view name;
    MetricKind kind;
    std::string_view unit;
    std::string_view labels; // empty where it has none
    std::string_view programs;
    std::string_view meaning;
};

// All metrics, in the order of the page.
const std::vector<MetricInfo>& metric_table();
// Null where the table has no such metric.
const MetricInfo* find_metric(std::string_view name);
// The page of all metrics, in Markdown.
std::string metrics_page();

} // namespace liftweir

#endif // METRICNAMES_H_INCLUDED
