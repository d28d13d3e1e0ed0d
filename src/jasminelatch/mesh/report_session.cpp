#include "report_session.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::mesh {

namespace internal {

auto subtract(const Counts &counts, const Counts &before) -> Counts
{
    Counts difference;
    for (const auto &[name, count] : counts) {
        const auto known = before.find(name);
        // A count decreases when requests are refunded.
        difference[name] = count - std::min(count, known == before.end() ? 0 : known->second);
    }
    return difference;
}

/*! @brief Removes the counts that equal those sent last and records the others as sent. */
auto removeUnchanged(Counts &counts, Counts &sentCounts) -> void
{
    std::erase_if(counts, [&](const auto &entry) {
        const auto [known, isNew] = sentCounts.try_emplace(entry.first, entry.second);
        return !isNew && std::exchange(known->second, entry.second) == entry.second;
    });
}

} // namespace internal

auto ReportDeltaFilter::removeUnchanged(NodeReport &report) -> void
{
    internal::removeUnchanged(report.admitted, admitted_);
    internal::removeUnchanged(report.offered, offered_);
    if (report.member && std::exchange(sentVersion_, report.member->version) == report.member->version) {
        report.member.reset();
    }
}

auto ReportDeltaFilter::resetCounts() -> void
{
    admitted_.clear();
    offered_.clear();
}

auto ReportSession::begin(const std::uint64_t session) -> void
{
    session_ = session;
    base_ = counted_;
    isAwaitingAck_ = false;
    deltaFilter_ = {};
}

auto ReportSession::next(NodeReport own) -> NodeReport
{
    sent_ = own;
    isAwaitingAck_ = true;
    auto report = std::move(own);
    report.kind = ReportKind::Own;
    report.session = session_;
    report.admitted = internal::subtract(report.admitted, base_.admitted);
    report.offered = internal::subtract(report.offered, base_.offered);
    deltaFilter_.removeUnchanged(report);
    return report;
}

auto ReportSession::sendFailed() -> void
{
    // It is unknown which reports the relay received, so that all counts are sent again.
    begin(session_);
}

auto ReportSession::acknowledged() -> void
{
    if (std::exchange(isAwaitingAck_, false)) {
        counted_ = std::move(sent_);
    }
}

auto ReportSession::countLocally(const NodeReport &own) -> void
{
    counted_ = own;
    isAwaitingAck_ = false;
}

auto ReportSession::isAwaitingAck() const -> bool
{
    return isAwaitingAck_;
}

auto ReportSession::countedReport() const -> const NodeReport &
{
    return counted_;
}

} // namespace jasminelatch::mesh
