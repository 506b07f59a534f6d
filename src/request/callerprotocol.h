#ifndef CALLERPROTOCOL_H_INCLUDED
#define CALLERPROTOCOL_H_INCLUDED

#include "connection/httpchannel.h"
#include "connection/httpserver.h"
#include "process/failure.h"
#include "process/registry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace liftweir {

// What a caller's request asks for, whatever its headers are called.
struct CallerRequest {
    std::string id; // the caller's own, one for each attempt; empty where it gave none
    std::string host;
    std::string path;
    std::optional<std::string> key;     // of a customer
    std::optional<Duration> time_limit; // how long the caller will wait from now
    std::string model;                  // empty for plain services
    std::uint32_t prompt_tokens = 0;
    std::string last_event; // the caller resumes a stream behind this event
    bool wellformed = true;

    auto operator<=>(const CallerRequest&) const = default;
};

// What an entry host adds to a request that it passes on.
struct ForwardedFields {
    EndpointId endpoint;
    std::string customer; // empty where the route needs no key
    Duration time_left{};
    std::string last_event;    // empty: from the beginning
    bool low_priority = false; // requests that may still be in time go first

    auto operator<=>(const ForwardedFields&) const = default;
};

// What is wrong with a number that an endpoint's answer names.
enum class NumberFault : std::uint8_t {
    None,
    Repeated,   // more than one value
    Unreadable, // no decimal number
    OutOfRange
};

// The fault's word in the log and in metrics.
std::string_view name_of(NumberFault fault);

// What the head of an endpoint's answer says beyond its status.
struct ResponseSignals {
    bool not_run = false;             // the endpoint promises that it did not run the request
    bool request_id_mismatch = false; // the answer belongs to another request
    bool misdirected = false;         // another incarnation has the address
    // Requests a second that the endpoint takes from all entry hosts together; zero where it names
    // no limit, or a wrong one.
    double limit_per_second = 0;
    NumberFault limit_fault = NumberFault::None;
    // An endpoint that turned the request away wants none of this entry host for so long.
    Duration backoff{};
    NumberFault backoff_fault = NumberFault::None;
    bool leaving = false; // the endpoint takes no new work

    auto operator<=>(const ResponseSignals&) const = default;
};

// The callers' and endpoints' dialect of HTTP. Translates; decides nothing.
class CallerProtocol {
  public:
    virtual ~CallerProtocol() = default;
    virtual CallerRequest read(const HttpExchange& exchange) const = 0;
    virtual HttpRequestHead forward(const HttpExchange& exchange,
                                    const ForwardedFields& note) const = 0;
    virtual ResponseSignals parse_response(const HttpResponseHead& head,
                                           const CallerRequest& request) const = 0;
    // Headers of an answer that liftweir gives itself; `retry_after` zero where it names none.
    virtual HttpHeaders own_answer_headers(const CallerRequest& request,
                                           Duration retry_after) const = 0;
};

} // namespace liftweir

#endif // CALLERPROTOCOL_H_INCLUDED
