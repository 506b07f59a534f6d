// Message heads that http_parser accepts although two readers may take them for different messages.

#include "connection/headcheck.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace liftweir {
namespace {

using namespace std::string_literals;

// Reads the head in two pieces, split at every byte.
bool is_valid(HeadKind kind, const std::string& head) {
    std::vector<bool> results;
    for (std::size_t split = 0; split <= head.size(); ++split) {
        HeadCheck check(kind);
        const bool valid = check.read(head.substr(0, split)) && check.read(head.substr(split));
        results.push_back(valid && check.complete());
    }
    EXPECT_EQ(std::count(results.begin(), results.end(), results.front()),
              static_cast<std::ptrdiff_t>(results.size()))
        << head;
    return results.front();
}

bool is_response(const std::string& lines) {
    return is_valid(HeadKind::Response, lines + "\r\n\r\n");
}

bool is_request(const std::string& lines) {
    return is_valid(HeadKind::Request, "POST /a HTTP/1.1\r\nHost: x\r\n" + lines + "\r\n\r\n");
}

TEST(HeadCheck, AcceptsWhatSendersOfTheProtocolProduce) {
    for (const std::string& line :
         {"HTTP/1.1 200 OK"s, "HTTP/1.1 599 "s, "HTTP/1.0 404"s, "HTTP/1.1 100 Continue"s,
          "HTTP/1.1 503 Caf\xc3\xa9"s, "\r\nHTTP/1.1 200 OK"s})
        EXPECT_TRUE(is_response(line)) << line;
    for (const std::string& line :
         {"Empty:"s, "X-A: b\tc"s, "x!#$%&'*+-.^_`|~9: a"s, "X: caf\xc3\xa9"s, "Content-Length: 3"s,
          "content-length:0 \t"s, "Transfer-Encoding: Chunked"s, "Transfer-Encoding-Not: gzip"s,
          "X-Content-Length: none"s})
        EXPECT_TRUE(is_response("HTTP/1.1 200 OK\r\n" + line) && is_request(line)) << line;
    EXPECT_TRUE(is_valid(HeadKind::Response, "HTTP/1.1 200 OK\nA: b\n\n")) << "bare line feeds";
}

TEST(HeadCheck, RejectsStatusLinesOfNoResponse) {
    for (const std::string& line :
         {"HTTP/1.1 000 X"s, "HTTP/1.1 001 X"s, "HTTP/1.1 099 X"s, "HTTP/1.1 20 X"s,
          "HTTP/1.1 0200 OK"s, "HTTP/1.1 2000 OK"s, "HTTP/1.1 600 X"s, "HTTP/1.1 999 X"s,
          "HTTP/9.9 200 OK"s, "HTTP/2 200"s, "HTTP/1.1  200 OK"s, " HTTP/1.1 200 OK"s,
          "HTTP/1.1 2x0 OK"s, "HTTP/1.1 200\tOK"s, "HTTP/1.1 200 O\x01K"s, "http/1.1 200 OK"s,
          "HTTP/1.1 101 Switching Protocols"s, "HTTP/1.1"s})
        EXPECT_FALSE(is_response(line)) << line;
}

TEST(HeadCheck, RejectsMalformedHeaderLines) {
    for (const std::string& line :
         {"X Y: a"s, "X-A : a"s, "X-A\t: a"s, " X: a"s, "\tX: a"s, ": a"s, "X-A"s, "X\x01Y: a"s,
          "X\x00Y: a"s, "X\x7fY: a"s, "X(Y): a"s, "X\xc3: a"s, "X: a\x01"s, "X: a\x00"s,
          "X: a\x7f"s, "X: a\rY: b"s, "X: a\r\n folded"s}) {
        EXPECT_FALSE(is_response("HTTP/1.1 200 OK\r\n" + line)) << line;
        EXPECT_FALSE(is_response("HTTP/1.1 103 X\r\n" + line)) << line;
        EXPECT_FALSE(is_request(line)) << line;
    }
}

TEST(HeadCheck, RejectsFramingThatIsNotClear) {
    for (const std::string& line :
         {"Content-Length : 3"s, "Content-Length:"s, "Content-Length: +3"s, "Content-Length: 3 4"s,
          "Content-Length: 3, 3"s, "Content-Length: 0x3"s,
          "Content-Length: 3\r\nContent-Length: 3"s,
          "Content-Length: 3\r\nTransfer-Encoding: chunked"s, "Transfer-Encoding: gzip"s,
          "Transfer-Encoding: gzip, chunked"s, "Transfer-Encoding: chunked, chunked"s,
          "Transfer-Encoding: chunke"s, "Transfer-Encoding:"s, "Transfer-Encoding: xchunked"s,
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"s}) {
        EXPECT_FALSE(is_response("HTTP/1.1 200 OK\r\n" + line)) << line;
        EXPECT_FALSE(is_request(line)) << line;
    }
    EXPECT_FALSE(is_response("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"));
}

TEST(HeadCheck, EndsWithTheHead) {
    HeadCheck check(HeadKind::Response);
    EXPECT_TRUE(check.read("HTTP/1.1 200 OK\r\n\r\n\x01 bytes of a body"));
    EXPECT_TRUE(check.complete());
    EXPECT_EQ(check.status(), 200);
    EXPECT_TRUE(check.read("\x02"));
}

TEST(HeadCheck, ReadsInformationalHeadsAndIgnoresTrailers) {
    ResponseHeadsCheck heads;
    for (const char* line : {"HTTP/1.1 103 X\r\n", "A: b\r\n", "\r\n", "HTTP/1.1 200 OK\r\n",
                             "Transfer-Encoding: chunked\r\n", "\r\n", "Trailer: a\r\n"})
        EXPECT_TRUE(heads.read_line(line)) << line;
    ResponseHeadsCheck bad;
    EXPECT_TRUE(bad.read_line("HTTP/1.1 103 X\r\n"));
    EXPECT_FALSE(bad.read_line("X Y: b\r\n"));
}

} // namespace
} // namespace liftweir
