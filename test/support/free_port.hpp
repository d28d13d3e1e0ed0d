#ifndef JASMINELATCH_TEST_SUPPORT_FREE_PORT_HPP
#define JASMINELATCH_TEST_SUPPORT_FREE_PORT_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace jasminelatch::test {

/*! @brief Returns a TCP port on the loopback address that is free but not reserved; zero when there is none. */
[[nodiscard]] inline auto freePort() -> std::uint16_t
{
    const auto listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof(address);
    const auto bound = ::bind(listener, generic, size) == 0 && ::getsockname(listener, generic, &size) == 0;
    ::close(listener);
    return bound ? ntohs(address.sin_port) : std::uint16_t{};
}

/**
 * @brief Returns a TCP port on the loopback address that concurrently running tests do not get.
 *
 * Ports lie below the ephemeral range, in a range chosen by process id, and are allocated in turn.
 */
[[nodiscard]] inline auto allocatePort() -> std::uint16_t
{
    constexpr std::uint16_t first = 10'000;
    constexpr std::uint16_t portsPerProcess = 200;
    constexpr std::uint16_t rangeCount = 110;
    static std::uint16_t allocated{};
    for (;;) {
        const auto range = static_cast<std::uint16_t>(getpid() % rangeCount);
        const auto port = static_cast<std::uint16_t>(first + range * portsPerProcess + allocated++ % portsPerProcess);
        const auto probe = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto enabled = 1;
        ::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const auto bound = ::bind(probe, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        ::close(probe);
        if (bound) {
            return port;
        }
    }
}

/*! @brief Opens a TCP connection to a port on the loopback address; returns -1 on failure. */
[[nodiscard]] inline auto connectTo(const std::uint16_t port) -> int
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

} // namespace jasminelatch::test

#endif
