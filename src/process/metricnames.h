// The table of all metrics of all programs, with their units and meanings. docs/METRICS.md and the
// HELP lines of /metrics are generated from it.

#ifndef METRICNAMES_H_INCLUDED
#define METRICNAMES_H_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// A count since the start of the process, a present value, or a distribution.
enum class MetricKind : unsigned char { Counter, Gauge, Histogram };

// A metric's row in the table.
struct MetricInfo {
    std::string_view name;
    MetricKind kind;
    std::string_view unit;
    std::string_view labels; // empty where it has none
    std::string_view programs;
    std::string_view meaning;
};

// All metrics, in the order of docs/METRICS.md.
const std::vector<MetricInfo>& metric_table();
// The metric of this name; null where the table has none.
const MetricInfo* find_metric(std::string_view name);
// The content of docs/METRICS.md.
std::string metrics_page();

} // namespace liftweir

#endif // METRICNAMES_H_INCLUDED
