#ifndef JASMINELATCH_MESH_COUNT_TRACKER_HPP
#define JASMINELATCH_MESH_COUNT_TRACKER_HPP

#include "node_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace jasminelatch::mesh {

/**
 * @brief Computes the increments between the cumulative counts that one source reports.
 *
 * Load pattern: sources restart, may first report long after they started, and omit unchanged counts. The first counts
 * of a relay are a baseline, since they include requests from before the receiver knew it; a later session counts from
 * zero.
 */
class CountTracker
{
public:
    /*! @brief Increments by name; negative if requests were refunded. */
    using Increments = std::map<std::string, double>;

    /**
     * @brief Replaces the counts of the source and returns what has been added.
     * @param report Report that contains the counts; identifies incarnation and session.
     * @param counts Cumulative counts; unchanged ones may be missing.
     * @return Increments since the previous report, or nothing if the report belongs to an earlier session.
     */
    auto update(const NodeReport &report, const Counts &counts) -> std::optional<Increments>;

private:
    std::optional<std::pair<std::uint64_t, std::uint64_t>> origin_; /*!< Incarnation and session. */
    bool isComplete_{}; /*!< Whether counts that were never reported are known to be zero. */
    Counts counts_;
};

} // namespace jasminelatch::mesh

#endif
