#ifndef JASMINELATCH_SIDECAR_HTTP_SERVER_HPP
#define JASMINELATCH_SIDECAR_HTTP_SERVER_HPP

#include "byte_budget.hpp"

#include <jasminelatch/event/endpoint.hpp>
#include <jasminelatch/event/listener.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/configuration.hpp>
#include <jasminelatch/mesh/http.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jasminelatch::sidecar {

/**
 * @brief HTTP/1.1 server that hands over whole requests and takes whole answers.
 */
class HttpServer
{
public:
    /*! @brief Sends the answer to a request; calls after the first, or after the client has left, do nothing. */
    using Respond = std::function<void(mesh::Answer answer)>;

    /*! @brief What the server calls. */
    struct Hooks {
        /*! @brief A request has come in; returns a name for it, or zero when it was answered at once. */
        std::function<std::uint64_t(mesh::Request request, Respond respond)> request;
        std::function<void(std::uint64_t name)> cancelled; /*!< Its client has left. */
        std::function<mesh::Limits()> limits; /*!< Bounds in force. */
        ByteBudget *budget{}; /*!< Bound on what all connections hold; outlives the server; may be null. */
    };

    /**
     * @brief Makes hooks for a server that answers every request at once, within the usual bounds.
     * @param answer Makes the answer.
     * @return The hooks.
     */
    [[nodiscard]] static auto synchronousHooks(std::function<mesh::Answer(const mesh::Request &request)> answer)
        -> Hooks;

    /**
     * @brief Prepares a server.
     * @param loop Loop to run on; it outlives the server.
     * @param hooks What to call.
     */
    HttpServer(event::Loop &loop, Hooks hooks);

    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;
    ~HttpServer();

    /**
     * @brief Starts to listen.
     * @param on Address to listen on.
     * @return What went wrong, or nothing.
     */
    [[nodiscard]] auto open(const event::Endpoint &on) -> std::optional<std::string>;

    /*! @brief Makes every further answer close its connection. */
    auto startDraining() -> void;

    /*! @brief Returns the number of requests that are being read or answered. */
    [[nodiscard]] auto activeRequests() const -> std::size_t;

private:
    class Session;

    auto accepted(boost::asio::ip::tcp::socket socket) -> void;
    auto forget(std::uint64_t session) -> void;

    event::Loop *loop_;
    Hooks hooks_;
    event::Listener listener_;
    std::map<std::uint64_t, std::unique_ptr<Session>> sessions_;
    std::uint64_t lastSession_{};
    bool closing_{};
};

} // namespace jasminelatch::sidecar

#endif
