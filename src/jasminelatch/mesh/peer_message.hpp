#ifndef JASMINELATCH_MESH_PEER_MESSAGE_HPP
#define JASMINELATCH_MESH_PEER_MESSAGE_HPP

#include "hop.hpp"
#include "node_report.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Largest frame between nodes in bytes; bounds the memory that a peer can make a node hold. */
inline constexpr std::size_t maxFrameBytes = std::size_t{80} << 20;

/*! @brief Request for the instance beside the receiver. */
struct RequestMessage {
    std::uint64_t exchange{}; /*!< Names the exchange on this connection. */
    HopRequest request; /*!< The request. */
};

/*! @brief Word on an exchange. */
struct ReplyMessage {
    std::uint64_t exchange{}; /*!< Names the exchange. */
    HopReply reply; /*!< The word. */
};

/*! @brief Nobody waits for an exchange any more. */
struct CancelMessage {
    std::uint64_t exchange{}; /*!< Names the exchange. */
};

/*! @brief A node's report; answered by `ReportAck`, which shows that the connection is alive, unless it is itself
 * an answer. */
struct ReportMessage {
    NodeReport report; /*!< The report. */
};

/*! @brief Answer to a report; passes on how the store last confirmed the configuration. */
struct ReportAck {
    std::uint64_t revision{}; /*!< Revision of the configuration's last change. */
    std::optional<Duration> age; /*!< Age of that word when this answer was written; nothing before the first word. */
};

/*! @brief Asks whether the connection is alive; answered by `ReportAck` too. */
struct ProbeMessage {
};

/*! @brief Configuration as the store holds it, for a node that doesn't watch the store itself. */
struct ConfigurationMessage {
    std::uint64_t revision{}; /*!< Revision of the store at its last change. */
    std::string text; /*!< Value of the item. */
};

/*! @brief Message between nodes. */
using PeerMessage = std::
    variant<RequestMessage, ReplyMessage, CancelMessage, ReportMessage, ReportAck, ProbeMessage, ConfigurationMessage>;

/**
 * @brief Writes a message as a frame: two lengths of four bytes, a CBOR head and the body of a request or answer.
 * @param message The message.
 * @param now Present time; times left are told relative to it.
 * @return The frame.
 */
[[nodiscard]] auto encodeFrame(const PeerMessage &message, TimePoint now) -> std::string;

/**
 * @brief Takes frames out of a stream of bytes.
 */
class FrameReader
{
public:
    /**
     * @brief Makes a reader.
     * @param maxFrame Largest frame in bytes; a larger one is an error.
     */
    explicit FrameReader(std::size_t maxFrame);

    /**
     * @brief Takes in bytes.
     * @param bytes The bytes.
     * @param now Present time.
     * @param take Called with each message in order; returns false to stop.
     * @return False when the bytes are no frames; the connection is of no use then.
     */
    auto feed(std::span<const char> bytes, TimePoint now, const std::function<bool(PeerMessage)> &take) -> bool;

private:
    std::size_t maxFrame_;
    std::string rest_;
};

} // namespace jasminelatch::mesh

#endif
