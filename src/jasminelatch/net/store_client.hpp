#ifndef JASMINELATCH_NET_STORE_CLIENT_HPP
#define JASMINELATCH_NET_STORE_CLIENT_HPP

#include "http_client.hpp"

#include <jasminelatch/store/request.hpp>

#include <string>

namespace jasminelatch::net {

/**
 * @brief Translates a store request into an HTTP call.
 * @param base URL of the store.
 * @param request The request.
 * @param timeout Longest time for the answer, without a watch's wait.
 * @return The call.
 */
[[nodiscard]] auto toHttpCall(const std::string &base, const store::Request &request, Duration timeout) -> HttpCall;

/**
 * @brief Translates the end of an HTTP call into the store's answer.
 * @param request The request it belongs to.
 * @param result How the call ended.
 * @return The answer; `Status::Unknown` for anything unexpected.
 */
[[nodiscard]] auto toAnswer(const store::Request &request, const HttpResult &result) -> store::Answer;

/*! @brief Client of the platform's key-value store for programs that may wait. */
class BlockingStoreClient
{
public:
    /**
     * @brief Remembers the store's address.
     * @param base URL of the store.
     * @param timeout Longest time for one answer.
     */
    explicit BlockingStoreClient(std::string base, Duration timeout = std::chrono::seconds{2});

    /**
     * @brief Performs one call.
     * @param request The request.
     * @return The answer; `Status::Unknown` when there is none in time.
     */
    [[nodiscard]] auto call(const store::Request &request) const -> store::Answer;

private:
    std::string base_;
    Duration timeout_;
};

/**
 * @brief Fetches a page.
 * @param url Whole URL.
 * @param timeout Longest time until the whole page is there.
 * @return How it ended.
 */
[[nodiscard]] auto httpGet(const std::string &url, Duration timeout) -> HttpResult;

} // namespace jasminelatch::net

#endif
