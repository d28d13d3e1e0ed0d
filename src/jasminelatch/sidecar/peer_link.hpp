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

namespace jasminelatch::sidecar {

/**
 * @brief Connection that this node opens to a peer for requests to the instance there.
 *
 * Reports are sent over it at short intervals and answered; when answers fail to come, the connection has gone silent
 * and a new one takes its place.
 */
class PeerLink
{
public:
    /*! @brief Called once with the word on a request. */
    using Finished = std::function<void(mesh::HopReply reply)>;

    /*! @brief Called with the store's word that the peer passes on. */
    using Confirmed = std::function<void(const mesh::StoreConfirmation &word)>;

    /*! @brief Bounds of a link. */
    struct Settings {
        Duration silence{std::chrono::milliseconds{1000}}; /*!< Time without an answer that ends the connection. */
        Duration firstPause{std::chrono::milliseconds{100}}; /*!< Pause after a failed connection; doubles. */
        Duration longestPause{std::chrono::milliseconds{800}}; /*!< Longest pause. */
    };

    /**
     * @brief Makes a link without a connection.
     * @param loop Loop to run on; it outlives the link.
     * @param to Address of the peer.
     * @param settings Bounds.
     * @param confirmed What to call.
     */
    PeerLink(event::Loop &loop, event::Endpoint to, Settings settings, Confirmed confirmed);

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
     */
    auto sendReport(std::string_view changes, const std::function<std::string_view()> &whole) -> void;

    /*! @brief Tells whether there is a connection on which no report has waited too long for its answer. */
    [[nodiscard]] auto isAlive() const -> bool;

    /*! @brief Ends the connection and every exchange on it. */
    auto fail() -> void;

private:
    [[nodiscard]] auto connect() -> bool;
    auto opened() -> void;
    auto receive(std::span<const char> bytes) -> void;
    auto take(mesh::PeerMessage message) -> bool;
    auto reportReceived(const mesh::ReportReceived &message) -> void;

    event::Loop *loop_;
    event::Endpoint to_;
    Settings settings_;
    Confirmed confirmed_;
    std::unique_ptr<event::Stream> stream_;
    mesh::FrameReader reader_;
    std::map<std::uint64_t, Finished> exchanges_;
    std::uint64_t lastExchange_{};
    bool open_{};
    bool hasReported_{}; /*!< Whether this connection has carried a whole report. */
    std::optional<TimePoint> awaitingSince_; /*!< When the oldest unanswered report was sent. */
    std::deque<TimePoint>
        reportedAt_; /*!< When the reports that are not answered were sent; answers keep their order. */
    TimePoint retryAt_;
    Duration pause_;
};

} // namespace jasminelatch::sidecar

#endif
