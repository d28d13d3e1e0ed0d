#ifndef JASMINELATCH_MEMBERSHIP_FLEET_HPP
#define JASMINELATCH_MEMBERSHIP_FLEET_HPP

#include "cell_record.hpp"
#include "contender.hpp"
#include "message.hpp"

#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace jasminelatch::membership {

/*! @brief One cell as its record shows it. */
struct FleetCell {
    std::vector<MemberRecord> members; /*!< In order of node address. */
    store::Revision revision{}; /*!< Store revision of the record; zero when it was not read from the store. */
};

/*! @brief What one refresh of the fleet changed. */
struct FleetChanges {
    std::vector<ServiceName> services; /*!< Services whose endpoints differ now. */
    bool directory{}; /*!< The directory differs now. */

    [[nodiscard]] auto empty() const -> bool { return services.empty() && !directory; }
};

/**
 * @brief All cells with their members, as the holder of a cell knows them.
 *
 * A node that several cells list counts once, by its latest incarnation and join. When several nodes say that they
 * hold a right, the one that said so last is believed.
 */
class Fleet
{
public:
    /**
     * @brief Sets the members of a cell.
     * @param cell The cell.
     * @param value Its present members.
     */
    auto setCell(const LeaseName &cell, FleetCell value) -> void;

    /**
     * @brief Forgets a cell.
     * @param cell The cell.
     */
    auto removeCell(const LeaseName &cell) -> void;

    /**
     * @brief Brings services and directory up to date with the cells.
     * @return What differs from the last refresh.
     */
    auto refresh() -> FleetChanges;

    /**
     * @brief Lists the endpoints of a service.
     * @param service The service.
     * @return Endpoints in order of address.
     */
    [[nodiscard]] auto endpoints(const ServiceName &service) const -> std::span<const Endpoint>;

    /**
     * @brief Returns the version of a service's endpoints.
     * @param service The service; it may have none.
     * @return The version.
     */
    [[nodiscard]] auto version(const ServiceName &service) const -> ContentVersion;

    /*! @brief Returns the holders of all rights. */
    [[nodiscard]] auto directory() const -> const Directory & { return directory_; }

    /*! @brief Returns every node that may take on rights: those that do not drain. */
    [[nodiscard]] auto candidates() const -> std::span<const Candidate> { return candidates_; }

    /*! @brief Returns every cell by name. */
    [[nodiscard]] auto cells() const -> const std::map<LeaseName, FleetCell> & { return cells_; }

    /*! @brief Returns the number of nodes. */
    [[nodiscard]] auto size() const -> std::size_t { return size_; }

    /*! @brief Counts the refreshes; what this object returns stays the same while the count does. */
    [[nodiscard]] auto refreshCount() const -> std::uint64_t { return refreshCount_; }

private:
    using Nodes = std::map<NodeAddress, const MemberRecord *>;
    using Claim = std::pair<LeaseName, NodeAddress>;

    [[nodiscard]] auto latestByNode() const -> Nodes;
    auto refreshServices(const Nodes &nodes) -> std::vector<ServiceName>;
    auto refreshDirectory() -> bool;
    auto refreshClaims(const Nodes &nodes) -> void;
    auto refreshCandidates(const Nodes &nodes) -> void;

    std::map<LeaseName, FleetCell> cells_;
    std::map<ServiceName, ServiceView> services_;
    std::map<Claim, std::uint64_t> claims_;
    std::uint64_t claimCount_{};
    std::uint64_t refreshCount_{};
    std::vector<Candidate> candidates_;
    Directory directory_;
    std::size_t size_{};
};

} // namespace jasminelatch::membership

#endif
