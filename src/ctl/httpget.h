// HTTP GET calls of liftweirctl to one process.

#ifndef HTTPGET_H_INCLUDED
#define HTTPGET_H_INCLUDED

#include <string>

struct HttpGetResponse {
    long status = 0; // 0: no response
    std::string body;
};

// Fetches a URL, with the token as bearer token.
HttpGetResponse http_get(const std::string& url, const std::string& token, long timeout_ms);

#endif // HTTPGET_H_INCLUDED
