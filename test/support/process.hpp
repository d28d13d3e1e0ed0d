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

/*! @brief Process that a test started; it is killed and reaped when this goes. */
class Process
{
public:
    Process() = default;

    /**
     * @brief Starts a program.
     * @param command Program and arguments.
     * @param output File that receives what it writes.
     */
    Process(const std::vector<std::string> &command, const std::filesystem::path &output);

    Process(Process &&other) noexcept;
    auto operator=(Process &&other) noexcept -> Process &;
    ~Process();

    /*! @brief Sends a signal; nothing happens when the process has been reaped. */
    auto signal(int number) const -> void;

    /**
     * @brief Waits for its end.
     * @param limit Longest wait.
     * @return Exit code, 128 + signal number after a signal, or nothing while it runs.
     */
    [[nodiscard]] auto wait(std::chrono::milliseconds limit) -> std::optional<int>;

    /*! @brief Kills and reaps it. */
    auto kill() -> void;

    [[nodiscard]] auto running() const -> bool { return pid_ > 0; }

private:
    pid_t pid_{};
};

/**
 * @brief Finds free TCP ports on the loopback address that follow each other.
 * @param count How many.
 * @return The first.
 */
[[nodiscard]] auto freePorts(std::uint16_t count) -> std::uint16_t;

} // namespace jasminelatch::test

#endif
