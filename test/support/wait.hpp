#ifndef JASMINELATCH_TEST_SUPPORT_WAIT_HPP
#define JASMINELATCH_TEST_SUPPORT_WAIT_HPP

#include <chrono>
#include <functional>
#include <thread>

namespace jasminelatch::test {

/*! @brief Default timeout for an expected event; generous, since only a failing test reaches it. */
constexpr auto defaultWaitTimeout = std::chrono::seconds{40};
constexpr auto pollInterval = std::chrono::milliseconds{20};

/**
 * @brief Polls until a condition is true.
 * @param condition Condition to poll.
 * @param limit Timeout.
 * @return True when the condition became true before the timeout.
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
