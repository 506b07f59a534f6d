// What callers ask of one model, as entry hosts report it to the leading control host.

#ifndef MODELDEMAND_H_INCLUDED
#define MODELDEMAND_H_INCLUDED

#include "version/deployment.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace liftweir {

// Rank of a request among those of its service; lower is more urgent. The customer's priority
// takes precedence over the route's.
std::uint32_t urgency_of(std::uint32_t customer_priority, std::uint32_t route_priority);

// Requests per second and their tokens per second at callers' first attempts. A retry is the same
// demand once more, and is not counted.
struct ModelDemand {
    std::string service;
    std::string model;
    std::uint32_t urgency = 0;
    std::string customer; // empty: all customers together
    double requests = 0;
    double prompt_tokens = 0;
    double answer_tokens = 0;
    double refused = 0;   // requests that were refused
    double abandoned = 0; // requests whose callers left before the first event

    auto operator<=>(const ModelDemand&) const = default;
    MSGPACK_DEFINE(service, model, urgency, customer, requests, prompt_tokens, answer_tokens,
                   refused, abandoned)
};

// Most lines of one entry host's report. A host has a few aggregate lines and, while it rejects
// requests, some for its largest customers.
constexpr std::size_t MaxDemandLines = 32;

// Number of groups of the model that the demand keeps busy all the time.
double work_of(const ModelDemand& demand, const EngineCost& engine, const ModelShape& model);
// The same for each model of the engine, over the lines for all customers together.
std::map<std::string, double> work_by_model(const std::vector<ModelDemand>& lines,
                                            const EngineCost& engine);

// A customer's part of the class that is admitted partly.
struct CustomerPart {
    std::string customer;
    double part = 1; // of its requests that are admitted, 0 to 1

    auto operator<=>(const CustomerPart&) const = default;
    MSGPACK_DEFINE(customer, part)
};

// Which requests for an overloaded model are admitted.
struct AdmissionLevel {
    std::string service;
    std::string model;
    std::uint32_t urgency = 0; // more urgent requests are admitted, less urgent ones rejected
    double part = 1;           // of the requests with this urgency, for customers not listed
    std::vector<CustomerPart> customers;
    std::uint32_t opens_in_ms = 0; // until the next group opens; 0 if that is unknown
    double load = 0;               // requested work divided by the capacity of the open groups

    auto operator<=>(const AdmissionLevel&) const = default;
    MSGPACK_DEFINE(service, model, urgency, part, customers, opens_in_ms, load)
};

} // namespace liftweir

#endif // MODELDEMAND_H_INCLUDED
