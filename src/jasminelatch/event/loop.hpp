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

/*! @brief Names a timer; zero names none. */
using TimerId = std::uint64_t;

/**
 * @brief Event loop of one thread with many timers on a single timer of the operating system.
 */
class Loop
{
public:
    /**
     * @brief Makes a loop.
     * @param clock Clock that timers follow; it outlives the loop.
     */
    explicit Loop(const Clock &clock);

    Loop(const Loop &) = delete;
    auto operator=(const Loop &) -> Loop & = delete;
    ~Loop() = default;

    /**
     * @brief Calls a task once.
     * @param delay Time from now; a negative one counts as none.
     * @param task What to call.
     * @return Name of the timer.
     */
    auto after(Duration delay, std::function<void()> task) -> TimerId;

    /**
     * @brief Forgets a timer and sets its name to zero; a timer that has fired is ignored.
     * @param timer Name of the timer.
     */
    auto cancel(TimerId &timer) -> void;

    /**
     * @brief Calls a task when the events at hand are done.
     * @param task What to call.
     */
    auto defer(std::function<void()> task) -> void;

    /**
     * @brief Destroys an object when the events at hand are done: its own call may be on the stack.
     * @param object The object; may be null.
     */
    template<typename Object>
    auto destroyLater(std::unique_ptr<Object> object) -> void
    {
        if (object) {
            defer([kept = std::shared_ptr<Object>{std::move(object)}] {});
        }
    }

    /**
     * @brief Sets what is told of exceptions that tasks and hooks of sockets throw; the loop goes on after them.
     * @param handler What to call; it doesn't throw.
     */
    auto setExceptionHandler(std::function<void(const std::exception &failure)> handler) -> void;

    /**
     * @brief Calls a task and tells the failure hook of what it throws.
     * @param task The task.
     * @return Whether it has ended without an exception.
     */
    auto guard(const std::function<void()> &task) -> bool;

    /*! @brief Runs until `stop` is called. */
    auto run() -> void;

    /*! @brief Makes `run` return. */
    auto stop() -> void;

    /*! @brief Returns the present time on the loop's clock. */
    [[nodiscard]] auto now() const -> TimePoint;

    /*! @brief Returns the context that sockets belong to. */
    [[nodiscard]] auto context() noexcept -> boost::asio::io_context &;

    /*! @brief Returns memory that one read at a time may fill, so that idle connections hold no buffer. */
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
