#include "start_history.hpp"

#include <algorithm>

namespace jasminelatch::mesh {

StartHistory::StartHistory(const std::size_t maxCount)
    : maxCount_{maxCount}
{
}

auto StartHistory::record(const InstanceReport &report) -> void
{
    const Start start{report.id, report.startTimeMs};
    if (std::ranges::find(starts_, start) != starts_.end()) {
        return;
    }
    starts_.push_back(start);
    if (starts_.size() > maxCount_) {
        starts_.erase(starts_.begin());
    }
}

auto StartHistory::precedes(const InstanceReport &report, const InstanceReport &other) const -> bool
{
    const auto first = std::ranges::find(starts_, Start{report.id, report.startTimeMs});
    const auto second = std::ranges::find(starts_, Start{other.id, other.startTimeMs});
    return second != starts_.end() && first < second;
}

} // namespace jasminelatch::mesh
