#ifndef JASMINELATCH_MESH_RELAY_PLAN_HPP
#define JASMINELATCH_MESH_RELAY_PLAN_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Node that may relay reports. */
struct RelayCandidate {
    std::string_view name; /*!< Name of the VM. */
    std::string_view domain; /*!< Failure domain. */
};

/*! @brief Bounds of the choice of relays. */
struct RelaySettings {
    std::size_t fullMeshLimit{16}; /*!< Nodes up to which every node reports to every other. */
    std::size_t minPerDomain{2}; /*!< Relays of a failure domain, so that one may be lost. */
};

/*! @brief Which nodes relay, as one node sees it. */
struct RelayPlan {
    std::vector<std::string> relays; /*!< All relays, in order of names. */
    bool isRelay{}; /*!< Whether the node is one of them. */
    std::string relay; /*!< Where the node reports to; empty when it is a relay. */
    std::size_t peersPerRelay{}; /*!< Nodes that a relay hears reports of. */
};

/*! @brief The node that chooses. */
struct RelayPlanContext {
    std::string_view name; /*!< Name of its VM. */
    std::string_view relay; /*!< Relay that it reports to now; kept while it is one. */
    std::size_t fleetSize{}; /*!< Nodes that have a record: those that fall silent for a moment change no bounds. */
};

/**
 * @brief Chooses the relays: the first nodes of each failure domain in order of names, so that all nodes choose alike.
 *
 * Load pattern: reports of all to all cost each node more the larger the fleet is, or become the older. With about the
 * square root of half of the nodes as relays, a relay hears as many relays as half of its own nodes.
 * @param live Nodes that are believed to live, the choosing one included, in order of names.
 * @param own The node that chooses.
 * @param settings Bounds.
 * @return The plan.
 */
[[nodiscard]] auto planRelays(std::span<const RelayCandidate> live,
                              const RelayPlanContext &own,
                              const RelaySettings &settings) -> RelayPlan;

} // namespace jasminelatch::mesh

#endif
