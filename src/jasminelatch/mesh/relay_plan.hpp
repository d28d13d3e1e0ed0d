#ifndef JASMINELATCH_MESH_RELAY_PLAN_HPP
#define JASMINELATCH_MESH_RELAY_PLAN_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Live node that can be chosen as a relay. */
struct RelayCandidate {
    std::string_view name; /*!< Name of the VM. */
    std::string_view domain; /*!< Failure domain. */
};

/*! @brief Limits on the number of relays. */
struct RelaySettings {
    std::size_t fullMeshLimit{16}; /*!< Largest fleet in which every node reports to every other. */
    std::size_t minPerDomain{2}; /*!< Minimum relays per failure domain, so that one may fail. */
};

/*! @brief Relays of the fleet and this node's role. */
struct RelayPlan {
    std::vector<std::string> relays; /*!< All relays, sorted by name. */
    bool isRelay{}; /*!< Whether this node is a relay. */
    std::string relay; /*!< Relay that this node reports to; empty if it is a relay itself. */
    std::size_t peersPerRelay{}; /*!< Number of nodes that a relay receives reports from. */
};

/*! @brief State of the node that computes the plan. */
struct RelayPlanContext {
    std::string_view name; /*!< Name of its VM. */
    std::string_view relay; /*!< Relay that it reports to now; kept while that node remains a relay. */
    std::size_t fleetSize{}; /*!< Number of membership records; brief silence of nodes does not change it. */
};

/**
 * @brief Chooses the first nodes of each failure domain by name as relays, so that all nodes agree without
 * coordination.
 *
 * Load pattern: with full-mesh reporting, either the cost per node grows with the fleet size or reports become stale.
 * With about the square root of half the nodes as relays, a relay receives reports from about half as many relays as
 * leaves.
 * @param live Nodes presumed alive, including the planning one, sorted by name.
 * @param own The planning node.
 * @param settings Limits on the number of relays.
 * @return Relays of all failure domains and the planning node's role.
 */
[[nodiscard]] auto planRelays(std::span<const RelayCandidate> live,
                              const RelayPlanContext &own,
                              const RelaySettings &settings) -> RelayPlan;

} // namespace jasminelatch::mesh

#endif
