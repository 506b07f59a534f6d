#include "version/fingerprint.h"

#include "connection/secret.h"

#include <cstdio>
#include <cstdlib>

namespace liftweir {

namespace {

constexpr std::size_t HexOfWord = 16;
constexpr int HexBase = 16;

// With its length before it, no part can run over into the next one.
void add_part(std::string& text, std::string_view part) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

std::uint64_t word_at(const std::string& hex, std::size_t at) {
    return std::strtoull(hex.substr(at, HexOfWord).c_str(), nullptr, HexBase);
}

} // namespace

Fingerprint fingerprint_of(const RequestContent& content) {
    std::string text;
    for (const std::string_view part :
         {content.customer, content.method, content.host, content.target, content.body})
        add_part(text, part);
    const std::string hex = sha256_hex(text);
    return {word_at(hex, 0), word_at(hex, HexOfWord)};
}

std::string text_of(const Fingerprint& fingerprint) {
    char text[2 * HexOfWord + 1];
    (void)std::snprintf(text, sizeof text, "%016llx%016llx",
                        static_cast<unsigned long long>(fingerprint.high),
                        static_cast<unsigned long long>(fingerprint.low));
    return text;
}

} // namespace liftweir
