// Creation and verification of tickets: an expiry time and its MAC.

#include "connection/ticket.h"

#include <charconv>

namespace liftweir {

namespace {

constexpr std::string_view Prefix = "lwt-";

std::string to_hex(std::string_view bytes) {
    constexpr char Digits[] = "0123456789abcdef";
    std::string out;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        out += Digits[byte >> 4];
        out += Digits[byte & 15];
    }
    return out;
}

std::string from_hex(std::string_view hex) {
    std::string out;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
        unsigned value = 0;
        const auto parsed = std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
        if (parsed.ec != std::errc() || parsed.ptr != hex.data() + i + 2)
            return {};
        out += static_cast<char>(value);
    }
    return out;
}

std::string signed_text(std::string_view until) {
    return "ticket|" + std::string(until);
}

} // namespace

std::string make_ticket(const ClusterKeys& keys, std::int64_t until_ms) {
    const std::string until = std::to_string(until_ms);
    return std::string(Prefix) + until + "-" + to_hex(keys.sign(signed_text(until)));
}

std::string_view bearer_token(std::string_view authorization) {
    constexpr std::string_view Scheme = "Bearer ";
    return authorization.starts_with(Scheme) ? authorization.substr(Scheme.size())
                                             : std::string_view{};
}

bool ticket_is_valid(const ClusterKeys& keys, std::string_view authorization, std::int64_t now_ms) {
    std::string_view ticket = bearer_token(authorization);
    if (!ticket.starts_with(Prefix))
        return false;
    ticket.remove_prefix(Prefix.size());
    const auto dash = ticket.find('-');
    if (dash == std::string_view::npos)
        return false;
    const std::string_view until = ticket.substr(0, dash);
    std::int64_t until_ms = 0;
    std::from_chars(until.data(), until.data() + until.size(), until_ms);
    const std::string mac = from_hex(ticket.substr(dash + 1));
    return mac.size() == MacBytes && keys.verify(signed_text(until), mac) && now_ms < until_ms;
}

} // namespace liftweir
