// Application of an admission plan to single requests.

#include "request/admissionlevels.h"

#include <algorithm>
#include <utility>

namespace liftweir {

std::string_view name_of(AdmissionRefusal refusal) {
    switch (refusal) {
    case AdmissionRefusal::None:
        return "none";
    case AdmissionRefusal::Urgency:
        return "urgency";
    case AdmissionRefusal::Share:
        return "share";
    }
    return "unknown";
}

void AdmissionLevels::store(std::vector<AdmissionLevel> levels, Time now) {
    levels_ = std::move(levels);
    received_ = now;
}

const AdmissionLevel* AdmissionLevels::find(const std::string& service, const std::string& model,
                                            Time now) const {
    if (!valid(now))
        return nullptr;
    const auto found = std::find_if(levels_.begin(), levels_.end(), [&](const auto& level) {
        return level.service == service && level.model == model;
    });
    return found == levels_.end() ? nullptr : &*found;
}

// A customer with a line is refused for its share only where others of its class are admitted more
// often. Otherwise the whole class is too much.
AdmissionRefusal AdmissionLevels::refusal(const std::string& service, const std::string& model,
                                          std::uint32_t urgency, const std::string& customer,
                                          double draw, Time now) const {
    const AdmissionLevel* level = find(service, model, now);
    if (level == nullptr || urgency < level->urgency)
        return AdmissionRefusal::None;
    if (urgency > level->urgency)
        return AdmissionRefusal::Urgency;
    const auto named =
        std::find_if(level->customers.begin(), level->customers.end(),
                     [&](const CustomerPart& line) { return line.customer == customer; });
    const double part = named == level->customers.end() ? level->part : named->part;
    if (draw < part || part >= 1)
        return AdmissionRefusal::None;
    return part < level->part ? AdmissionRefusal::Share : AdmissionRefusal::Urgency;
}

Duration AdmissionLevels::opens_in(const std::string& service, const std::string& model,
                                   Time now) const {
    const AdmissionLevel* level = find(service, model, now);
    if (level == nullptr || level->opens_in_ms == 0)
        return Duration::zero();
    const Duration left = std::chrono::milliseconds(level->opens_in_ms) - (now - received_);
    return std::max<Duration>(left, std::chrono::milliseconds(1));
}

double AdmissionLevels::load(const std::string& service, const std::string& model, Time now) const {
    const AdmissionLevel* level = find(service, model, now);
    return level == nullptr ? 0 : level->load;
}

} // namespace liftweir
