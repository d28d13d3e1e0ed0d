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

/*! @brief Request that a test client sends. */
struct Request {
    std::string url; /*!< Absolute URL. */
    std::string key; /*!< API key for the Authorization field; empty for none. */
    std::string body;
    std::string idempotencyKey; /*!< Empty for none. */
    std::string method{"POST"};
    Duration timeout{std::chrono::seconds{5}}; /*!< Sent in X-Timeout-Ms; the client itself waits one second longer. */
    net::Headers headers;
};

/*! @brief Synchronous client with persistent connections. */
class Caller
{
public:
    explicit Caller(const long connections = 1)
        : client_{connections}
    {
    }

    /*! @brief Sends a request and waits for its answer or failure. */
    [[nodiscard]] auto call(const Request &request) -> Reply;

private:
    net::HttpClient client_;
};

/*! @brief Completed request of generated traffic, with its reply. */
struct Sent {
    std::chrono::steady_clock::time_point begin;
    std::chrono::steady_clock::time_point end;
    Request request;
    Reply reply;

    /*! @brief Checks whether the complete answer to this request was received. */
    [[nodiscard]] auto isComplete() const -> bool { return isCompleteAnswer(reply, request.body); }
};

/*! @brief Load generator: threads that each send requests one after the other until stopped. */
class Traffic
{
public:
    /*! @brief Creates a request from the index of the caller and the sequence number of the request. */
    using MakeRequest = std::function<Request(unsigned caller, unsigned number)>;

    /**
     * @brief Starts the callers, one thread each.
     * @param callers Number of callers.
     * @param pause Delay between an answer and the next request of the same caller.
     * @param makeRequest Creates the requests.
     */
    Traffic(unsigned callers, std::chrono::milliseconds pause, MakeRequest makeRequest);

    Traffic(const Traffic &) = delete;
    auto operator=(const Traffic &) -> Traffic & = delete;
    ~Traffic();

    /*! @brief Waits for the requests in flight and returns all requests. */
    auto stop() -> std::vector<Sent>;

    /*! @brief Returns all requests completed so far. */
    [[nodiscard]] auto sent() const -> std::vector<Sent>;

    /*! @brief Returns the number of complete answers to requests started at or after a time point. */
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
