#include "loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace jasminelatch::event {

namespace internal {

/*! @brief Maximum number of bytes per read from a socket. */
constexpr std::size_t readBufferBytes = std::size_t{32} << 10;
/*! @brief Expiry times are rounded up to a multiple of this, so that one wake-up serves many timers. */
constexpr Duration timerResolution = std::chrono::milliseconds{5};

} // namespace internal

Loop::Loop(const Clock &clock)
    : clock_{&clock}
    , readBuffer_(internal::readBufferBytes)
{
}

auto Loop::after(const Duration delay, std::function<void()> task) -> TimerId
{
    const auto exact = now() + std::max(delay, Duration::zero());
    const auto ticks = exact.time_since_epoch() / internal::timerResolution + 1;
    const TimePoint due{internal::timerResolution * ticks};
    const auto id = ++lastId_;
    tasks_.emplace(std::pair{due, id}, std::move(task));
    dueTimes_.emplace(id, due);
    if (due < armedFor_) {
        arm();
    }
    return id;
}

auto Loop::cancel(TimerId &timer) -> void
{
    if (const auto found = dueTimes_.find(timer); found != dueTimes_.end()) {
        tasks_.erase(std::pair{found->second, timer});
        dueTimes_.erase(found);
    }
    timer = 0;
}

auto Loop::defer(std::function<void()> task) -> void
{
    boost::asio::post(context_, std::move(task));
}

auto Loop::setExceptionHandler(std::function<void(const std::exception &failure)> handler) -> void
{
    exceptionHandler_ = std::move(handler);
}

auto Loop::guard(const std::function<void()> &task) -> bool
{
    try {
        task();
        return true;
    } catch (const std::exception &failure) {
        if (exceptionHandler_) {
            exceptionHandler_(failure);
        }
        return false;
    }
}

auto Loop::run() -> void
{
    const auto work = boost::asio::make_work_guard(context_);
    while (!guard([this] { context_.run(); })) {
    }
}

auto Loop::stop() -> void
{
    context_.stop();
}

auto Loop::now() const -> TimePoint
{
    return clock_->now();
}

auto Loop::context() noexcept -> boost::asio::io_context &
{
    return context_;
}

auto Loop::readBuffer() noexcept -> std::vector<char> &
{
    return readBuffer_;
}

auto Loop::arm() -> void
{
    if (tasks_.empty()) {
        armedFor_ = TimePoint::max();
        return;
    }
    armedFor_ = tasks_.begin()->first.first;
    timer_.expires_after(armedFor_ - now());
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            runDueTasks();
        }
    });
}

auto Loop::runDueTasks() -> void
{
    armedFor_ = TimePoint::min();
    const auto present = now();
    while (!tasks_.empty() && tasks_.begin()->first.first <= present) {
        auto node = tasks_.extract(tasks_.begin());
        dueTimes_.erase(node.key().second);
        guard(node.mapped());
    }
    arm();
}

} // namespace jasminelatch::event
