#ifndef JASMINELATCH_NODE_EVENT_QUEUE_HPP
#define JASMINELATCH_NODE_EVENT_QUEUE_HPP

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace jasminelatch::node {

/**
 * @brief Events from other threads for the thread that decides.
 */
class EventQueue
{
public:
    /*! @brief An event. */
    using Event = std::function<void()>;

    /**
     * @brief Adds an event; may be called from any thread.
     * @param event The event.
     */
    auto post(Event event) -> void;

    /**
     * @brief Runs the events that are there; waits for one when there are none.
     * @param until Point in time at which it stops waiting.
     */
    auto runUntil(std::chrono::steady_clock::time_point until) -> void;

private:
    auto take(std::chrono::steady_clock::time_point until) -> std::deque<Event>;

    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<Event> events_;
};

} // namespace jasminelatch::node

#endif
