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
 * @brief Outgoing connection to a peer that carries requests for the instance beside the peer, and reports.
 *
 * The connection is opened on the first send and closed once it has been idle for a while. The peer acknowledges
 * reports, and the probes that are sent while requests are outstanding; when no acknowledgement arrives in time, the
 * connection counts as silent. Idempotent requests on a silent connection fail at once. Non-idempotent ones keep
 * waiting for their replies on it, since the peer may only be slow, while a new connection carries further messages.
 */
class PeerLink
{
public:
    /*! @brief Called once with the reply to a request. */
    using Finished = std::function<void(mesh::HopReply reply)>;

    /*! @brief Callbacks of the link. */
    struct Hooks {
        /*! @brief Called with the store confirmation that an acknowledgement carries. */
        std::function<void(const mesh::StoreConfirmation &confirmation)> confirmed;
        std::function<void()> acknowledged; /*!< The peer has received the oldest unacknowledged report. */
        std::function<void(const mesh::NodeReport &report)> reported; /*!< The peer sent a report. */
        /*! @brief Called with a configuration that the peer forwards. */
        std::function<void(const mesh::ConfigurationMessage &message)> configured;
        std::function<void()> failed; /*!< The connection failed; unacknowledged reports may be lost. */
    };

    /*! @brief Timeouts and reconnection backoff. */
    struct Settings {
        /*! @brief Time without received bytes, while some are due, after which the connection is silent. */
        Duration silenceTimeout{std::chrono::milliseconds{1000}};
        /*! @brief Time after which unacknowledged bytes break the connection; exceeds most request timeouts. */
        Duration userTimeout{std::chrono::seconds{5}};
        Duration initialBackoff{std::chrono::milliseconds{100}}; /*!< Backoff after the first failure; doubles. */
        Duration maxBackoff{std::chrono::milliseconds{800}}; /*!< Upper bound of the backoff. */
        Duration idleTimeout{std::chrono::seconds{10}}; /*!< Idle time after which the connection is closed. */
        /*! @brief Bounds the bytes of replies; passes on to their bodies, which it outlives; may be null. While it is
         * full, the link stops reading. */
        mesh::ByteBudget *budget{};
    };

    /**
     * @brief Makes a link; the first send opens the connection.
     * @param loop Loop to run on; it outlives the link.
     * @param to Address of the peer.
     * @param settings Timeouts and backoff.
     * @param hooks Callbacks.
     */
    PeerLink(event::Loop &loop, event::Endpoint to, Settings settings, Hooks hooks);

    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    /*! @brief Drops every exchange without calling its callback. */
    ~PeerLink();

    /**
     * @brief Sends a request; without a connection it fails as unreachable.
     * @param request Request to run on the instance beside the peer.
     * @param finished Callback; not called after `cancel`, nor before this function returns.
     * @return Id of the exchange for `cancel`.
     */
    auto send(const mesh::HopRequest &request, Finished finished) -> std::uint64_t;

    /**
     * @brief Drops an exchange and tells the peer to cancel it.
     * @param exchange Id that `send` returned.
     */
    auto cancel(std::uint64_t exchange) -> void;

    /**
     * @brief Tells the peer to refuse the request of an exchange if it is queued; its reply arrives as usual.
     * @param exchange Id that `send` returned.
     */
    auto withdraw(std::uint64_t exchange) -> void;

    /**
     * @brief Sends a report: a full one first on each connection, incremental ones from then on.
     * @param changes Frame of the changes since the last report.
     * @param fullReport Returns the frame of the full report; called on a new connection only.
     * @return Whether it was written to a connection.
     */
    auto sendReport(std::string_view changes, const std::function<std::string_view()> &fullReport) -> bool;

    /*! @brief Replaces a silent connection, closes an idle one, and sends a probe while replies are outstanding. */
    auto checkLiveness() -> void;

    /*! @brief Tells whether there is an open connection that is not silent. */
    [[nodiscard]] auto isAlive() const -> bool;

    /*! @brief Returns when the last connection failed; nothing after a connection has been opened again. */
    [[nodiscard]] auto failedAt() const -> std::optional<TimePoint>;

    /*! @brief Closes every connection and fails every exchange. */
    auto fail() -> void;

private:
    /*! @brief Sent message that the peer acknowledges with `ReportAck`. */
    struct UnansweredMessage {
        TimePoint sentAt;
        bool isReport{};
    };

    /*! @brief Outstanding request. */
    struct Exchange {
        Finished finished;
        bool idempotent{};
    };

    using Exchanges = std::map<std::uint64_t, Exchange>;

    /*! @brief Stream to the peer and the requests outstanding on it. */
    struct Connection {
        std::unique_ptr<event::Stream> stream;
        mesh::FrameReader reader;
        Exchanges exchanges;
    };

    [[nodiscard]] auto connect() -> bool;
    [[nodiscard]] auto findConnection(std::uint64_t exchange) -> Connection *;
    auto receive(Connection &connection, std::span<const char> bytes) -> void;
    auto scheduleRoomCheck() -> void;
    auto checkRoom() -> void;
    auto handleClosed(Connection &connection) -> void;
    auto closeIfFinished(const Connection &connection) -> void;
    auto failCurrent(Exchanges lost) -> void;
    auto finishLost(Exchanges exchanges, bool sent) -> void;
    auto handleOpened() -> void;
    auto closeIfSilent() -> void;
    auto sendExpectingAck(std::string_view frame, bool isReport) -> void;
    auto handleMessage(Connection &connection, mesh::PeerMessage message) -> bool;
    auto handleAck(const mesh::ReportAck &message) -> void;
    auto close() -> void;

    event::Loop *loop_;
    event::Endpoint to_;
    Settings settings_;
    Hooks hooks_;
    std::unique_ptr<Connection> current_;
    /*! @brief Silent connections; only replies to non-idempotent requests are awaited on them. */
    std::vector<std::unique_ptr<Connection>> silent_;
    std::uint64_t lastExchange_{};
    bool isOpen_{};
    bool hasReported_{}; /*!< Whether the full report was sent on this connection. */
    std::optional<TimePoint> awaitingSince_; /*!< When the oldest message that got no bytes back was sent. */
    std::deque<UnansweredMessage> unanswered_; /*!< Oldest first; acknowledgements arrive in this order. */
    event::TimerId roomTimer_{}; /*!< Runs while a reply waits for room in the byte budget. */
    TimePoint usedAt_;
    std::optional<TimePoint> failedAt_;
    TimePoint retryAt_;
    Duration backoff_;
};

} // namespace jasminelatch::sidecar

#endif
