#include "decision_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace jasminelatch::sidecar {

DecisionLog::DecisionLog(Settings settings, const Clock &clock, std::string node)
    : settings_{settings}
    , clock_{&clock}
    , node_{std::move(node)}
    , tokens_{settings.burst}
    , refilledAt_{clock.now()}
{
    const auto flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

auto DecisionLog::write(const std::string_view event, nlohmann::json fields) -> void
{
    const auto now = clock_->now();
    const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    tokens_ = std::min(tokens_ + elapsed * settings_.linesPerSecond, settings_.burst);
    if (tokens_ < 1.0) {
        ++dropped_;
        return;
    }
    tokens_ -= 1.0;
    const auto timeOfDay = std::chrono::system_clock::now().time_since_epoch();
    fields["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(timeOfDay).count();
    fields["node"] = node_;
    fields["event"] = event;
    if (dropped_ > 0) {
        fields["dropped_lines"] = dropped_;
    }
    const auto line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
    if (::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size())) {
        dropped_ = 0;
    } else {
        ++dropped_;
    }
}

} // namespace jasminelatch::sidecar
