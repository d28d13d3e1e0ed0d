#ifndef JASMINELATCH_SIDECAR_HTTP_CONNECTION_HPP
#define JASMINELATCH_SIDECAR_HTTP_CONNECTION_HPP

#include "byte_budget.hpp"

#include <jasminelatch/event/endpoint.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/event/stream.hpp>
#include <jasminelatch/mesh/http.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace jasminelatch::sidecar {

/**
 * @brief Client's end of an HTTP/1.1 connection that carries one request at a time.
 *
 * Answers are taken whole. Bytes that no request asked for make the connection unusable and reach nobody.
 */
class HttpConnection
{
public:
    /*! @brief How a request ended. */
    struct Result {
        std::optional<mesh::Answer> answer; /*!< Whole answer, or nothing. */
        std::string error; /*!< Why there is none. */
        bool sent{}; /*!< Whether any byte of the request may have reached the other end. */
    };

    /*! @brief What the connection calls. */
    struct Hooks {
        std::function<void(Result result)> finished; /*!< The request has ended; may send the next one or destroy. */
        std::function<void()> lost; /*!< The connection broke while it was idle. */
    };

    /*! @brief Bounds of a connection. */
    struct Settings {
        Duration connectTimeout{std::chrono::seconds{1}}; /*!< Time to open it. */
        Duration userTimeout{std::chrono::seconds{2}}; /*!< Time after which unacknowledged bytes break it. */
        std::size_t maxAnswerBytes{std::size_t{64} << 20}; /*!< Bytes of an answer's body. */
        std::string echoField; /*!< Field by which an answer names its request; empty for none. */
        ByteBudget *budget{}; /*!< Bound on what is held with others, which outlives the connection; may be null. */
    };

    /**
     * @brief Opens a connection.
     * @param loop Loop to run on; it outlives the connection.
     * @param to Address to connect to.
     * @param settings Bounds.
     * @param hooks What to call.
     */
    HttpConnection(event::Loop &loop, const event::Endpoint &to, Settings settings, Hooks hooks);

    HttpConnection(const HttpConnection &) = delete;
    auto operator=(const HttpConnection &) -> HttpConnection & = delete;
    ~HttpConnection();

    /**
     * @brief Sends a request; the connection is idle.
     * @param request The request; its framing is added.
     */
    auto send(const mesh::Request &request) -> void;

    /*! @brief Closes the connection; no hook is called any more. */
    auto abandon() -> void;

    /*! @brief Tells whether another request may be sent. */
    [[nodiscard]] auto isReusable() const -> bool;

    /*! @brief Returns the moment up to which the other end keeps the connection, if it has said so. */
    [[nodiscard]] auto keepAliveUntil() const -> std::optional<TimePoint>;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    auto receive(std::span<const char> bytes) -> void;
    auto parse() -> bool;
    auto completeMessage() -> bool;
    [[nodiscard]] auto skipMessage() -> bool;
    auto streamClosed(std::string_view reason) -> void;
    auto failMalformed(std::string_view reason) -> void;
    [[nodiscard]] auto holdsTooMuch() -> bool;
    auto finish(Result result) -> void;
    auto resetParser() -> void;
    auto noteKeepAlive(const mesh::Answer &answer) -> void;

    event::Loop *loop_;
    Settings settings_;
    Hooks hooks_;
    event::TimerId connectTimer_{};
    std::optional<Parser> parser_;
    std::string input_;
    ByteReservation held_; /*!< Of the answer that is coming in. */
    std::size_t skipped_{}; /*!< Messages that were no answer to the present request. */
    bool wasUsed_{}; /*!< Whether an earlier request was answered here. */
    std::string echo_;
    bool busy_{};
    bool broken_{};
    bool headOnly_{};
    bool everSent_{};
    bool anyBytes_{};
    std::optional<TimePoint> keepAliveUntil_;
    event::Stream stream_;
};

/**
 * @brief Writes a request with its framing.
 * @param request The request.
 * @return Bytes for the wire.
 */
[[nodiscard]] auto serialize(const mesh::Request &request) -> std::string;

} // namespace jasminelatch::sidecar

#endif
