#ifndef JASMINELATCH_MEMBERSHIP_ASSIGNER_HPP
#define JASMINELATCH_MEMBERSHIP_ASSIGNER_HPP

#include "cell.hpp"
#include "context.hpp"
#include "fleet.hpp"
#include "message.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace jasminelatch::membership::internal {

/*! @brief Tells each member of a cell its peers, the size of the fleet and the rights to contend for. */
class Assigner
{
public:
    explicit Assigner(const Context &context);

    /**
     * @brief Assigns rights anew when it is time to and the fleet or the wanted rights have changed.
     * @param fleet The fleet, always the same object.
     */
    auto tick(const Fleet &fleet) -> void;

    /**
     * @brief Builds the assignment of one member.
     * @param node The member.
     * @param cell Its cell.
     * @return Its assignment.
     */
    [[nodiscard]] auto assignment(const NodeAddress &node, const Cell &cell) const -> Assignment;

private:
    [[nodiscard]] auto wantedRights() const -> std::vector<LeaseName>;
    auto assign(const Fleet &fleet) -> void;

    const Context *context_;
    std::optional<TimePoint> assignedAt_;
    std::optional<std::uint64_t> refreshCount_; // Of the fleet that was last assigned to.
    std::vector<LeaseName> rights_; // In order.
    std::size_t fleetSize_{};
    std::map<NodeAddress, std::vector<Duty>> duties_;
};

/**
 * @brief Chooses the successor of a cell's holder among its members.
 * @param context Shared parts; its node is the holder.
 * @param right Right to the cell.
 * @param cell The cell.
 * @return The successor; nothing in a cell of one.
 */
[[nodiscard]] auto cellSuccessor(const Context &context, const LeaseName &right, const Cell &cell)
    -> std::optional<NodeAddress>;

} // namespace jasminelatch::membership::internal

#endif
