// The translation between a deployment's HTTP headers and what liftweir-site-entry needs of them.

#ifndef CALLERPROTOCOL_H_INCLUDED
#define CALLERPROTOCOL_H_INCLUDED

#include "connection/httpchannel.h"
#include "connection/httpserver.h"
#include "process/failure.h"
#include "process/registry.h"
#include "request/urgencyranks.h"
#include "version/fingerprint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// A caller's request, independent of the header names of the deployment.
struct CallerRequest {
    std::string id; // given by the caller, a new one for each attempt; empty if it gave none
    std::string host;
    std::string path;
    std::optional<std::string> key;     // the customer's API key
    std::optional<Duration> time_limit; // how long the caller will wait from now
    std::string model;                  // empty for plain services
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0; // most that may be generated; 0 if the caller names no number
    std::string last_event;          // the caller resumes a stream after this event
    std::vector<Fingerprint> shared_parts; // parts of the prompt that other requests may hold too
    bool wellformed = true;

    auto operator<=>(const CallerRequest&) const = default;
};

// What an entry host adds to a request that it forwards.
struct ForwardedFields {
    EndpointId endpoint;
    std::string customer; // empty if the route needs no key
    Duration time_left{};
    std::string last_event; // empty: from the beginning
    std::uint32_t engine_priority = DefaultEnginePriority;

    auto operator<=>(const ForwardedFields&) const = default;
};

// What is wrong with a number in a header of an endpoint's response.
enum class NumberFault : std::uint8_t {
    None,
    Repeated,   // more than one value
    Unreadable, // not a decimal number
    OutOfRange
};

// Name of the fault in the process log and in metrics.
std::string_view name_of(NumberFault fault);

// What the head of an endpoint's response says beyond its status.
struct ResponseSignals {
    bool not_run = false;     // the endpoint guarantees that it did not run the request
    bool foreign = false;     // not an answer of the endpoint to this request
    bool misdirected = false; // another incarnation has the address
    // Requests per second that the endpoint accepts from all entry hosts together; zero if it
    // reports no limit or an invalid one.
    double limit_per_second = 0;
    NumberFault limit_fault = NumberFault::None;
    // An endpoint that rejected the request accepts none from this entry host for this time.
    Duration backoff{};
    NumberFault backoff_fault = NumberFault::None;
    bool leaving = false; // the endpoint is shutting down and accepts no new requests

    auto operator<=>(const ResponseSignals&) const = default;
};

// The header names and formats that callers and endpoints use. Translates only, and makes no
// decisions.
class CallerProtocol {
  public:
    virtual ~CallerProtocol() = default;
    virtual CallerRequest read(const RequestView& head) const = 0;
    virtual HttpRequestHead forward(const HttpExchange& exchange,
                                    const ForwardedFields& note) const = 0;
    virtual ResponseSignals parse_response(const HttpResponseHead& head,
                                           const CallerRequest& request) const = 0;
    // Headers of a response that liftweir itself gives; a `retry_after` of zero adds no header.
    virtual HttpHeaders local_response_headers(const CallerRequest& request,
                                               Duration retry_after) const = 0;
};

} // namespace liftweir

#endif // CALLERPROTOCOL_H_INCLUDED
