#ifndef JASMINELATCH_SIDECAR_PEER_SERVER_HPP
#define JASMINELATCH_SIDECAR_PEER_SERVER_HPP

#include "local_instance.hpp"

#include <jasminelatch/event/listener.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/event/stream.hpp>
#include <jasminelatch/mesh/freshness.hpp>
#include <jasminelatch/mesh/peer_message.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/**
 * @brief Takes requests and reports of peers.
 */
class PeerServer
{
public:
    /*! @brief Called with each report; returns the frames that answer it besides the receipt. */
    using Reported = std::function<std::string(const mesh::NodeReport &report)>;
    /*! @brief Returns the store's newest word to pass on. */
    using Confirmation = std::function<std::optional<mesh::StoreConfirmation>()>;

    /**
     * @brief Prepares a server.
     * @param loop Loop to run on; it outlives the server.
     * @param instance Instance that runs the requests; it outlives the server.
     * @param reported What to call.
     * @param confirmation Where the word comes from that goes with each answer to a report.
     */
    PeerServer(event::Loop &loop, LocalInstance &instance, Reported reported, Confirmation confirmation);

    PeerServer(const PeerServer &) = delete;
    auto operator=(const PeerServer &) -> PeerServer & = delete;
    ~PeerServer();

    /**
     * @brief Starts to listen.
     * @param on Address to listen on.
     * @return What went wrong, or nothing.
     */
    [[nodiscard]] auto open(const event::Endpoint &on) -> std::optional<std::string>;

    /**
     * @brief Writes to all nodes that have lately reported to this one as to their relay.
     * @param frame The frame.
     */
    auto broadcast(std::string_view frame) -> void;

private:
    /*! @brief Request of a peer that runs or waits. */
    struct Exchange {
        std::uint64_t name{}; /*!< Name at the local instance. */
        bool idempotent{}; /*!< Whether it is ended when the peer is gone. */
    };

    struct Session {
        std::unique_ptr<event::Stream> stream;
        mesh::FrameReader reader;
        std::map<std::uint64_t, Exchange> exchanges;
        std::optional<TimePoint> reportedAt; /*!< When the peer last reported as to its relay. */
    };

    auto accepted(boost::asio::ip::tcp::socket socket) -> void;
    auto receive(std::uint64_t session, std::span<const char> bytes) -> void;
    auto take(std::uint64_t session, mesh::PeerMessage message) -> bool;
    auto start(std::uint64_t session, mesh::RequestMessage message) -> void;
    [[nodiscard]] auto receipt() const -> mesh::ReportAck;
    auto finished(std::uint64_t session, std::uint64_t exchange, mesh::HopReply reply) -> void;
    auto end(std::uint64_t session) -> void;

    event::Loop *loop_;
    LocalInstance *instance_;
    Reported reported_;
    Confirmation confirmation_;
    event::Listener listener_;
    std::map<std::uint64_t, Session> sessions_;
    std::uint64_t lastSession_{};
};

} // namespace jasminelatch::sidecar

#endif
