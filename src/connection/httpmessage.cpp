// Comparison and assembly of HTTP headers.

#include "connection/httpmessage.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace liftweir {

namespace {

constexpr std::array<std::string_view, 8> HopByHop = {
    "connection", "keep-alive", "transfer-encoding", "te",
    "trailer",    "upgrade",    "proxy-connection",  "content-length"};

char lower(char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::string_view trimmed(std::string_view text) {
    const auto blank = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && blank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && blank(text.back()))
        text.remove_suffix(1);
    return text;
}

} // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view find_header(const HttpHeaders& headers, std::string_view name) {
    for (const auto& [key, value] : headers)
        if (equals_ignoring_case(key, name))
            return value;
    return {};
}

std::size_t count_headers(const HttpHeaders& headers, std::string_view name) {
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(), [name](const HttpHeader& header) {
            return equals_ignoring_case(header.first, name);
        }));
}

bool has_token(std::string_view value, std::string_view token) {
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        if (equals_ignoring_case(trimmed(value.substr(0, comma)), token))
            return true;
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return false;
}

bool is_event_stream(std::string_view content_type) {
    const std::string_view type = content_type.substr(0, content_type.find(';'));
    return equals_ignoring_case(trimmed(type), "text/event-stream");
}

// Content-Length counts as hop-by-hop too, since the sender on the next hop frames the body again.
bool is_hop_by_hop(std::string_view name) {
    return std::any_of(HopByHop.begin(), HopByHop.end(),
                       [&](std::string_view hop) { return equals_ignoring_case(hop, name); });
}

void append_headers(std::string& head, const HttpHeaders& headers) {
    for (const auto& [name, value] : headers)
        head.append(name).append(": ").append(value).append("\r\n");
}

void HeaderAssembler::add_name(HttpHeaders& headers, std::string_view piece) {
    if (in_value_ || headers.empty())
        headers.emplace_back();
    in_value_ = false;
    headers.back().first.append(piece);
}

void HeaderAssembler::add_value(HttpHeaders& headers, std::string_view piece) {
    in_value_ = true;
    headers.back().second.append(piece);
}

std::string_view reason_of(int status) {
    switch (status) {
#define LIFTWEIR_REASON(number, name, text)                                                        \
    case number:                                                                                   \
        return #text;
        HTTP_STATUS_MAP(LIFTWEIR_REASON)
#undef LIFTWEIR_REASON
    default:
        return "Unknown";
    }
}

} // namespace liftweir
