#include "clock.hpp"

#include <ctime>

namespace jasminelatch {

namespace internal {

constexpr Clock::time_point pausedStart{std::chrono::hours{1}};

} // namespace internal

auto Clock::now() const -> time_point
{
    if (paused_) {
        return *paused_;
    }
    timespec bootTime{};
    clock_gettime(CLOCK_BOOTTIME, &bootTime);
    const auto sinceBoot = std::chrono::seconds{bootTime.tv_sec} + std::chrono::nanoseconds{bootTime.tv_nsec};
    return time_point{std::chrono::duration_cast<Duration>(sinceBoot)};
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
