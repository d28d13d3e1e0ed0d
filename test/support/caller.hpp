#ifndef JASMINELATCH_TEST_SUPPORT_CALLER_HPP
#define JASMINELATCH_TEST_SUPPORT_CALLER_HPP

#include "process_fleet.hpp"

#include <jasminelatch/net/http_client.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jasminelatch::test {

/*! @brief Request of a caller. */
struct Request {
    std::string url; /*!< Whole URL. */
    std::string key; /*!< Key for the Authorization field; empty for none. */
    std::string body;
    std::string idempotencyKey; /*!< Empty for none. */
    std::string method{"POST"};
    Duration timeout{std::chrono::seconds{5}}; /*!< Sent along, and the client's own bound plus a second. */
    net::Headers headers;
};

/*! @brief Client with connections that it keeps open. */
class Caller
{
public:
    explicit Caller(const long connections = 1)
        : client_{connections}
    {
    }

    /*! @brief Sends a request and waits for its end. */
    [[nodiscard]] auto call(const Request &request) -> Reply;

private:
    net::HttpClient client_;
};

/*! @brief Request of the traffic and what became of it. */
struct Sent {
    std::chrono::steady_clock::time_point begin;
    std::chrono::steady_clock::time_point end;
    Request request;
    Reply reply;

    /*! @brief Tells whether the whole answer to this very request came. */
    [[nodiscard]] auto isComplete() const -> bool { return isCompleteAnswer(reply, request.body); }
};

/*! @brief Callers that send one request after the other until they are stopped. */
class Traffic
{
public:
    /*! @brief Makes the next request of a caller: number of the caller, number of the request. */
    using MakeRequest = std::function<Request(unsigned caller, unsigned number)>;

    /**
     * @brief Starts callers.
     * @param callers How many.
     * @param pause Pause of a caller between an answer and its next request.
     * @param makeRequest Makes the requests.
     */
    Traffic(unsigned callers, std::chrono::milliseconds pause, MakeRequest makeRequest);

    Traffic(const Traffic &) = delete;
    auto operator=(const Traffic &) -> Traffic & = delete;
    ~Traffic();

    /*! @brief Lets the requests under way end, and returns all. */
    auto stop() -> std::vector<Sent>;

    /*! @brief Returns all that ended so far. */
    [[nodiscard]] auto sent() const -> std::vector<Sent>;

    /*! @brief Returns how many whole answers came to requests begun since then. */
    [[nodiscard]] auto completeSince(std::chrono::steady_clock::time_point since) const -> std::size_t;

private:
    auto run(unsigned caller) -> void;

    std::chrono::milliseconds pause_;
    MakeRequest makeRequest_;
    std::atomic<bool> stop_{false};
    mutable std::mutex mutex_;
    std::vector<Sent> sent_;
    std::vector<std::thread> threads_;
};

} // namespace jasminelatch::test

#endif
