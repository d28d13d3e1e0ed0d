#ifndef JASMINELATCH_NET_HTTP_SERVER_HPP
#define JASMINELATCH_NET_HTTP_SERVER_HPP

#include "http.hpp"

#include <jasminelatch/core/clock.hpp>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminelatch::net {

/*! @brief Sends the response to one request; may be called once, from any thread. */
using Responder = std::function<void(HttpResponse)>;

/*! @brief Number of one request at a server. */
using RequestNumber = std::uint64_t;

/*! @brief Reason why a server could not start. */
struct ListenError {
    std::string address; /*!< Address that was asked for, as host:port. */
};

/**
 * @brief HTTP server on one thread of its own.
 *
 * Requests wait for their response without holding a thread.
 */
class HttpServer
{
public:
    /*! @brief Bounds of a server. */
    struct Settings {
        std::string host{"127.0.0.1"}; /*!< IP address to listen on. */
        std::uint16_t port{}; /*!< TCP port. */
        std::size_t maxBody{std::size_t{1} << 20}; /*!< Largest request body in bytes. */
        unsigned maxConnections{1000}; /*!< Open connections at once. */
        unsigned idleTimeout{15}; /*!< Seconds after which a connection that sends nothing is closed. */
    };

    /*! @brief What the server calls, on its own thread. */
    struct Hooks {
        std::function<void(RequestNumber, HttpRequest, Responder)> request; /*!< A whole request has come in. */
        std::function<void(RequestNumber)> gone; /*!< The caller left before its response. */
    };

    /**
     * @brief Starts a server.
     * @param settings Address and bounds.
     * @param hooks What to call.
     * @return The running server, or a `ListenError`.
     */
    [[nodiscard]] static auto start(const Settings &settings, Hooks hooks)
        -> boost::leaf::result<std::unique_ptr<HttpServer>>;

    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /*! @brief Stops; requests without a response get status 503. */
    ~HttpServer();

    /*! @brief Takes no further connections; those that callers have opened already are served. */
    auto stopListening() -> void;

    /*! @brief Looks for callers that left while their request waits, and reports each through `gone`. */
    auto findGoneCallers() -> void;

    /**
     * @brief Counts the requests whose response is not sent in full.
     * @return Number of requests, those still arriving included.
     */
    [[nodiscard]] auto openCount() const -> std::size_t;

private:
    class Impl;

    explicit HttpServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace jasminelatch::net

#endif
