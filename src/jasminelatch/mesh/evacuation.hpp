#ifndef JASMINELATCH_MESH_EVACUATION_HPP
#define JASMINELATCH_MESH_EVACUATION_HPP

#include <cstdint>
#include <set>
#include <string>

namespace jasminelatch::mesh {

/*! @brief Failure domains whose instances get no requests, as of a revision of the store. */
struct Evacuation {
    std::uint64_t era{}; /*!< Era of the store; revisions of different eras do not compare. */
    std::uint64_t revision{}; /*!< Revision of the store at which the set is complete. */
    std::set<std::string> domains; /*!< Names of the failure domains. */

    auto operator==(const Evacuation &) const -> bool = default;
};

/**
 * @brief Orders two sets that have reached a node on different ways.
 * @param left First set.
 * @param right Second set.
 * @return Whether `left` is of a later era, or of a higher revision of the same era.
 */
[[nodiscard]] auto isNewer(const Evacuation &left, const Evacuation &right) -> bool;

} // namespace jasminelatch::mesh

#endif
