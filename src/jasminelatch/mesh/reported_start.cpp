#include "reported_start.hpp"

namespace jasminelatch::mesh {

ReportedStart::ReportedStart(const Settings settings)
    : settings_{settings}
{
}

auto ReportedStart::record(const InstanceReport &report, const TimePoint now) -> void
{
    if (reports_ == 0 || report.id != last_.id || report.startTimeMs != last_.startTimeMs) {
        firstAt_ = now;
        reports_ = 0;
    } else if (report.sequence <= last_.sequence) {
        return;
    }
    last_ = report;
    lastAt_ = now;
    ++reports_;
}

auto ReportedStart::isRunning(const InstanceReport &report) const -> bool
{
    return report.id == last_.id && report.startTimeMs == last_.startTimeMs && reports_ >= settings_.minReports
        && lastAt_ - firstAt_ >= settings_.minSpan;
}

} // namespace jasminelatch::mesh
