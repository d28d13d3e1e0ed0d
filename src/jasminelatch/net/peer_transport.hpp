#ifndef JASMINELATCH_NET_PEER_TRANSPORT_HPP
#define JASMINELATCH_NET_PEER_TRANSPORT_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jasminelatch::net {

/**
 * @brief Messages between nodes over websockets, on one thread of its own.
 *
 * Each node opens one connection to every node that it sends to. Both ends prove the fleet secret before the first
 * message passes. A message may be lost; it is never doubled. This header is kept to C++17.
 */
class PeerTransport
{
public:
    /*! @brief Bytes of one message. */
    using Bytes = std::vector<std::uint8_t>;

    /*! @brief Address and bounds. */
    struct Settings {
        std::string address; /*!< Address that peers know this node by, as host:port. */
        std::string listen; /*!< Address to listen on, as host:port; empty for the same. */
        std::string secret; /*!< Fleet secret. */
        std::size_t maxMessage{std::size_t{4} << 20}; /*!< Largest message in bytes. */
        std::size_t maxQueued{std::size_t{8} << 20}; /*!< Bytes that may wait for one peer. */
    };

    /*! @brief What the transport calls, on its own thread. */
    struct Hooks {
        std::function<void(std::string from, Bytes message)> message; /*!< A message has come in. */
        std::function<void(std::string reason)> rejected; /*!< A connection failed the proof or sent rubbish. */
        std::function<void(std::string to)> opened; /*!< A connection to a peer carries messages from now on. */
        std::function<void(std::string to)> closed; /*!< It broke, or could not be opened. */
    };

    /*! @brief Traffic so far. */
    struct Traffic {
        std::uint64_t sentMessages{}; /*!< Messages handed to the network. */
        std::uint64_t sentBytes{}; /*!< Their bytes. */
        std::uint64_t receivedMessages{}; /*!< Messages that came in. */
        std::uint64_t receivedBytes{}; /*!< Their bytes. */
    };

    /**
     * @brief Prepares a transport.
     * @param settings Address and bounds.
     * @param hooks What to call.
     */
    PeerTransport(Settings settings, Hooks hooks);

    PeerTransport(const PeerTransport &) = delete;
    auto operator=(const PeerTransport &) -> PeerTransport & = delete;

    /*! @brief Closes every connection and ends the thread. */
    ~PeerTransport();

    /**
     * @brief Listens and starts the thread.
     * @return False when the address can't be listened on.
     */
    [[nodiscard]] auto start() -> bool;

    /**
     * @brief Sends a message; may be called from any thread.
     * @param to Address of the peer.
     * @param message Bytes.
     */
    auto send(const std::string &to, Bytes message) -> void;

    /**
     * @brief Drops the connection to a peer and opens a new one; may be called from any thread.
     * @param to Address of the peer.
     */
    auto reopen(const std::string &to) -> void;

    /**
     * @brief Returns the traffic so far.
     * @return Counts of messages and bytes.
     */
    [[nodiscard]] auto traffic() const -> Traffic;

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace jasminelatch::net

#endif
