// Cryptographic primitives over OpenSSL.

#include "connection/secret.h"

#include "process/clock.h"

#include <algorithm>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace liftweir {

namespace {

std::string hmac(std::string_view key, std::string_view text) {
    std::string mac(MacBytes, '\0');
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         reinterpret_cast<unsigned char*>(mac.data()), &length);
    return mac;
}

} // namespace

std::string ClusterKeys::sign(std::string_view text) const {
    if (trusts_network())
        return std::string(MacBytes, '\0');
    return hmac(keys_.front(), text);
}

bool ClusterKeys::verify(std::string_view text, std::string_view mac) const {
    if (trusts_network())
        return true;
    return std::any_of(keys_.begin(), keys_.end(), [&](const std::string& key) {
        const std::string expected = hmac(key, text);
        return mac.size() <= expected.size() && mac.size() >= ShortMacBytes &&
               equal_in_constant_time(std::string_view(expected).substr(0, mac.size()), mac);
    });
}

std::string ClusterKeys::append_mac(std::string_view body) const {
    return std::string(body) + sign(body).substr(0, ShortMacBytes);
}

std::string_view ClusterKeys::strip_mac(std::string_view datagram) const {
    if (datagram.size() <= ShortMacBytes)
        return {};
    const auto body = datagram.substr(0, datagram.size() - ShortMacBytes);
    return verify(body, datagram.substr(body.size())) ? body : std::string_view{};
}

std::string random_bytes(std::size_t count) {
    std::string bytes(count, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count));
    return bytes;
}

// The high bits hold the wall time in milliseconds, which increases from start to start because a
// restart takes longer than the clock's error. The random low bits distinguish two starts within
// one millisecond.
std::uint64_t new_incarnation() {
    std::uint64_t random = 0;
    std::memcpy(&random, random_bytes(sizeof random).data(), sizeof random);
    constexpr unsigned RandomBits = 20;
    return (static_cast<std::uint64_t>(wall_millis()) << RandomBits) |
           (random & ((1u << RandomBits) - 1));
}

std::string sha256_hex(std::string_view text) {
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
    constexpr char Hex[] = "0123456789abcdef";
    std::string out;
    for (const unsigned char byte : digest) {
        out += Hex[byte >> 4];
        out += Hex[byte & 15];
    }
    return out;
}

bool equal_in_constant_time(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace liftweir
