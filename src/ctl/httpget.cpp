// HTTP GET over libcurl.

#include "ctl/httpget.h"

#include "connection/headcheck.h"

#include <curl/curl.h>

namespace {

std::size_t append(char* data, std::size_t size, std::size_t count, void* user) {
    static_cast<std::string*>(user)->append(data, size * count);
    return size * count;
}

} // namespace

HttpGetResponse http_get(const std::string& url, const std::string& token, long timeout_ms) {
    HttpGetResponse response;
    liftweir::ResponseHeadsCheck heads;
    CURL* easy = curl_easy_init();
    const std::string authorization = "Authorization: Bearer " + token;
    curl_slist* headers = curl_slist_append(nullptr, authorization.c_str());
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &liftweir::check_header_line);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &heads);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &append);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response.body);
    if (curl_easy_perform(easy) == CURLE_OK)
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response.status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    return response;
}
