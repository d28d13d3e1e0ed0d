#ifndef JASMINELATCH_EVENT_STREAM_HPP
#define JASMINELATCH_EVENT_STREAM_HPP

#include "endpoint.hpp"
#include "loop.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace jasminelatch::event {

/**
 * @brief TCP connection that continuously watches for received bytes and for disconnection of the peer.
 *
 * Writes are buffered until the current event handler has returned and are then sent with one system call. No hook is
 * called after the owner has closed or destroyed the stream; a hook may destroy the stream.
 */
class Stream
{
public:
    /*! @brief Callbacks of the stream, run on the loop's thread. */
    struct Hooks {
        std::function<void(std::span<const char> bytes)> data; /*!< Bytes were received; valid only during the call. */
        std::function<void(std::string_view reason)> closed; /*!< The peer closed the connection, or it failed. */
        std::function<void()> opened; /*!< An outgoing connection is established; may be empty. */
        std::function<void()> drained; /*!< All bytes were passed to the operating system; may be empty. */
    };

    /**
     * @brief Takes over an accepted connection.
     * @param loop Loop to run on; must outlive the stream.
     * @param socket Connected socket.
     * @param hooks Callbacks of the stream.
     */
    Stream(Loop &loop, boost::asio::ip::tcp::socket socket, Hooks hooks);

    /**
     * @brief Opens a connection; bytes written before it is established are buffered.
     * @param loop Loop to run on; must outlive the stream.
     * @param to Address to connect to.
     * @param userTimeout Value of `TCP_USER_TIMEOUT`: the time after which unacknowledged bytes fail the connection.
     * @param hooks Callbacks of the stream.
     */
    Stream(Loop &loop, const Endpoint &to, Duration userTimeout, Hooks hooks);

    Stream(const Stream &) = delete;
    auto operator=(const Stream &) -> Stream & = delete;
    ~Stream();

    /**
     * @brief Buffers bytes for sending; has no effect on a closed stream.
     * @param bytes Bytes to send; they are copied.
     */
    auto write(std::string_view bytes) -> void;

    /**
     * @brief Queues bytes for sending without a copy; has no effect on a closed stream.
     * @param bytes Bytes to send, kept until they are passed to the operating system; may be null.
     */
    auto write(std::shared_ptr<const std::string> bytes) -> void;

    /*! @brief Closes the connection once all bytes are passed to the operating system; discards received bytes. */
    auto closeWhenDrained() -> void;

    /*! @brief Closes the connection immediately and discards unsent bytes. */
    auto close() -> void;

    /**
     * @brief Pauses or resumes reading; disconnection of the peer is not detected while paused.
     * @param paused True to pause, false to resume.
     */
    auto pauseReading(bool paused) -> void;

    /*! @brief Returns the number of bytes not yet passed to the operating system. */
    [[nodiscard]] auto pendingBytes() const -> std::size_t;

    /*! @brief Returns the number of bytes that the peer has not acknowledged yet, to detect progress. */
    [[nodiscard]] auto unacknowledgedBytes() const -> std::size_t;

    /*! @brief Checks whether any byte was ever passed to the operating system. */
    [[nodiscard]] auto hasSent() const -> bool;

    /*! @brief Checks whether the connection is established. */
    [[nodiscard]] auto isOpen() const -> bool;

private:
    class Impl;

    std::shared_ptr<Impl> impl_; /*!< Shared with pending asynchronous operations. */
};

/**
 * @brief Tells whether a connection failed because no process listens at its address.
 * @param reason Reason that `Stream::Hooks::closed` was called with.
 */
[[nodiscard]] auto isRefused(std::string_view reason) -> bool;

} // namespace jasminelatch::event

#endif
