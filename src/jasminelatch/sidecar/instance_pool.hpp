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
 * @brief Pool of persistent connections to the local instance, one request at a time on each.
 */
class InstancePool
{
public:
    /*! @brief Called once with the result of a request. */
    using Finished = std::function<void(HttpConnection::Result result)>;

    /*! @brief Reuse times and limits of the connections. */
    struct Settings {
        Duration idleTime{std::chrono::seconds{4}}; /*!< Longest idle time after which a connection is reused. */
        /*! @brief Longest idle time after which a connection is reused for a non-idempotent request. */
        Duration nonIdempotentIdleTime{std::chrono::milliseconds{500}};
        /*! @brief Subtracted from the keep-alive time that the instance announces. */
        Duration keepAliveMargin{std::chrono::milliseconds{500}};
        std::string echoField; /*!< Field whose value a response copies from its request. */
        mesh::ByteBudget *budget{}; /*!< Bounds the bytes that all connections hold; outlives them; may be null. */
    };

    /**
     * @brief Makes a pool without connections.
     * @param loop Loop to run on; it outlives the pool.
     * @param to Address of the instance.
     * @param settings Reuse times and limits.
     */
    InstancePool(event::Loop &loop, event::Endpoint to, Settings settings);

    InstancePool(const InstancePool &) = delete;
    auto operator=(const InstancePool &) -> InstancePool & = delete;
    ~InstancePool() = default;

    /**
     * @brief Sends a request on an idle connection, or on a new one.
     * @param request Request without framing fields.
     * @param idempotent Whether it may run more than once; selects the longest idle time of its connection.
     * @param finished Callback; not called after `cancel`.
     * @return Id of the request for `cancel`.
     */
    auto send(const mesh::Request &request, bool idempotent, Finished finished) -> std::uint64_t;

    /**
     * @brief Cancels a request by closing its connection, which makes the instance drop it.
     * @param id Id that `send` returned.
     */
    auto cancel(std::uint64_t id) -> void;

    /**
     * @brief Tells whether the response to a request waits for memory.
     * @param id Id that `send` returned.
     */
    [[nodiscard]] auto isAwaitingRoom(std::uint64_t id) const -> bool;

    /*! @brief Closes the idle connections; called when another instance has replaced the former one. */
    auto reset() -> void;

private:
    struct PooledConnection {
        std::unique_ptr<HttpConnection> connection;
        std::uint64_t request{}; /*!< Id of the request that it carries; zero while idle. */
        TimePoint idleSince;
        Finished finished;
    };

    auto open() -> std::uint64_t;
    auto takeIdle(Duration idleTime) -> std::uint64_t;
    auto handleFinished(std::uint64_t connection, HttpConnection::Result result) -> void;
    auto close(std::uint64_t connection) -> void;

    event::Loop *loop_;
    event::Endpoint to_;
    Settings settings_;
    mesh::ByteBudget unannounced_; /*!< Bounds the responses without an announced length. */
    std::map<std::uint64_t, PooledConnection> connections_;
    std::vector<std::uint64_t> idle_; /*!< Most recently used last. */
    std::map<std::uint64_t, std::uint64_t> requests_; /*!< Connection id by request id. */
    std::uint64_t lastConnection_{};
    std::uint64_t lastRequest_{};
};

} // namespace jasminelatch::sidecar

#endif
