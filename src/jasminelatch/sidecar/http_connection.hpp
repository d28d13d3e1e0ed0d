#ifndef JASMINELATCH_SIDECAR_HTTP_CONNECTION_HPP
#define JASMINELATCH_SIDECAR_HTTP_CONNECTION_HPP

#include <jasminelatch/event/endpoint.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/event/stream.hpp>
#include <jasminelatch/mesh/byte_budget.hpp>
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
 * @brief Client side of an HTTP/1.1 connection that carries one request at a time.
 *
 * Buffers whole responses. A response whose status is neither final nor interim is an error. Bytes that arrive without
 * an outstanding request make the connection unusable and are discarded.
 */
class HttpConnection
{
public:
    /*! @brief How a request ended. */
    struct Result {
        std::optional<mesh::Answer> answer; /*!< Complete response, or nothing on failure. */
        std::string error; /*!< Error message if there is no response. */
        bool sent{}; /*!< Whether any byte of the request may have reached the server. */
    };

    /*! @brief Callbacks of the connection. */
    struct Hooks {
        /*! @brief Called when the request has ended; may send the next one or destroy the connection. */
        std::function<void(Result result)> finished;
        std::function<void()> lost; /*!< The connection failed while it was idle. */
    };

    /*! @brief Timeouts and limits of a connection. */
    struct Settings {
        Duration connectTimeout{std::chrono::seconds{1}}; /*!< Time limit for connecting. */
        Duration userTimeout{std::chrono::seconds{2}}; /*!< Time after which unacknowledged bytes break it. */
        std::size_t maxAnswerBytes{std::size_t{64} << 20}; /*!< Largest response body in bytes. */
        std::string echoField; /*!< Field whose value a response copies from its request; empty for none. */
        /*! @brief Bounds the bytes that this and other connections hold; passes on to the bodies of responses, which it
         * outlives; may be null. While it is full, the connection stops reading. */
        mesh::ByteBudget *budget{};
        /*! @brief Bounds, in addition, responses that announce no length while they are received; may be null. */
        mesh::ByteBudget *unannouncedBudget{};
    };

    /**
     * @brief Starts to connect.
     * @param loop Loop to run on; it outlives the connection.
     * @param to Address to connect to.
     * @param settings Timeouts and limits.
     * @param hooks Callbacks.
     */
    HttpConnection(event::Loop &loop, const event::Endpoint &to, Settings settings, Hooks hooks);

    HttpConnection(const HttpConnection &) = delete;
    auto operator=(const HttpConnection &) -> HttpConnection & = delete;
    ~HttpConnection();

    /**
     * @brief Sends a request; no other one may be outstanding.
     * @param request Request without framing fields, which are added.
     */
    auto send(const mesh::Request &request) -> void;

    /*! @brief Tells whether reading is paused until the budget has room for the response. */
    [[nodiscard]] auto isAwaitingRoom() const -> bool;

    /*! @brief Closes the connection; no callback is called afterwards. */
    auto abandon() -> void;

    /*! @brief Tells whether the connection is open, idle and in a state to carry another request. */
    [[nodiscard]] auto isReusable() const -> bool;

    /*! @brief Returns the time until which the server keeps the connection open, if a `Keep-Alive` field stated it. */
    [[nodiscard]] auto keepAliveUntil() const -> std::optional<TimePoint>;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    auto receive(std::span<const char> bytes) -> void;
    auto parse() -> bool;
    /*! @brief Ends the request with the parsed message; returns true if the message was skipped instead. */
    auto completeMessage() -> bool;
    [[nodiscard]] auto skipMessage() -> bool;
    auto streamClosed(std::string_view reason) -> void;
    auto failMalformed(std::string_view reason) -> void;
    [[nodiscard]] auto hasValidStatus() const -> bool;
    /*! @brief Checks the limits of buffered bytes; fails the request or stops reading where one is reached. */
    [[nodiscard]] auto hasRoom() -> bool;
    auto awaitRoom() -> void;
    auto finish(Result result) -> void;
    auto resetParser() -> void;
    auto readKeepAlive(const mesh::Answer &answer) -> void;

    event::Loop *loop_;
    Settings settings_;
    Hooks hooks_;
    event::TimerId connectTimer_{};
    std::optional<Parser> parser_;
    std::string input_;
    mesh::ByteReservation buffered_; /*!< Bytes of the response that is being received. */
    mesh::ByteReservation unannounced_; /*!< Bytes of a response without an announced length. */
    event::TimerId roomTimer_{}; /*!< Runs while reading is paused, as the budget is full. */
    std::size_t skippedMessages_{}; /*!< Messages since `send` that were not the response to the request. */
    bool wasUsed_{}; /*!< Whether the connection has delivered a response before. */
    std::string requestEcho_;
    bool isBusy_{};
    bool isBroken_{};
    bool isHeadRequest_{};
    bool mayHaveSent_{};
    std::optional<TimePoint> keepAliveUntil_;
    event::Stream stream_;
};

/**
 * @brief Serializes a request's head as HTTP/1.1, with a `Content-Length` field where the method or the body needs one.
 * @param request Request without framing fields.
 * @return Bytes to send before the body.
 */
[[nodiscard]] auto serializeHead(const mesh::Request &request) -> std::string;

} // namespace jasminelatch::sidecar

#endif
