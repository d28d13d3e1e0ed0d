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
 * @brief Finds what is new in the counts that one source tells again and again.
 *
 * Load pattern: sources restart, are heard for the first time long after their start, and leave unchanged counts out.
 * What a relay counted before it was first heard is in the past of the receiver; a later session counts from zero.
 */
class CountTracker
{
public:
    /*! @brief New counts by name; negative where requests were given back. */
    using Increments = std::map<std::string, double>;

    /**
     * @brief Takes the counts of a report.
     * @param report Report that they belong to.
     * @param counts Its counts.
     * @return What is new, or nothing when the report is of an earlier session.
     */
    auto update(const NodeReport &report, const Counts &counts) -> std::optional<Increments>;

private:
    std::optional<std::pair<std::uint64_t, std::uint64_t>> origin_; /*!< Incarnation and session. */
    bool isComplete_{}; /*!< Whether counts that were never told are last to have been zero. */
    Counts counts_;
};

} // namespace jasminelatch::mesh

#endif
