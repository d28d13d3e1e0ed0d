#include "count_tracker.hpp"

namespace jasminelatch::mesh {

auto CountTracker::update(const NodeReport &report, const Counts &counts) -> std::optional<Increments>
{
    const std::pair origin{report.incarnation, report.session};
    if (origin_ && origin < *origin_) {
        return std::nullopt;
    }
    Increments increments;
    if (origin_ != origin) {
        const auto isBaseline = !origin_ && report.kind == ReportKind::Relay;
        origin_ = origin;
        counts_.clear();
        isComplete_ = !isBaseline;
    }
    for (const auto &[name, count] : counts) {
        const auto [last, isFirst] = counts_.try_emplace(name, isComplete_ ? 0 : count);
        if (last->second != count || (isFirst && isComplete_)) {
            increments[name] = static_cast<double>(count) - static_cast<double>(last->second);
        }
        last->second = count;
    }
    isComplete_ = isComplete_ || report.isFull;
    return increments;
}

} // namespace jasminelatch::mesh
