#ifndef JASMINELATCH_SIDECAR_WALL_CLOCK_HPP
#define JASMINELATCH_SIDECAR_WALL_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace jasminelatch::sidecar {

/*! @brief Returns the time of day in ms, which names incarnations and sessions in order. */
[[nodiscard]] inline auto wallClockMilliseconds() -> std::uint64_t
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace jasminelatch::sidecar

#endif
