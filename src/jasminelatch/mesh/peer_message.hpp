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

/*! @brief Maximum frame size between nodes in bytes; bounds the memory that a peer can make a node buffer. */
inline constexpr std::size_t maxFrameBytes = std::size_t{80} << 20;
/*! @brief Maximum size of a frame's head in bytes; a decoded head takes many times its size. */
inline constexpr std::size_t maxFrameHeadBytes = std::size_t{512} << 10;

/*! @brief Request to the receiver's local instance. */
struct RequestMessage {
    std::uint64_t exchange{}; /*!< Id of the exchange, unique on this connection. */
    HopRequest request; /*!< Request with its routing and deadline. */
    bool isBodyMissing{}; /*!< Whether the receiver had no memory for the body and skipped it; not sent. */
};

/*! @brief Result of a request. */
struct ReplyMessage {
    std::uint64_t exchange{}; /*!< Id of the exchange that the message refers to. */
    HopReply reply; /*!< Outcome, load and response. */
};

/*! @brief Cancels an exchange whose caller no longer waits. */
struct CancelMessage {
    std::uint64_t exchange{}; /*!< Id of the exchange that the message refers to. */
};

/*! @brief Cancels an exchange whose request waits for a slot; the reply says so. A request that runs is not affected.
 */
struct WithdrawMessage {
    std::uint64_t exchange{}; /*!< Id of the exchange that the message refers to. */
};

/*!
 * @brief Report of a node; acknowledged by `ReportAck`, which shows that the connection is alive, unless it is itself a
 * response.
 */
struct ReportMessage {
    NodeReport report; /*!< Counts, load and records of the sender. */
};

/*! @brief Acknowledges a report or probe and forwards the store's last confirmation of the configuration. */
struct ReportAck {
    std::uint64_t revision{}; /*!< Store revision of the configuration's last change; for nodes of earlier builds. */
    std::optional<Duration> age; /*!< Age of the confirmation at sending; empty before the first one. */
    std::optional<std::uint64_t> version; /*!< Version that it confirms; empty from nodes of earlier builds. */
    std::uint64_t era{}; /*!< Era of the store that it comes from. */
};

/*! @brief Liveness check of the connection; answered by `ReportAck`. */
struct ProbeMessage {
};

/*! @brief Configuration as stored, sent to a node that does not watch the store itself. */
struct ConfigurationMessage {
    std::uint64_t revision{}; /*!< Store revision of its last change; for nodes of earlier builds. */
    std::string text; /*!< Stored value. */
};

/*! @brief Any message on a connection between nodes. */
using PeerMessage = std::variant<RequestMessage,
                                 ReplyMessage,
                                 CancelMessage,
                                 ReportMessage,
                                 ReportAck,
                                 ProbeMessage,
                                 ConfigurationMessage,
                                 WithdrawMessage>;

/**
 * @brief Serializes a message as a frame: two 4-byte big-endian lengths, a CBOR head and the body, if any.
 * @param message Message to send.
 * @param now Current time; deadlines are sent as the time remaining.
 * @return Bytes of the frame.
 */
[[nodiscard]] auto encodeFrame(const PeerMessage &message, TimePoint now) -> std::string;

/**
 * @brief Serializes a frame without its body, which a stream sends from where it is.
 * @param message Message to send.
 * @param now Current time.
 * @return Bytes of the frame that precede the body.
 */
[[nodiscard]] auto encodeFrameHead(const PeerMessage &message, TimePoint now) -> std::string;

/*! @brief What a `FrameReader` does with a body that does not fit into the byte budget. */
enum class BodyPolicy : std::uint8_t {
    Skip, /*!< Skips the body and delivers the request without it. */
    Wait /*!< Stops decoding until there is room for the whole body. */
};

/**
 * @brief Incremental decoder that splits a byte stream into messages; incomplete frames are buffered.
 */
class FrameReader
{
public:
    /**
     * @brief Creates a decoder with an empty buffer.
     * @param maxFrame Maximum frame size in bytes; a larger frame is an error.
     * @param budget Budget for buffered frames, which passes on to decoded bodies; outlives them; null for no limit.
     * @param policy What to do with a body that does not fit.
     */
    explicit FrameReader(std::size_t maxFrame, ByteBudget *budget = nullptr, BodyPolicy policy = BodyPolicy::Skip);

    /**
     * @brief Decodes the next bytes of the stream.
     * @param bytes Bytes as received.
     * @param now Current time, to which remaining times are added.
     * @param take Called with each message in order; returns false to stop, which drops the remaining bytes.
     * @return False if a frame is malformed or too large; the stream cannot be resumed then.
     */
    auto feed(std::span<const char> bytes, TimePoint now, const std::function<bool(PeerMessage)> &take) -> bool;

    /*! @brief Returns the message whose body waits for room in the budget, or null; feeding no bytes tries again. */
    [[nodiscard]] auto waitingMessage() const -> const PeerMessage *;

    /*! @brief Makes the reader skip the body that it waits for and the message, which nobody needs any more. */
    auto skipWaiting() -> void;

    /*! @brief Tells whether a frame is incomplete. */
    [[nodiscard]] auto isWithinFrame() const -> bool;

private:
    enum class Step : std::uint8_t { Done, NeedsMore, Invalid };

    [[nodiscard]] auto readHead(std::string_view &input, TimePoint now) -> Step;
    [[nodiscard]] auto readBody(std::string_view &input) -> Step;
    [[nodiscard]] auto hasRoomForBody(std::size_t next) -> bool;
    [[nodiscard]] auto takeMessage() -> PeerMessage;

    std::size_t maxFrame_;
    ByteBudget *budget_;
    BodyPolicy policy_;
    std::string
        rest_; /*!< Input that is not decoded yet: an incomplete prefix or head, or bytes after a waiting one. */
    std::optional<PeerMessage> message_; /*!< Message whose body is being received. */
    std::string body_;
    std::size_t headBytes_{};
    std::size_t bodyBytes_{}; /*!< Declared size of the body. */
    std::size_t bodyLeft_{};
    bool isSkipping_{}; /*!< Whether the body is skipped. */
    bool isUnwanted_{}; /*!< Whether the message is skipped as well. */
    bool isWaiting_{};
    ByteReservation reservation_; /*!< Bytes of the frame that is being received. */
};

} // namespace jasminelatch::mesh

#endif
