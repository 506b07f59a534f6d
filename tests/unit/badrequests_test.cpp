// Requests of callers that keep to no limit: forms that hide other requests, and bodies that take
// more memory or time than callers may have.

#include "unit/serverfixture.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using namespace std::chrono_literals;

class BadRequestTest : public ServerTest {};

TEST_F(BadRequestTest, MalformedHeaderLinesAreRefused) {
    serve();
    for (const std::string line :
         {"Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", "Tenant Id: x", "X\x01: a",
          "X: a\x7f", "X: a\rY: b", " X: a", ": a", "Transfer-Encoding: gzip",
          "Transfer-Encoding: chunked, chunked", "Content-Length: 1\r\nContent-Length: 1"}) {
        const std::string got = send_and_receive(
            "POST / HTTP/1.1\r\nHost: x\r\n" + line + "\r\n\r\n1\r\na\r\n0\r\n\r\n", 2s);
        EXPECT_TRUE(got.starts_with("HTTP/1.1 400")) << line << "\n" << got;
    }
    EXPECT_EQ(handled_, 0);
}

// Headers are checked when the head is complete, and trailers arrive after that.
TEST_F(BadRequestTest, TrailersAreNoHeadersOfTheRequest) {
    HttpHeaders headers;
    handler_ = [&](const std::shared_ptr<HttpExchange>& e) {
        headers = e->headers();
        e->respond(200, {}, "ok");
    };
    serve();
    send_and_receive("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "1\r\na\r\n0\r\nHost: y\r\nTenant-Id: z\r\n\r\n",
                     100ms);
    EXPECT_EQ(handled_, 1);
    EXPECT_EQ(headers, (HttpHeaders{{"Host", "x"}, {"Transfer-Encoding", "chunked"}}));
}

} // namespace
} // namespace liftweir
