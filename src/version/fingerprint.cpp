// Computes fingerprints from the SHA-256 of a request's parts.

#include "version/fingerprint.h"

#include "connection/secret.h"

#include <charconv>
#include <cstdio>
#include <cstdlib>

namespace liftweir {

namespace {

constexpr std::size_t HexDigitsPerWord = 16;
constexpr int HexBase = 16;

// The high word of the fingerprints of prompt parts. No request can be constructed whose SHA-256
// begins with it.
constexpr std::uint64_t PromptPartTag = 0x70726f6d70740001;

// Prefixes each part with its length, so that two different requests never give the same text.
void add_part(std::string& text, std::string_view part) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

std::uint64_t word_at(const std::string& hex, std::size_t at) {
    return std::strtoull(hex.substr(at, HexDigitsPerWord).c_str(), nullptr, HexBase);
}

} // namespace

Fingerprint fingerprint_of(const RequestContent& content) {
    std::string text;
    for (const std::string_view part :
         {content.customer, content.method, content.host, content.target, content.body})
        add_part(text, part);
    const std::string hex = sha256_hex(text);
    return {word_at(hex, 0), word_at(hex, HexDigitsPerWord)};
}

// Keeps a numeric id readable, so that an operator finds it in the callers' requests.
Fingerprint fingerprint_of_part(std::string_view id) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number, HexBase);
    if (error != std::errc() || end != id.data() + id.size())
        number = word_at(sha256_hex(id), 0);
    return {PromptPartTag, number};
}

bool is_prompt_part(const Fingerprint& fingerprint) {
    return fingerprint.high == PromptPartTag;
}

std::string text_of(const Fingerprint& fingerprint) {
    char text[2 * HexDigitsPerWord + 1];
    if (is_prompt_part(fingerprint)) {
        (void)std::snprintf(text, sizeof text, "part:%llx",
                            static_cast<unsigned long long>(fingerprint.low));
        return text;
    }
    (void)std::snprintf(text, sizeof text, "%016llx%016llx",
                        static_cast<unsigned long long>(fingerprint.high),
                        static_cast<unsigned long long>(fingerprint.low));
    return text;
}

} // namespace liftweir
