#ifndef JASMINELATCH_SIDECAR_PEER_LINK_HPP
#define JASMINELATCH_SIDECAR_PEER_LINK_HPP

#include <jasminelatch/event/endpoint.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/event/stream.hpp>
#include <jasminelatch/mesh/freshness.hpp>
#include <jasminelatch/mesh/hop.hpp>
#include <jasminelatch/mesh/peer_message.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace jasminelatch::sidecar {

/**
 * @brief Connection that this node opens to a peer for requests to the instance there, and for reports.
 *
 * It is opened when there is something to send and closed when it has not been used for a while. Reports, and probes
 * while requests wait for their replies, are answered; when answers fail to come, the connection has gone silent. What
 * may run twice is given up then. What must not is waited for on the silent connection, while a new one serves the
 * rest: its node may only be slow.
 */
class PeerLink
{
public:
    /*! @brief Called once with the word on a request. */
    using Finished = std::function<void(mesh::HopReply reply)>;

    /*! @brief What the link calls. */
    struct Hooks {
        std::function<void(const mesh::StoreConfirmation &word)> confirmed; /*!< The store's word, passed on. */
        std::function<void()> acknowledged; /*!< The peer has the oldest report without an answer. */
        std::function<void(const mesh::NodeReport &report)> reported; /*!< Its answer to a report, or news besides. */
        std::function<void(const mesh::ConfigurationMessage &message)> configured; /*!< A newer configuration. */
        std::function<void()> failed; /*!< The connection has ended; reports without an answer may be lost. */
    };

    /*! @brief Bounds of a link. */
    struct Settings {
        Duration silenceTimeout{
            std::chrono::milliseconds{1000}}; /*!< Time without an answer that ends the connection. */
        Duration userTimeout{std::chrono::seconds{5}}; /*!< Time after which unacknowledged bytes break it: longer than
                                                          most requests may take. */
        Duration initialBackoff{std::chrono::milliseconds{100}}; /*!< Pause after a failed connection; doubles. */
        Duration maxBackoff{std::chrono::milliseconds{800}}; /*!< Longest pause. */
        Duration idleTimeout{std::chrono::seconds{10}}; /*!< Time without use after which the connection is closed. */
    };

    /**
     * @brief Makes a link without a connection.
     * @param loop Loop to run on; it outlives the link.
     * @param to Address of the peer.
     * @param settings Bounds.
     * @param hooks What to call.
     */
    PeerLink(event::Loop &loop, event::Endpoint to, Settings settings, Hooks hooks);

    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /*! @brief Ends every exchange without calling anybody. */
    ~PeerLink();

    /**
     * @brief Sends a request.
     * @param request The request.
     * @param finished What to call; not called after `cancel`, nor before this function returns.
     * @return Names the exchange.
     */
    auto send(const mesh::HopRequest &request, Finished finished) -> std::uint64_t;

    /**
     * @brief Tells the peer that nobody waits for an exchange.
     * @param exchange Names the exchange.
     */
    auto cancel(std::uint64_t exchange) -> void;

    /**
     * @brief Sends a report: the whole of it first on each connection, changes from then on.
     * @param changes Report of what has changed since the last one, as a frame.
     * @param whole Returns the report of everything, as a frame; called on a new connection only.
     * @return Whether it is on its way.
     */
    auto sendReport(std::string_view changes, const std::function<std::string_view()> &whole) -> bool;

    /*! @brief Ends a silent connection and closes an unused one; asks for a sign of life while replies are awaited. */
    auto checkLiveness() -> void;

    /*! @brief Tells whether there is a connection on which nothing has waited too long for its answer. */
    [[nodiscard]] auto isAlive() const -> bool;

    /*! @brief Returns when the last connection failed; nothing once one stands again. */
    [[nodiscard]] auto failedAt() const -> std::optional<TimePoint>;

    /*! @brief Ends every connection and every exchange. */
    auto fail() -> void;

private:
    /*! @brief Message that the peer answers with `ReportAck`. */
    struct Asked {
        TimePoint at;
        bool isReport{};
    };

    /*! @brief Request that waits for its reply. */
    struct Exchange {
        Finished finished;
        bool idempotent{};
    };

    using Exchanges = std::map<std::uint64_t, Exchange>;

    /*! @brief Stream to the peer with what waits for replies on it. */
    struct Connection {
        std::unique_ptr<event::Stream> stream;
        mesh::FrameReader reader{mesh::maxFrameBytes};
        Exchanges exchanges;
    };

    [[nodiscard]] auto connect() -> bool;
    auto receive(Connection &connection, std::span<const char> bytes) -> void;
    auto closed(Connection &connection) -> void;
    auto dropQuiet(const Connection &connection) -> void;
    auto loseCurrent(Exchanges lost) -> void;
    auto endAll(Exchanges exchanges, bool sent) -> void;
    auto opened() -> void;
    auto endSilence() -> void;
    auto ask(std::string_view frame, bool isReport) -> void;
    auto take(Connection &connection, mesh::PeerMessage message) -> bool;
    auto answered(const mesh::ReportAck &message) -> void;
    auto close() -> void;

    event::Loop *loop_;
    event::Endpoint to_;
    Settings settings_;
    Hooks hooks_;
    std::unique_ptr<Connection> current_;
    std::vector<std::unique_ptr<Connection>>
        quiet_; /*!< Silent ones, on which only what must not run twice is awaited. */
    std::uint64_t lastExchange_{};
    bool open_{};
    bool hasReported_{}; /*!< Whether this connection has carried a whole report. */
    std::optional<TimePoint> awaitingSince_; /*!< When the oldest unanswered message was sent. */
    std::deque<Asked> asked_; /*!< What is not answered yet; answers keep their order. */
    TimePoint usedAt_;
    std::optional<TimePoint> failedAt_;
    TimePoint retryAt_;
    Duration pause_;
};

} // namespace jasminelatch::sidecar

#endif
