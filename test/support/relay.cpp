#include "relay.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace jasminelatch::test {

namespace internal {

constexpr int backlog = 64;
constexpr int pollMilliseconds = 50;
constexpr std::size_t bufferBytes = 65536;

auto loopback(const std::uint16_t port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto isReadable(const int socket) -> bool
{
    pollfd ready{socket, POLLIN, 0};
    return ::poll(&ready, 1, pollMilliseconds) > 0;
}

auto sendAll(const int socket, const char *bytes, std::size_t size) -> bool
{
    while (size > 0) {
        const auto sent = ::send(socket, bytes, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

} // namespace internal

struct Relay::Connection {
    int client{-1};
    int target{-1};
    std::atomic<bool> blackholedToTarget{false};
    std::atomic<bool> blackholedToClient{false};
    std::atomic<bool> closed{false};
    std::thread toTarget;
    std::thread toClient;

    ~Connection()
    {
        shutDown();
        toTarget.join();
        toClient.join();
        ::close(client);
        ::close(target);
    }

    auto shutDown() -> void
    {
        closed = true;
        ::shutdown(client, SHUT_RDWR);
        ::shutdown(target, SHUT_RDWR);
    }
};

Relay::Relay(const std::uint16_t port, const std::uint16_t target)
    : target_{target}
    , listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    const int enabled = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const auto address = internal::loopback(port);
    if (::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(listener_, internal::backlog) != 0) {
        throw std::runtime_error{"relay cannot listen"};
    }
    thread_ = std::thread{[this] {
        run();
    }};
}

Relay::~Relay()
{
    stop_ = true;
    thread_.join();
    ::close(listener_);
}

auto Relay::run() -> void
{
    while (!stop_) {
        if (internal::isReadable(listener_)) {
            accept();
        }
        const std::lock_guard lock{mutex_};
        std::erase_if(connections_, [](const auto &connection) { return connection->closed.load(); });
    }
}

auto Relay::accept() -> void
{
    auto connection = std::make_unique<Connection>();
    connection->client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    connection->target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = internal::loopback(target_);
    if (::connect(connection->target, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        connection->closed = true;
    }
    connection->toTarget = std::thread{[this, opened = connection.get()] {
        pump(*opened, Direction::ToTarget);
    }};
    connection->toClient = std::thread{[this, opened = connection.get()] {
        pump(*opened, Direction::ToClient);
    }};
    const std::lock_guard lock{mutex_};
    connections_.push_back(std::move(connection));
}

auto Relay::pump(Connection &connection, const Direction direction) const -> void
{
    const auto isToTarget = direction == Direction::ToTarget;
    const auto from = isToTarget ? connection.client : connection.target;
    const auto to = isToTarget ? connection.target : connection.client;
    const auto &blackholed = isToTarget ? connection.blackholedToTarget : connection.blackholedToClient;
    std::array<char, internal::bufferBytes> buffer{};
    while (!connection.closed && !stop_) {
        if (!internal::isReadable(from)) {
            continue;
        }
        const auto size = ::recv(from, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            // The close of a blackholed connection is not forwarded either.
            if (!blackholed) {
                connection.shutDown();
            }
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{delayMilliseconds_});
        if (!blackholed && !internal::sendAll(to, buffer.data(), static_cast<std::size_t>(size))) {
            connection.shutDown();
        }
    }
}

auto Relay::blackhole(const Direction direction) -> void
{
    const std::lock_guard lock{mutex_};
    for (const auto &connection : connections_) {
        connection->blackholedToTarget = connection->blackholedToTarget || direction != Direction::ToClient;
        connection->blackholedToClient = connection->blackholedToClient || direction != Direction::ToTarget;
    }
}

auto Relay::cut() -> void
{
    const std::lock_guard lock{mutex_};
    for (const auto &connection : connections_) {
        connection->shutDown();
    }
}

auto Relay::delay(const std::chrono::milliseconds time) -> void
{
    delayMilliseconds_ = time.count();
}

auto Relay::connections() const -> std::size_t
{
    const std::lock_guard lock{mutex_};
    return connections_.size();
}

} // namespace jasminelatch::test
