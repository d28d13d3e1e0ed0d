#include "instance_pool.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::sidecar {

InstancePool::InstancePool(event::Loop &loop, event::Endpoint to, Settings settings)
    : loop_{&loop}
    , to_{std::move(to)}
    , settings_{std::move(settings)}
{
}

auto InstancePool::send(const mesh::Request &request, const bool idempotent, Finished finished) -> std::uint64_t
{
    auto connection = takeIdle(idempotent ? settings_.idleTime : settings_.nonIdempotentIdleTime);
    if (connection == 0) {
        connection = open();
    }
    auto &entry = connections_.at(connection);
    entry.request = ++lastRequest_;
    entry.finished = std::move(finished);
    requests_.emplace(entry.request, connection);
    entry.connection->send(request);
    return entry.request;
}

auto InstancePool::cancel(const std::uint64_t name) -> void
{
    if (const auto found = requests_.find(name); found != requests_.end()) {
        drop(found->second);
    }
}

auto InstancePool::reset() -> void
{
    while (!idle_.empty()) {
        drop(idle_.back());
    }
}

auto InstancePool::open() -> std::uint64_t
{
    const auto name = ++lastConnection_;
    HttpConnection::Settings settings;
    settings.echoField = settings_.echoField;
    settings.budget = settings_.budget;
    connections_[name].connection = std::make_unique<HttpConnection>(
        *loop_,
        to_,
        std::move(settings),
        HttpConnection::Hooks{[this, name](HttpConnection::Result result) { finished(name, std::move(result)); },
                              [this, name] {
                                  drop(name);
                              }});
    return name;
}

auto InstancePool::takeIdle(const Duration idleTime) -> std::uint64_t
{
    const auto now = loop_->now();
    while (!idle_.empty()) {
        const auto name = idle_.back();
        const auto &entry = connections_.at(name);
        const auto kept = entry.connection->keepAliveUntil();
        const auto stated = !kept || now + settings_.keepAliveMargin < *kept;
        if (entry.connection->isReusable() && stated && now - entry.idleSince < settings_.idleTime) {
            if (now - entry.idleSince >= idleTime) {
                return 0;
            }
            idle_.pop_back();
            return name;
        }
        drop(name);
    }
    return 0;
}

auto InstancePool::finished(const std::uint64_t connection, HttpConnection::Result result) -> void
{
    auto &entry = connections_.at(connection);
    const auto hook = std::move(entry.finished);
    requests_.erase(entry.request);
    entry.request = 0;
    entry.finished = nullptr;
    if (entry.connection->isReusable()) {
        entry.idleSince = loop_->now();
        idle_.push_back(connection);
    } else {
        drop(connection);
    }
    hook(std::move(result));
}

auto InstancePool::drop(const std::uint64_t connection) -> void
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
