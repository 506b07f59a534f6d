// Helpers for HTTP headers and statuses, shared by the client and the server.

#ifndef HTTPMESSAGE_H_INCLUDED
#define HTTPMESSAGE_H_INCLUDED

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace liftweir {

using HttpHeader = std::pair<std::string, std::string>;
using HttpHeaders = std::vector<HttpHeader>;
// A body that several owners share and none changes. Null for an empty one.
using SharedBytes = std::shared_ptr<const std::string>;

// ASCII comparison without regard to case, as header names need.
bool equals_ignoring_case(std::string_view a, std::string_view b);

// First value of a header; empty if it is missing.
std::string_view find_header(const HttpHeaders& headers, std::string_view name);

// How many headers have this name.
std::size_t count_headers(const HttpHeaders& headers, std::string_view name);

// True if a comma-separated header value contains a token, without regard to case.
bool has_token(std::string_view value, std::string_view token);

// True for the media type of server-sent events, without regard to case and parameters.
bool is_event_stream(std::string_view content_type);

// True for headers that concern one connection only and are never forwarded (RFC 9110, 7.6.1).
bool is_hop_by_hop(std::string_view name);

// Appends "name: value" lines to a message head.
void append_headers(std::string& head, const HttpHeaders& headers);

// Assembles headers from the pieces that the parser delivers.
class HeaderAssembler {
  public:
    void add_name(HttpHeaders& headers, std::string_view piece);
    void add_value(HttpHeaders& headers, std::string_view piece);

  private:
    bool in_value_ = false; // the last piece belonged to a value, so the next name is a new header
};

// The standard reason phrase; "Unknown" for statuses without one.
std::string_view reason_of(int status);

// First digit of a status: 2 for 2xx.
constexpr int status_class(int status) {
    return status / 100;
}

} // namespace liftweir

#endif // HTTPMESSAGE_H_INCLUDED
