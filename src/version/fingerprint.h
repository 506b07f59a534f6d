#ifndef FINGERPRINT_H_INCLUDED
#define FINGERPRINT_H_INCLUDED

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace liftweir {

// Identifies what is asked, by whom: who asks the same again has the same one, under whatever
// request id and at whatever entry host. 128 bits of a SHA-256, so that nobody can choose a request
// that is taken for another's.
struct Fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Fingerprint&) const = default;
    MSGPACK_DEFINE(high, low)
};

// What a fingerprint is made of.
struct RequestContent {
    std::string_view customer; // empty where the route needs no key
    std::string_view method;
    std::string_view host; // of the route, so that its spelling does not matter
    std::string_view target;
    std::string_view body;

    auto operator<=>(const RequestContent&) const = default;
};

Fingerprint fingerprint_of(const RequestContent& content);

// 32 hex digits; for the log.
std::string text_of(const Fingerprint& fingerprint);

} // namespace liftweir

#endif // FINGERPRINT_H_INCLUDED
