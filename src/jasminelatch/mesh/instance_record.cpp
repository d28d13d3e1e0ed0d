#include "instance_record.hpp"

#include <algorithm>

namespace jasminelatch::mesh {

auto isSameStart(const std::uint64_t left, const std::uint64_t right) -> bool
{
    return left == right || left == 0 || right == 0;
}

auto isSameStart(const InstanceReport &left, const InstanceReport &right) -> bool
{
    return left.id == right.id && isSameStart(left.startTimeMs, right.startTimeMs);
}

auto InstanceRecord::apply(const InstanceReport &report, const bool isRunning) -> bool
{
    if (isStale(report, isRunning)) {
        return false;
    }
    const auto sameStart = isSameStart(report, report_);
    const auto isDeregistration = report.state == InstanceState::Gone;
    if (sameStart && isDeregistration) {
        // A deregistration carries no sequence number and no slots.
        report_.state = report.state;
        report_.startTimeMs = std::max(report_.startTimeMs, report.startTimeMs);
        return true;
    }
    if (isDeregistration && !report_.id.empty() && report.id != report_.id) {
        return false;
    }
    const auto previousState = sameStart ? report_.state : InstanceState::Ready;
    report_ = report;
    if (previousState > report_.state) {
        // Within one process start, an instance never returns to an earlier state.
        report_.state = previousState;
    }
    return true;
}

auto InstanceRecord::markLeaving() -> void
{
    report_.state = std::max(report_.state, InstanceState::Draining);
}

auto InstanceRecord::isReady() const -> bool
{
    return !report_.id.empty() && report_.state == InstanceState::Ready;
}

auto InstanceRecord::report() const noexcept -> const InstanceReport &
{
    return report_;
}

auto InstanceRecord::isStale(const InstanceReport &report, const bool isRunning) const -> bool
{
    if (isSameStart(report, report_)) {
        return report.state != InstanceState::Gone && report.sequence <= report_.sequence;
    }
    return !isRunning && report.startTimeMs < report_.startTimeMs;
}

} // namespace jasminelatch::mesh
