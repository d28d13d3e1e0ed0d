#ifndef JASMINELATCH_TEST_SUPPORT_WAIT_HPP
#define JASMINELATCH_TEST_SUPPORT_WAIT_HPP

#include <chrono>
#include <functional>
#include <thread>

namespace jasminelatch::test {

/*! @brief Longest wait for an event that is expected; wide, since it only bounds a failing test. */
constexpr auto defaultWaitTimeout = std::chrono::seconds{40};
constexpr auto pollInterval = std::chrono::milliseconds{20};

/**
 * @brief Polls until something holds.
 * @param condition What is waited for.
 * @param limit Longest wait.
 * @return True when it held in time.
 */
[[nodiscard]] inline auto waitUntil(const std::function<bool()> &condition,
                                    const std::chrono::milliseconds limit = defaultWaitTimeout) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace jasminelatch::test

#endif
