#ifndef JASMINELATCH_EVENT_LOOP_HPP
#define JASMINELATCH_EVENT_LOOP_HPP

#include <jasminelatch/core/clock.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace jasminelatch::event {

/*! @brief Identifies a timer; zero identifies none. */
using TimerId = std::uint64_t;

/**
 * @brief Single-threaded event loop that multiplexes all timers onto one timer of the operating system.
 */
class Loop
{
public:
    /**
     * @brief Creates a loop, which processes no events until `run` is called.
     * @param clock Clock of the timers; must outlive the loop.
     */
    explicit Loop(const Clock &clock);

    Loop(const Loop &) = delete;
    auto operator=(const Loop &) -> Loop & = delete;
    ~Loop() = default;

    /**
     * @brief Calls a task once after a delay.
     * @param delay Time from now, rounded up to the timer resolution; a negative delay counts as zero.
     * @param task Task to call.
     * @return Identifier of the timer, for `cancel`.
     */
    auto after(Duration delay, std::function<void()> task) -> TimerId;

    /**
     * @brief Cancels a timer and resets its identifier to zero; has no effect on a timer that has expired.
     * @param timer Identifier of the timer.
     */
    auto cancel(TimerId &timer) -> void;

    /**
     * @brief Queues a task to run after the current event handler has returned.
     * @param task Task to call.
     */
    auto defer(std::function<void()> task) -> void;

    /**
     * @brief Destroys an object after the current event handler has returned, since one of its member functions may
     * be on the call stack.
     * @param object Object to destroy; may be null.
     */
    template<typename Object>
    auto destroyLater(std::unique_ptr<Object> object) -> void
    {
        if (object) {
            defer([kept = std::shared_ptr<Object>{std::move(object)}] {});
        }
    }

    /**
     * @brief Sets the handler for exceptions thrown by tasks and socket hooks; the loop continues after each.
     * @param handler Receives each exception; must not throw.
     */
    auto setExceptionHandler(std::function<void(const std::exception &failure)> handler) -> void;

    /**
     * @brief Calls a task and passes an exception that it throws to the exception handler.
     * @param task Task to call.
     * @return True when the task has returned without an exception.
     */
    auto guard(const std::function<void()> &task) -> bool;

    /*! @brief Processes events until `stop` is called. */
    auto run() -> void;

    /*! @brief Makes `run` return once the current event handler has returned. */
    auto stop() -> void;

    /*! @brief Returns the current time of the loop's clock. */
    [[nodiscard]] auto now() const -> TimePoint;

    /*! @brief Returns the I/O context for creating sockets. */
    [[nodiscard]] auto context() noexcept -> boost::asio::io_context &;

    /*! @brief Returns the read buffer that all connections share, so that idle connections need no buffer. */
    [[nodiscard]] auto readBuffer() noexcept -> std::vector<char> &;

private:
    auto arm() -> void;
    auto runDueTasks() -> void;

    const Clock *clock_;
    boost::asio::io_context context_{1};
    boost::asio::steady_timer timer_{context_};
    std::map<std::pair<TimePoint, TimerId>, std::function<void()>> tasks_;
    std::map<TimerId, TimePoint> dueTimes_;
    TimerId lastId_{};
    TimePoint armedFor_{TimePoint::max()};
    std::vector<char> readBuffer_;
    std::function<void(const std::exception &failure)> exceptionHandler_;
};

} // namespace jasminelatch::event

#endif
