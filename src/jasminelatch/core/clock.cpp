#include "clock.hpp"

namespace jasminelatch {

namespace internal {

constexpr Clock::time_point pausedStart{std::chrono::hours{1}};

} // namespace internal

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
    paused_ = internal::pausedStart;
}

auto Clock::advance(const Duration step) -> void
{
    if (paused_) {
        *paused_ += step;
    }
}

} // namespace jasminelatch
