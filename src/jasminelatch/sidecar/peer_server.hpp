#ifndef JASMINELATCH_SIDECAR_PEER_SERVER_HPP
#define JASMINELATCH_SIDECAR_PEER_SERVER_HPP

#include "local_instance.hpp"

#include <jasminelatch/event/listener.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/event/stream.hpp>
#include <jasminelatch/mesh/byte_budget.hpp>
#include <jasminelatch/mesh/freshness.hpp>
#include <jasminelatch/mesh/peer_message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/**
 * @brief Accepts connections of peers, runs their requests on the local instance and acknowledges their reports.
 */
class PeerServer
{
public:
    /*! @brief Called with each report; returns the frames to send after its acknowledgement. */
    using Reported = std::function<std::string(const mesh::NodeReport &report)>;
    /*! @brief Returns the acknowledgement of a report, with the newest confirmation of the store. */
    using Acknowledge = std::function<mesh::ReportAck()>;

    /*! @brief Limits of the server. */
    struct Settings {
        /*! @brief Bounds the bytes of requests; passes on to their bodies, which it outlives; may be null. */
        mesh::ByteBudget *budget{};
        /*! @brief Largest number of connections; beyond it one that has sent no message is closed. */
        std::size_t maxConnections{std::numeric_limits<std::size_t>::max()};
        /*! @brief Time after which a peer is closed that has not continued a frame or has read nothing. */
        Duration progressTimeout{std::chrono::seconds{15}};
    };

    /**
     * @brief Makes a server that does not listen yet.
     * @param loop Loop to run on; it outlives the server.
     * @param instance Instance that runs the requests; it outlives the server.
     * @param settings Limits.
     * @param reported Handler of reports.
     * @param acknowledge Source of acknowledgements.
     */
    PeerServer(
        event::Loop &loop, LocalInstance &instance, Settings settings, Reported reported, Acknowledge acknowledge);

    PeerServer(const PeerServer &) = delete;
    auto operator=(const PeerServer &) -> PeerServer & = delete;
    ~PeerServer();

    /**
     * @brief Starts to listen.
     * @param on Address to listen on.
     * @return Error message, or nothing on success.
     */
    [[nodiscard]] auto open(const event::Endpoint &on) -> std::optional<std::string>;

    /**
     * @brief Writes a frame to every peer that recently reported to this node as its relay.
     * @param frame Encoded frame.
     */
    auto broadcast(std::string_view frame) -> void;

private:
    /*! @brief Request of a peer that is running or queued. */
    struct Exchange {
        std::uint64_t requestId{}; /*!< Id at the local instance. */
        bool idempotent{}; /*!< Whether it is cancelled when the peer disconnects. */
    };

    struct Session {
        std::unique_ptr<event::Stream> stream;
        mesh::FrameReader reader;
        std::map<std::uint64_t, Exchange> exchanges;
        std::optional<TimePoint> reportedAt; /*!< When the peer last reported to this node as its relay. */
        mesh::ByteReservation unread; /*!< Acknowledgements and reports that the peer has not read. */
        std::size_t unreadBytes{}; /*!< Size of `unread`. */
        std::size_t unacknowledgedBytes{}; /*!< Bytes that the peer had not acknowledged at `progressAt`. */
        TimePoint receivedAt; /*!< When the peer last sent a byte. */
        TimePoint progressAt; /*!< When the peer last acknowledged a byte, or had none to acknowledge. */
        bool hasSentMessage{};
    };

    auto handleAccepted(boost::asio::ip::tcp::socket socket) -> void;
    auto receive(std::uint64_t session, std::span<const char> bytes) -> void;
    auto handleMessage(std::uint64_t session, mesh::PeerMessage &&message) -> bool;
    auto start(std::uint64_t session, mesh::RequestMessage message) -> void;
    auto handleFinished(std::uint64_t session, std::uint64_t exchange, mesh::HopReply reply) -> void;
    auto refuse(std::uint64_t session, std::uint64_t exchange) -> void;
    /*! @brief Writes bytes that belong to no request; stops reading while the peer leaves too many unread. */
    auto writeOwn(Session &session, std::string_view bytes) -> void;
    auto handleDrained(std::uint64_t session) -> void;
    [[nodiscard]] auto makeRoom() -> bool;
    auto scheduleSweep() -> void;
    auto sweep() -> void;
    auto end(std::uint64_t session) -> void;

    event::Loop *loop_;
    LocalInstance *instance_;
    Settings settings_;
    Reported reported_;
    Acknowledge acknowledge_;
    event::Listener listener_;
    std::map<std::uint64_t, Session> sessions_;
    std::uint64_t lastSession_{};
    event::TimerId sweepTimer_{};
};

} // namespace jasminelatch::sidecar

#endif
