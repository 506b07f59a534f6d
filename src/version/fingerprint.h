// Fingerprints that recognise repeated requests and shared parts of prompts, e.g. those that crash
// endpoints.

#ifndef FINGERPRINT_H_INCLUDED
#define FINGERPRINT_H_INCLUDED

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace liftweir {

// Identifies the content and the customer of a request: a repeated request has the same fingerprint
// under any request id and at any entry host. It consists of 128 bits of a SHA-256, so that nobody
// can construct a request that is taken for another one.
struct Fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Fingerprint&) const = default;
    MSGPACK_DEFINE(high, low)
};

// The parts of a request that its fingerprint covers.
struct RequestContent {
    std::string_view customer; // empty if the route needs no key
    std::string_view method;
    std::string_view host; // as the route spells it, so that the request's spelling does not matter
    std::string_view target;
    std::string_view body;

    auto operator<=>(const RequestContent&) const = default;
};

Fingerprint fingerprint_of(const RequestContent& content);

// Identifies a part of a prompt that several requests may share. `id` is the part's id as callers
// write it, usually a hexadecimal number.
Fingerprint fingerprint_of_part(std::string_view id);
bool is_prompt_part(const Fingerprint& fingerprint);

// For the log: 32 hexadecimal digits, or "part:" and the id of a part of a prompt.
std::string text_of(const Fingerprint& fingerprint);

} // namespace liftweir

#endif // FINGERPRINT_H_INCLUDED
