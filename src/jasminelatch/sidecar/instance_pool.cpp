#include "instance_pool.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Divisor of the byte budget for responses that announce no length. */
constexpr std::size_t unannouncedDivisor = 3;

} // namespace internal

InstancePool::InstancePool(event::Loop &loop, event::Endpoint to, Settings settings)
    : loop_{&loop}
    , to_{std::move(to)}
    , settings_{std::move(settings)}
    , unannounced_{settings_.budget == nullptr ? std::numeric_limits<std::size_t>::max()
                                               : settings_.budget->largest() / internal::unannouncedDivisor}
{
}

auto InstancePool::send(const mesh::Request &request, const bool idempotent, Finished finished) -> std::uint64_t
{
    auto connection = takeIdle(idempotent ? settings_.idleTime : settings_.nonIdempotentIdleTime);
    if (connection == 0) {
        connection = open();
    }
    auto &pooled = connections_.at(connection);
    pooled.request = ++lastRequest_;
    pooled.finished = std::move(finished);
    requests_.emplace(pooled.request, connection);
    pooled.connection->send(request);
    return pooled.request;
}

auto InstancePool::cancel(const std::uint64_t id) -> void
{
    if (const auto found = requests_.find(id); found != requests_.end()) {
        close(found->second);
    }
}

auto InstancePool::isAwaitingRoom(const std::uint64_t id) const -> bool
{
    const auto found = requests_.find(id);
    return found != requests_.end() && connections_.at(found->second).connection->isAwaitingRoom();
}

auto InstancePool::reset() -> void
{
    while (!idle_.empty()) {
        close(idle_.back());
    }
}

auto InstancePool::open() -> std::uint64_t
{
    const auto id = ++lastConnection_;
    HttpConnection::Settings settings;
    settings.echoField = settings_.echoField;
    settings.budget = settings_.budget;
    settings.unannouncedBudget = &unannounced_;
    connections_[id].connection = std::make_unique<HttpConnection>(
        *loop_,
        to_,
        std::move(settings),
        HttpConnection::Hooks{[this, id](HttpConnection::Result result) { handleFinished(id, std::move(result)); },
                              [this, id] {
                                  close(id);
                              }});
    return id;
}

auto InstancePool::takeIdle(const Duration idleTime) -> std::uint64_t
{
    const auto now = loop_->now();
    while (!idle_.empty()) {
        const auto id = idle_.back();
        const auto &pooled = connections_.at(id);
        const auto keepAliveUntil = pooled.connection->keepAliveUntil();
        const auto isKeptAlive = !keepAliveUntil || now + settings_.keepAliveMargin < *keepAliveUntil;
        if (pooled.connection->isReusable() && isKeptAlive && now - pooled.idleSince < settings_.idleTime) {
            if (now - pooled.idleSince >= idleTime) {
                return 0;
            }
            idle_.pop_back();
            return id;
        }
        close(id);
    }
    return 0;
}

auto InstancePool::handleFinished(const std::uint64_t connection, HttpConnection::Result result) -> void
{
    auto &pooled = connections_.at(connection);
    const auto hook = std::move(pooled.finished);
    requests_.erase(pooled.request);
    pooled.request = 0;
    pooled.finished = nullptr;
    if (pooled.connection->isReusable()) {
        pooled.idleSince = loop_->now();
        idle_.push_back(connection);
    } else {
        close(connection);
    }
    hook(std::move(result));
}

auto InstancePool::close(const std::uint64_t connection) -> void
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    requests_.erase(found->second.request);
    std::erase(idle_, connection);
    found->second.connection->abandon();
    loop_->destroyLater(std::move(found->second.connection));
    connections_.erase(found);
}

} // namespace jasminelatch::sidecar
