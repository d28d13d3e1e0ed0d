#ifndef JASMINELATCH_CORE_CLOCK_HPP
#define JASMINELATCH_CORE_CLOCK_HPP

#include <chrono>
#include <optional>

namespace jasminelatch {

/*! @brief Time span with microsecond resolution, the unit of all timing decisions. */
using Duration = std::chrono::microseconds;

/**
 * @brief Monotonic clock of the runtime.
 *
 * It reads `CLOCK_BOOTTIME`, which also advances while a VM is suspended, so that leases expire and data becomes stale
 * during a suspension. Tests pause it and advance it explicitly. It is not thread-safe while paused.
 */
class Clock
{
public:
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock, duration>;
    static constexpr bool is_steady = true;

    /**
     * @brief Returns the current time.
     * @return Time since an arbitrary fixed point, in microseconds.
     */
    [[nodiscard]] auto now() const -> time_point;

    /*! @brief Stops the clock at a fixed time point, the same in every process; only `advance` moves it afterwards. */
    auto pause() -> void;

    /**
     * @brief Moves a paused clock forward; has no effect on a running clock.
     * @param step Time span to add; must not be negative.
     */
    auto advance(Duration step) -> void;

private:
    std::optional<time_point> paused_;
};

/*! @brief Time point of `Clock`; not comparable between VMs. */
using TimePoint = Clock::time_point;

} // namespace jasminelatch

#endif
