#ifndef JASMINELATCH_TEST_SUPPORT_PROCESS_HPP
#define JASMINELATCH_TEST_SUPPORT_PROCESS_HPP

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::test {

/*! @brief Child process of a test; the destructor kills and reaps it. */
class Process
{
public:
    Process() = default;

    /**
     * @brief Starts a program.
     * @param command Program and arguments.
     * @param output File to which its standard output and error are appended.
     * @throws std::runtime_error when the program cannot be started.
     */
    Process(const std::vector<std::string> &command, const std::filesystem::path &output);

    Process(Process &&other) noexcept;
    auto operator=(Process &&other) noexcept -> Process &;
    ~Process();

    /*! @brief Sends a signal; has no effect once the process is reaped. */
    auto signal(int number) const -> void;

    /**
     * @brief Waits for the process to exit and reaps it.
     * @param limit Timeout.
     * @return Exit code, 128 + signal number after a signal, or nothing on timeout.
     */
    [[nodiscard]] auto wait(std::chrono::milliseconds limit) -> std::optional<int>;

    /*! @brief Kills the process with SIGKILL and reaps it. */
    auto kill() -> void;

    [[nodiscard]] auto running() const -> bool { return pid_ > 0; }

    /*! @brief Returns the process id; zero once the process is reaped. */
    [[nodiscard]] auto pid() const -> pid_t { return pid_; }

private:
    pid_t pid_{};
};

/**
 * @brief Finds consecutive free TCP ports on the loopback address.
 * @param count Number of ports.
 * @return First port of the range.
 */
[[nodiscard]] auto freePorts(std::uint16_t count) -> std::uint16_t;

} // namespace jasminelatch::test

#endif
