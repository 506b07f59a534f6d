// Identity of an endpoint that registers itself.

#ifndef ENDPOINTID_H_INCLUDED
#define ENDPOINTID_H_INCLUDED

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <utility>

namespace liftweir {

// One incarnation of an endpoint. An endpoint may restart under the same name and then has none of
// its earlier state. Later starts under a name compare greater than earlier ones.
struct EndpointId {
    std::string name;
    std::uint64_t started_ms = 0; // Unix time as the endpoint reports it; 0 if it reports none

    EndpointId() = default;
    EndpointId(std::string name_, std::uint64_t started_ms_ = 0)
        : name(std::move(name_)), started_ms(started_ms_) {}
    EndpointId(const char* name_) : name(name_) {}

    auto operator<=>(const EndpointId&) const = default;
    MSGPACK_DEFINE(name, started_ms)

    bool empty() const { return name.empty(); }
    bool has_start_time() const { return started_ms != 0; }
    // True for an earlier start under the same name.
    bool started_before(const EndpointId& other) const {
        return name == other.name && started_ms < other.started_ms;
    }
};

// NAME, or NAME@START if the start time is known; for the log.
std::string text_of(const EndpointId& id);

} // namespace liftweir

#endif // ENDPOINTID_H_INCLUDED
