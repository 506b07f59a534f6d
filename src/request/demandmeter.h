// The demand for models that one entry host observes (liftweir-site-entry).

#ifndef DEMANDMETER_H_INCLUDED
#define DEMANDMETER_H_INCLUDED

#include "process/clock.h"
#include "request/modeldemand.h"
#include "version/deployment.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace liftweir {

// Requests that are counted together.
struct DemandClass {
    std::string service;
    std::string model;
    std::uint32_t urgency = 0;
    std::string customer; // empty if the route needs no key

    auto operator<=>(const DemandClass&) const = default;
};

enum class DemandEvent : std::uint8_t {
    Arrived,
    Admitted, // was sent to an endpoint for the first time
    Refused,  // for lack of capacity
    Abandoned // its caller left, or its time limit passed, before the first event
};

// Name of the event in metrics.
std::string_view name_of(DemandEvent event);

// A caller's request as the meter counts it.
struct MeteredRequest {
    DemandClass demand_class;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0; // most that may be generated
    bool retry = false;              // the caller has waited before, or resumes a stream

    auto operator<=>(const MeteredRequest&) const = default;
};

// Rates of callers' first attempts, smoothed over 2 s. A retry is the same demand once more and is
// not counted. Pure: no I/O and no clock of its own.
class DemandMeter {
  public:
    // Most classes that are counted, of them half for single customers.
    static constexpr std::size_t MaxClasses = 4096;

    // Counts the event. Requests of further classes than MaxClasses are ignored.
    void count(const MeteredRequest& request, DemandEvent event, Time now);
    // The report to the leading control host, at most MaxDemandLines lines: for all customers
    // together by descending work, then in the same order for each customer, of models for which
    // requests were rejected within the last 2 s. Models that the document lacks are left out.
    // Forgets classes without recent requests; empty once there are no others.
    std::vector<ModelDemand> report(const Deployment& deployment, Time now);
    // Number of classes that are being counted.
    std::size_t size() const { return rates_.size(); }

  private:
    // Rates per second at the time of the last event.
    struct Rates {
        double requests = 0;
        double prompt_tokens = 0;
        double answer_tokens = 0;
        double refused = 0;
        double abandoned = 0;
        Time updated{};

        void decay(Time now);
        void add(const MeteredRequest& request, DemandEvent event);
        bool negligible() const;
    };
    using ServiceAndModel = std::pair<std::string, std::string>;

    void count_in(const DemandClass& key, const MeteredRequest& request, DemandEvent event,
                  Time now);
    bool is_refusing(const DemandClass& key, Time now) const;

    std::map<DemandClass, Rates> rates_; // an empty customer stands for all of them
    std::map<ServiceAndModel, Time> last_refused_;
};

} // namespace liftweir

#endif // DEMANDMETER_H_INCLUDED
