#ifndef JASMINELATCH_SIDECAR_WALL_CLOCK_HPP
#define JASMINELATCH_SIDECAR_WALL_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace jasminelatch::sidecar {

/*! @brief Returns the wall-clock time in ms since the Unix epoch; it numbers incarnations and sessions. The clock may
 * be stepped, so that a later time may be lower, also than one of another node: see `Node::raiseIncarnation`. */
[[nodiscard]] inline auto wallClockMilliseconds() -> std::uint64_t
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace jasminelatch::sidecar

#endif
