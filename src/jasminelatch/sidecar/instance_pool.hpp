#ifndef JASMINELATCH_SIDECAR_INSTANCE_POOL_HPP
#define JASMINELATCH_SIDECAR_INSTANCE_POOL_HPP

#include "http_connection.hpp"

#include <jasminelatch/event/endpoint.hpp>
#include <jasminelatch/event/loop.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

/**
 * @brief Connections to the local instance, kept for further requests.
 */
class InstancePool
{
public:
    /*! @brief Called once with the result of a request. */
    using Finished = std::function<void(HttpConnection::Result result)>;

    /*! @brief Bounds of the pool. */
    struct Settings {
        Duration idleTime{std::chrono::seconds{4}}; /*!< Time for which an idle connection is used again. */
        Duration nonIdempotentIdleTime{std::chrono::milliseconds{500}}; /*!< The same for what must not run twice. */
        Duration keepAliveMargin{std::chrono::milliseconds{500}}; /*!< Taken off the time that the instance states. */
        std::string echoField; /*!< Field by which an answer names its request. */
        ByteBudget *budget{}; /*!< Bound on what all connections hold; outlives the pool; may be null. */
    };

    /**
     * @brief Makes an empty pool.
     * @param loop Loop to run on; it outlives the pool.
     * @param to Address of the instance.
     * @param settings Bounds.
     */
    InstancePool(event::Loop &loop, event::Endpoint to, Settings settings);

    InstancePool(const InstancePool &) = delete;
    auto operator=(const InstancePool &) -> InstancePool & = delete;
    ~InstancePool() = default;

    /**
     * @brief Sends a request.
     * @param request The request.
     * @param idempotent Whether it may run more than once.
     * @param finished What to call; not called after `cancel`.
     * @return Name of the request.
     */
    auto send(const mesh::Request &request, bool idempotent, Finished finished) -> std::uint64_t;

    /**
     * @brief Ends a request by closing its connection, which makes the instance drop it.
     * @param name Name of the request.
     */
    auto cancel(std::uint64_t name) -> void;

    /*! @brief Closes the idle connections: the instance is another one now. */
    auto reset() -> void;

private:
    struct Entry {
        std::unique_ptr<HttpConnection> connection;
        std::uint64_t request{}; /*!< Request that it carries; zero while idle. */
        TimePoint idleSince;
        Finished finished;
    };

    auto open() -> std::uint64_t;
    auto takeIdle(Duration idleTime) -> std::uint64_t;
    auto finished(std::uint64_t connection, HttpConnection::Result result) -> void;
    auto drop(std::uint64_t connection) -> void;

    event::Loop *loop_;
    event::Endpoint to_;
    Settings settings_;
    std::map<std::uint64_t, Entry> connections_;
    std::vector<std::uint64_t> idle_; /*!< Most recently used last. */
    std::map<std::uint64_t, std::uint64_t> requests_; /*!< Connection by request. */
    std::uint64_t lastConnection_{};
    std::uint64_t lastRequest_{};
};

} // namespace jasminelatch::sidecar

#endif
