#ifndef JASMINELATCH_MESH_REPORT_SESSION_HPP
#define JASMINELATCH_MESH_REPORT_SESSION_HPP

#include "node_report.hpp"

#include <cstdint>

namespace jasminelatch::mesh {

/**
 * @brief Reduces each report to the counts and the record that changed since the previous one.
 */
class ReportDeltaFilter
{
public:
    /**
     * @brief Removes unchanged entries and records the remaining ones as sent.
     * @param report Report with all counts and the record; reduced in place.
     */
    auto removeUnchanged(NodeReport &report) -> void;

    /*! @brief Makes the next report contain all counts; the record stays known as sent. */
    auto resetCounts() -> void;

private:
    std::uint64_t sentVersion_{}; /*!< Version of the record sent last. */
    Counts admitted_;
    Counts offered_;
};

/**
 * @brief Tracks which counts the relay has acknowledged, so that no request is lost or counted twice on a relay change.
 *
 * Load pattern: relays crash, restart and get partitioned while accounts are at their caps. The counts of a session
 * start at zero from the last report that an earlier relay acknowledged. A report that was received but not
 * acknowledged is counted twice, which errs on the side of admitting fewer requests.
 */
class ReportSession
{
public:
    /*! @brief Creates a session of a node that has not reported yet. */
    ReportSession() = default;

    /**
     * @brief Starts a session with a relay; its first report contains all counts and the record.
     * @param session Unix time in ms; later than that of the previous session.
     */
    auto begin(std::uint64_t session) -> void;

    /**
     * @brief Returns the next report; call only after the previous one was acknowledged or failed.
     * @param own Full report of this node.
     * @return Counts relative to the start of the session, without those unchanged since the last report.
     */
    [[nodiscard]] auto next(NodeReport own) -> NodeReport;

    /*! @brief Handles a report that could not be sent; the next one contains all counts and the record. */
    auto sendFailed() -> void;

    /*! @brief Handles the acknowledgement of the last report; does nothing if none is outstanding. */
    auto acknowledged() -> void;

    /**
     * @brief Records that this node, as a relay, counts its own requests.
     * @param own Full report of this node.
     */
    auto countLocally(const NodeReport &own) -> void;

    /*! @brief Returns whether the last report is still unacknowledged. */
    [[nodiscard]] auto isAwaitingAck() const -> bool;

    /*! @brief Returns the newest report whose counts (since this node's start) are included in a relay's sums. */
    [[nodiscard]] auto countedReport() const -> const NodeReport &;

private:
    std::uint64_t session_{};
    NodeReport counted_;
    NodeReport base_; /*!< `counted_` at the start of the session. */
    NodeReport sent_; /*!< Last report sent, with counts from this node's start on. */
    bool isAwaitingAck_{};
    ReportDeltaFilter deltaFilter_;
};

} // namespace jasminelatch::mesh

#endif
