#ifndef JASMINELATCH_TEST_SUPPORT_RELAY_HPP
#define JASMINELATCH_TEST_SUPPORT_RELAY_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace jasminelatch::test {

/*! @brief Direction of relayed traffic that a fault affects. */
enum class Direction : std::uint8_t { ToTarget, ToClient, Both };

/**
 * @brief TCP relay on the loopback address that can close, delay or blackhole its open connections.
 */
class Relay
{
public:
    /**
     * @brief Starts a thread that accepts and relays connections.
     * @param port Port to listen on.
     * @param target Loopback port to which connections are forwarded.
     */
    Relay(std::uint16_t port, std::uint16_t target);

    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;
    ~Relay();

    /*! @brief Permanently drops all further bytes of the currently open connections; new connections are unaffected. */
    auto blackhole(Direction direction) -> void;

    /*! @brief Closes the currently open connections. */
    auto cut() -> void;

    /*! @brief Delays all further bytes of all connections, including new ones. */
    auto delay(std::chrono::milliseconds time) -> void;

    /*! @brief Returns the number of open connections. */
    [[nodiscard]] auto connections() const -> std::size_t;

private:
    struct Connection;

    auto run() -> void;
    auto accept() -> void;
    auto pump(Connection &connection, Direction direction) const -> void;

    std::uint16_t target_;
    int listener_;
    std::atomic<std::int64_t> delayMilliseconds_{0};
    std::atomic<bool> stop_{false};
    mutable std::mutex mutex_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::thread thread_;
};

} // namespace jasminelatch::test

#endif
