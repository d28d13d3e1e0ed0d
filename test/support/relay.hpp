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

/*! @brief Directions of a relay that a fault strikes. */
enum class Direction : std::uint8_t { ToTarget, ToClient, Both };

/**
 * @brief TCP relay on the loopback address whose open connections can be cut, delayed or made silent.
 */
class Relay
{
public:
    /**
     * @brief Starts relaying.
     * @param port Port to listen on.
     * @param target Port of the loopback address that connections are passed on to.
     */
    Relay(std::uint16_t port, std::uint16_t target);

    Relay(const Relay &) = delete;
    auto operator=(const Relay &) -> Relay & = delete;
    ~Relay();

    /*! @brief Drops all later bytes of the connections open now, for good; new connections work. */
    auto blackhole(Direction direction) -> void;

    /*! @brief Closes the connections open now. */
    auto cut() -> void;

    /*! @brief Delays all bytes of all connections from now on. */
    auto delay(std::chrono::milliseconds time) -> void;

    /*! @brief Returns how many connections are open. */
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
