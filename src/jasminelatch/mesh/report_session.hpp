#ifndef JASMINELATCH_MESH_REPORT_SESSION_HPP
#define JASMINELATCH_MESH_REPORT_SESSION_HPP

#include "node_report.hpp"

#include <cstdint>

namespace jasminelatch::mesh {

/**
 * @brief Leaves out of each report what the one before has sent.
 */
class ReportDeltaFilter
{
public:
    /**
     * @brief Removes what is unchanged and notes the rest as sent.
     * @param report The report, with all counts and the record.
     */
    auto removeUnchanged(NodeReport &report) -> void;

    /*! @brief Forgets which counts were sent. */
    auto resetCounts() -> void;

private:
    std::uint64_t sentVersion_{}; /*!< Version of the record that was sent last. */
    Counts admitted_;
    Counts offered_;
};

/**
 * @brief What a node has sent its relay, so that no request is left out or counted twice when it changes its
 * relay.
 *
 * Load pattern: relays die, restart and are cut off while accounts are at their caps. The counts of a session begin
 * with zero at what an earlier relay has acknowledged. A report that was received but not acknowledged is counted
 * twice, which errs on the side of fewer requests.
 */
class ReportSession
{
public:
    /*! @brief Makes a session of a node that has sent nobody anything. */
    ReportSession() = default;

    /**
     * @brief Begins to report to a relay.
     * @param session Time of day in ms; later than that of the session before.
     */
    auto begin(std::uint64_t session) -> void;

    /**
     * @brief Returns the next report; the one before has been acknowledged.
     * @param own Whole report of this node.
     * @return What has changed since the last one of this session.
     */
    [[nodiscard]] auto next(NodeReport own) -> NodeReport;

    /*! @brief Notes that the last report could not be sent. */
    auto sendFailed() -> void;

    /*! @brief Notes that the relay has the last report. */
    auto acknowledged() -> void;

    /**
     * @brief Notes that this node counts its requests itself, as a relay.
     * @param own Whole report of this node.
     */
    auto countLocally(const NodeReport &own) -> void;

    /*! @brief Tells whether the last report isn't acknowledged yet. */
    [[nodiscard]] auto isAwaitingAck() const -> bool;

    /*! @brief Returns the counts since this node's start up to which its requests are counted by relays. */
    [[nodiscard]] auto countedReport() const -> const NodeReport &;

private:
    std::uint64_t session_{};
    NodeReport counted_;
    NodeReport base_; /*!< The same when the session began. */
    NodeReport sent_; /*!< Last report, with the counts since this node's start. */
    bool isAwaitingAck_{};
    ReportDeltaFilter deltaFilter_;
};

} // namespace jasminelatch::mesh

#endif
