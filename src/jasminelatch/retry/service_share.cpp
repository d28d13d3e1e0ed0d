#include "service_share.hpp"

#include <algorithm>

namespace jasminelatch::retry {

ServiceShare::ServiceShare(const Settings &settings)
    : settings_{settings}
{
}

auto ServiceShare::dispatched(const ServiceName &service, const TimePoint now) -> void
{
    auto &level = levelOf(service, now);
    level.tokens = std::min(settings_.serviceBurst, level.tokens + settings_.serviceShare);
}

auto ServiceShare::take(const ServiceName &service, const TimePoint now) -> bool
{
    auto &level = levelOf(service, now);
    if (level.tokens < 1.0) {
        return false;
    }
    level.tokens -= 1.0;
    return true;
}

auto ServiceShare::giveBack(const ServiceName &service) -> void
{
    const auto position = levels_.find(service);
    if (position != levels_.end()) {
        position->second.tokens = std::min(settings_.serviceBurst, position->second.tokens + 1.0);
    }
}

auto ServiceShare::levelOf(const ServiceName &service, const TimePoint now) -> Level &
{
    const auto [position, isNew] = levels_.try_emplace(service, Level{settings_.serviceBurst, now});
    auto &level = position->second;
    const std::chrono::duration<double> elapsed{now - level.updated};
    level.tokens = std::min(settings_.serviceBurst, level.tokens + elapsed.count() * settings_.serviceMinimum);
    level.updated = now;
    return level;
}

} // namespace jasminelatch::retry
