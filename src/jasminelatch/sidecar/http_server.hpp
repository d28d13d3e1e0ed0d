#ifndef JASMINELATCH_SIDECAR_HTTP_SERVER_HPP
#define JASMINELATCH_SIDECAR_HTTP_SERVER_HPP

#include <jasminelatch/event/endpoint.hpp>
#include <jasminelatch/event/listener.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/byte_budget.hpp>
#include <jasminelatch/mesh/configuration.hpp>
#include <jasminelatch/mesh/http.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jasminelatch::sidecar {

/**
 * @brief HTTP/1.1 server that buffers whole requests and sends whole responses.
 */
class HttpServer
{
public:
    /*! @brief Sends the response to a request; later calls, and calls after the client has left, do nothing. */
    using Respond = std::function<void(mesh::Answer answer)>;

    /*! @brief Callbacks and limits of the server. */
    struct Hooks {
        /*! @brief Handles a complete request; returns an id for `cancelled`, or zero if it has already responded. */
        std::function<std::uint64_t(mesh::Request request, Respond respond)> request;
        std::function<void(std::uint64_t id)> cancelled; /*!< The client of a request has disconnected. */
        std::function<mesh::Limits()> limits; /*!< Returns the current timeouts and size limits. */
        /*! @brief Bounds the bytes that all connections hold; passes on to the bodies of requests, which it outlives;
         * may be null. */
        mesh::ByteBudget *budget{};
        /*! @brief Largest number of connections; beyond it the one that has been idle for longest is closed. */
        std::size_t maxConnections{std::numeric_limits<std::size_t>::max()};
    };

    /**
     * @brief Makes hooks for a server that responds synchronously, with small limits.
     * @param answer Computes the response to a request.
     * @param budget Bounds the bytes that all connections hold; may be null.
     * @param maxConnections Largest number of connections.
     * @return Hooks for the constructor.
     */
    [[nodiscard]] static auto synchronousHooks(std::function<mesh::Answer(const mesh::Request &request)> answer,
                                               mesh::ByteBudget *budget = nullptr,
                                               std::size_t maxConnections = std::numeric_limits<std::size_t>::max())
        -> Hooks;

    /*! @brief Returns limits for requests to the node itself, whose bodies are small. */
    [[nodiscard]] static auto smallLimits() -> mesh::Limits;

    /**
     * @brief Makes a server that does not listen yet.
     * @param loop Loop to run on; it outlives the server.
     * @param hooks Callbacks and limits.
     */
    HttpServer(event::Loop &loop, Hooks hooks);

    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;
    ~HttpServer();

    /**
     * @brief Starts to listen.
     * @param on Address to listen on.
     * @return Error message, or nothing on success.
     */
    [[nodiscard]] auto open(const event::Endpoint &on) -> std::optional<std::string>;

    /*! @brief Closes each connection after its next response from now on. */
    auto startDraining() -> void;

    /*! @brief Returns the number of connections that are receiving a request, handling it or sending a response. */
    [[nodiscard]] auto activeRequests() const -> std::size_t;

private:
    class Session;

    auto handleAccepted(boost::asio::ip::tcp::socket socket) -> void;
    auto closeSession(std::uint64_t session) -> void;
    [[nodiscard]] auto makeRoom() -> bool;

    event::Loop *loop_;
    Hooks hooks_;
    event::Listener listener_;
    std::map<std::uint64_t, std::unique_ptr<Session>> sessions_;
    std::uint64_t lastSession_{};
    bool isDraining_{};
};

} // namespace jasminelatch::sidecar

#endif
