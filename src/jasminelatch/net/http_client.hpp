#ifndef JASMINELATCH_NET_HTTP_CLIENT_HPP
#define JASMINELATCH_NET_HTTP_CLIENT_HPP

#include "http.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminelatch::net {

/*! @brief Request of a client. */
struct HttpCall {
    std::string method{"GET"}; /*!< Method in upper case. */
    std::string url; /*!< Whole URL. */
    Headers headers; /*!< Header fields. */
    std::string body; /*!< Whole body. */
    Duration timeout{std::chrono::seconds{2}}; /*!< Longest time until the whole response is there. */
    bool freshConnection{}; /*!< Opens a connection of its own, so that nothing is sent twice behind the scenes. */
};

/*! @brief How a call ended. */
enum class HttpEnd : std::uint8_t {
    Answered, /*!< The whole response is there. */
    NotSent, /*!< No connection could be opened: nothing was sent. */
    Lost, /*!< The connection broke after sending may have begun. */
    TimedOut, /*!< No whole response in time. */
    Cancelled /*!< Cancelled by `HttpClient::cancel`. */
};

/*! @brief End of a call. */
struct HttpResult {
    HttpEnd end{HttpEnd::Lost}; /*!< How it ended. */
    HttpResponse response; /*!< The response when answered. */
};

/**
 * @brief HTTP client that carries many calls at once on one thread of its own.
 */
class HttpClient
{
public:
    /*! @brief Number of a call. */
    using CallNumber = std::uint64_t;
    /*! @brief Receives the end of a call, exactly once, on the client's thread. */
    using Callback = std::function<void(HttpResult)>;

    /**
     * @brief Starts the client's thread.
     * @param maxConnections Most open connections at once.
     */
    explicit HttpClient(long maxConnections);

    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /*! @brief Cancels what is under way and ends the thread. */
    ~HttpClient();

    /**
     * @brief Begins a call; may be called from any thread.
     * @param call The request.
     * @param callback Receives the end.
     * @return Number for `cancel`.
     */
    auto send(HttpCall call, Callback callback) -> CallNumber;

    /**
     * @brief Ends a call early; its connection is closed.
     * @param number Number that `send` returned; an ended call is left alone.
     */
    auto cancel(CallNumber number) -> void;

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

/**
 * @brief Performs one call on the calling thread.
 * @param call The request.
 * @return How it ended.
 */
[[nodiscard]] auto performHttp(const HttpCall &call) -> HttpResult;

} // namespace jasminelatch::net

#endif
