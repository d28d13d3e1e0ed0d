#include "process.hpp"

#include "wait.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <utility>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace jasminelatch::test {

namespace internal {

constexpr int signalExitBase = 128;
constexpr int portAttempts = 200;
constexpr std::uint32_t firstPort = 11'000;
constexpr std::uint32_t portRange = 20'000;
constexpr std::uint32_t portsPerTest = 101;
constexpr mode_t logMode = 0600;

/*! @brief Binds a port of the loopback address; returns -1 when it is in use. */
auto bindPort(const std::uint16_t port) -> int
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    // Ports with connections in TIME_WAIT count as free.
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

auto areFree(const std::uint16_t first, const std::uint16_t count) -> bool
{
    for (std::uint16_t offset = 0; offset < count; ++offset) {
        const auto socket = bindPort(static_cast<std::uint16_t>(first + offset));
        if (socket < 0) {
            return false;
        }
        ::close(socket);
    }
    return true;
}

} // namespace internal

Process::Process(const std::vector<std::string> &command, const std::filesystem::path &output)
{
    std::vector<char *> arguments;
    for (const auto &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, internal::logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Sockets of the test would stay open in the child after the test has closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const auto failed = posix_spawn(&pid_, command.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        pid_ = 0;
        throw std::runtime_error{"cannot start " + command.front()};
    }
}

Process::Process(Process &&other) noexcept
    : pid_{std::exchange(other.pid_, 0)}
{
}

auto Process::operator=(Process &&other) noexcept -> Process &
{
    if (this != &other) {
        kill();
        pid_ = std::exchange(other.pid_, 0);
    }
    return *this;
}

Process::~Process()
{
    kill();
}

auto Process::signal(const int number) const -> void
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

auto Process::wait(const std::chrono::milliseconds limit) -> std::optional<int>
{
    int status = 0;
    const auto ended = pid_ > 0 && waitUntil([&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; }, limit);
    if (!ended) {
        return std::nullopt;
    }
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : internal::signalExitBase + WTERMSIG(status);
}

auto Process::kill() -> void
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
}

auto freePorts(const std::uint16_t count) -> std::uint16_t
{
    // Ports lie below the ephemeral range, from which an outgoing connection could take a port before its server
    // starts.
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * internal::portsPerTest;
    for (int attempt = 0; attempt < internal::portAttempts; ++attempt) {
        const auto first = static_cast<std::uint16_t>(internal::firstPort + next % internal::portRange);
        next += count;
        if (internal::areFree(first, count)) {
            return first;
        }
    }
    throw std::runtime_error{"no range of free ports found"};
}

} // namespace jasminelatch::test
