// The newest admission plan of the leading control host, as an entry host applies it.

#ifndef ADMISSIONLEVELS_H_INCLUDED
#define ADMISSIONLEVELS_H_INCLUDED

#include "process/clock.h"
#include "request/modeldemand.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// Why a plan does not admit a request.
enum class AdmissionRefusal : std::uint8_t {
    None,    // the request is admitted
    Urgency, // the groups are needed for more urgent requests, or for others of the same urgency
    Share    // the customer asks for more than its share of the class
};

// Label of the refusal in metrics.
std::string_view name_of(AdmissionRefusal refusal);

// Applies the fractions of a plan to single requests. A plan expires; without one, all requests are
// admitted. Pure: no I/O and no clock of its own.
class AdmissionLevels {
  public:
    // How long a plan is valid after its receipt.
    static constexpr Duration Validity = std::chrono::seconds(2);

    // Replaces the plan. One without levels ends the overload.
    void store(std::vector<AdmissionLevel> levels, Time now);

    // Whether the newest plan still counts.
    bool valid(Time now) const { return now - received_ < Validity; }
    // Number of models that are overloaded.
    std::size_t models(Time now) const { return valid(now) ? levels_.size() : 0; }

    // `draw` is uniform in 0 to 1. Only for callers' first attempts: a fraction that was applied to
    // each retry as well would hold for none of them.
    AdmissionRefusal refusal(const std::string& service, const std::string& model,
                             std::uint32_t urgency, const std::string& customer, double draw,
                             Time now) const;
    bool admits(const std::string& service, const std::string& model, std::uint32_t urgency,
                const std::string& customer, double draw, Time now) const {
        return refusal(service, model, urgency, customer, draw, now) == AdmissionRefusal::None;
    }
    // Time until the next group of the model is expected to open; zero if unknown.
    Duration opens_in(const std::string& service, const std::string& model, Time now) const;
    // Requested work divided by the capacity of the open groups; zero without an overload.
    double load(const std::string& service, const std::string& model, Time now) const;

  private:
    const AdmissionLevel* find(const std::string& service, const std::string& model,
                               Time now) const;

    std::vector<AdmissionLevel> levels_;
    Time received_{};
};

} // namespace liftweir

#endif // ADMISSIONLEVELS_H_INCLUDED
