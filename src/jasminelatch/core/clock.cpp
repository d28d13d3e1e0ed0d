#include "clock.hpp"

namespace jasminelatch {

auto Clock::now() const -> time_point
{
    if (paused_) {
        return *paused_;
    }
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<Duration>(sinceStart)};
}

auto Clock::pause() -> void
{
    paused_ = now();
}

auto Clock::advance(const Duration step) -> void
{
    if (paused_) {
        *paused_ += step;
    }
}

} // namespace jasminelatch
