#include "instance_record.hpp"

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Tells whether two reports stem from one start; a report without a start counts for any of its id. */
auto sameStart(const InstanceReport &left, const InstanceReport &right) -> bool
{
    return left.id == right.id
        && (left.startTimeMs == right.startTimeMs || left.startTimeMs == 0 || right.startTimeMs == 0);
}

} // namespace internal

auto InstanceRecord::apply(const InstanceReport &report) -> bool
{
    if (isStale(report)) {
        return false;
    }
    const auto sameStart = internal::sameStart(report, report_);
    const auto isDeparture = report.state == InstanceState::Gone;
    if (sameStart && isDeparture) {
        // A notice of departure carries no sequence or slots of its own.
        report_.state = report.state;
        return true;
    }
    if (isDeparture && !report_.id.empty() && report.id != report_.id) {
        return false;
    }
    const auto previousState = sameStart ? report_.state : InstanceState::Ready;
    report_ = report;
    if (previousState > report_.state) {
        // Leaving is final for one start.
        report_.state = previousState;
    }
    return true;
}

auto InstanceRecord::isReady() const -> bool
{
    return !report_.id.empty() && report_.state == InstanceState::Ready;
}

auto InstanceRecord::report() const noexcept -> const InstanceReport &
{
    return report_;
}

auto InstanceRecord::isStale(const InstanceReport &report) const -> bool
{
    if (internal::sameStart(report, report_)) {
        return report.state != InstanceState::Gone && report.sequence <= report_.sequence;
    }
    return report.startTimeMs < report_.startTimeMs;
}

} // namespace jasminelatch::mesh
