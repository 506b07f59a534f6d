// Log lines about changes of admission plans.

#include "process/admissionlog.h"

#include "process/logging.h"

#include <cmath>
#include <cstdio>

namespace liftweir {

namespace {

// A part varies with the noise of the rates from plan to plan.
constexpr double VisibleChange = 0.1;

std::string two_decimals(double value) {
    char text[32];
    (void)std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

bool differs_visibly(const AdmissionLevel& from, const AdmissionLevel& to) {
    return from.urgency != to.urgency || std::abs(from.part - to.part) >= VisibleChange;
}

} // namespace

std::size_t AdmissionLog::note(const std::vector<AdmissionLevel>& levels) {
    std::size_t lines = 0;
    auto ended = shown_;
    for (const AdmissionLevel& level : levels) {
        const std::pair<std::string, std::string> key{level.service, level.model};
        ended.erase(key);
        const auto [shown, is_new] = shown_.try_emplace(key, level);
        if (!is_new && !differs_visibly(shown->second, level))
            continue;
        shown->second = level;
        ++lines;
        log(LogLevel::Info, "admission plan",
            {{"service", level.service},
             {"model", level.model},
             {"urgency", std::to_string(level.urgency)},
             {"part", two_decimals(level.part)},
             {"load", two_decimals(level.load)},
             {"customers", std::to_string(level.customers.size())},
             {"opens_in_ms", std::to_string(level.opens_in_ms)}});
    }
    for (const auto& [key, level] : ended) {
        shown_.erase(key);
        ++lines;
        log(LogLevel::Info, "admission plan ended",
            {{"service", level.service}, {"model", level.model}});
    }
    return lines;
}

} // namespace liftweir
