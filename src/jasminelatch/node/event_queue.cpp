#include "event_queue.hpp"

#include <utility>

namespace jasminelatch::node {

auto EventQueue::post(Event event) -> void
{
    {
        const std::lock_guard lock{mutex_};
        events_.push_back(std::move(event));
    }
    arrived_.notify_one();
}

auto EventQueue::take(const std::chrono::steady_clock::time_point until) -> std::deque<Event>
{
    std::unique_lock lock{mutex_};
    arrived_.wait_until(lock, until, [this] { return !events_.empty(); });
    return std::exchange(events_, {});
}

auto EventQueue::runUntil(const std::chrono::steady_clock::time_point until) -> void
{
    for (const auto &event : take(until)) {
        event();
    }
}

} // namespace jasminelatch::node
