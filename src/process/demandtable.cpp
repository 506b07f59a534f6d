// Table of the demand reports of all entry hosts.

#include "process/demandtable.h"

#include "process/metrics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace liftweir {

namespace {

// Four report intervals: neither a late report nor a lost one changes the sums.
constexpr Duration ReportTimeout = std::chrono::seconds(2);
// Bound of a valid rate. No host has as many tokens per second, and sums stay finite.
constexpr double MaxPerSecond = 1e12;

constexpr std::array Rates = {&ModelDemand::requests, &ModelDemand::prompt_tokens,
                              &ModelDemand::answer_tokens, &ModelDemand::refused,
                              &ModelDemand::abandoned};

auto key_of(const ModelDemand& line) {
    return std::tie(line.service, line.model, line.urgency, line.customer);
}

// Why the rate is invalid; null for a valid one.
const char* fault_of(double rate) {
    if (std::isnan(rate))
        return "not_a_number";
    if (std::isinf(rate))
        return "infinite";
    if (rate < 0)
        return "negative";
    return rate > MaxPerSecond ? "too_large" : nullptr;
}

const char* fault_of(const ModelDemand& line) {
    for (const auto rate : Rates)
        if (const char* fault = fault_of(line.*rate))
            return fault;
    return nullptr;
}

void note_ignored(const char* why, std::size_t lines) {
    Metrics::instance()
        .counter("liftweir_demand_ignored", std::string("why=\"") + why + "\"")
        .add(lines);
}

} // namespace

void DemandTable::store(const std::string& entry, std::vector<ModelDemand> lines, Time now) {
    if (lines.size() > MaxDemandLines) {
        note_ignored("too_many", lines.size() - MaxDemandLines);
        lines.resize(MaxDemandLines);
    }
    std::erase_if(lines, [](const ModelDemand& line) {
        const char* fault = fault_of(line);
        if (fault != nullptr)
            note_ignored(fault, 1);
        return fault != nullptr;
    });
    if (lines.empty())
        reports_.erase(entry);
    else
        reports_[entry] = {std::move(lines), now};
}

std::vector<ModelDemand> DemandTable::totals(Time now) const {
    std::vector<const ModelDemand*> lines;
    for (const auto& [entry, report] : reports_)
        if (now - report.received_at <= ReportTimeout)
            for (const ModelDemand& line : report.lines)
                lines.push_back(&line);
    std::stable_sort(lines.begin(), lines.end(), [](const ModelDemand* a, const ModelDemand* b) {
        return key_of(*a) < key_of(*b);
    });
    std::vector<ModelDemand> sums;
    for (const ModelDemand* line : lines) {
        if (sums.empty() || key_of(sums.back()) != key_of(*line)) {
            sums.push_back(*line);
            continue;
        }
        for (const auto rate : Rates)
            sums.back().*rate += line->*rate;
    }
    return sums;
}

void DemandTable::expire(Time now) {
    std::erase_if(reports_,
                  [&](const auto& item) { return now - item.second.received_at > ReportTimeout; });
}

} // namespace liftweir
