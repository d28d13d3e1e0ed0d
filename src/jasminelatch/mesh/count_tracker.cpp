#include "count_tracker.hpp"

namespace jasminelatch::mesh {

auto CountTracker::take(const NodeReport &report, const Counts &counts) -> std::optional<News>
{
    const std::pair origin{report.incarnation, report.session};
    if (origin_ && origin < *origin_) {
        return std::nullopt;
    }
    News news;
    if (origin_ != origin) {
        const auto isPast = !origin_ && report.kind == ReportKind::Relay;
        origin_ = origin;
        counts_.clear();
        isComplete_ = !isPast;
    }
    for (const auto &[name, count] : counts) {
        const auto [known, isFirst] = counts_.try_emplace(name, isComplete_ ? 0 : count);
        if (known->second != count || (isFirst && isComplete_)) {
            news[name] = static_cast<double>(count) - static_cast<double>(known->second);
        }
        known->second = count;
    }
    isComplete_ = isComplete_ || report.isFull;
    return news;
}

} // namespace jasminelatch::mesh
