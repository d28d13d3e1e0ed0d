#ifndef JASMINELATCH_MEMBERSHIP_PUSHER_HPP
#define JASMINELATCH_MEMBERSHIP_PUSHER_HPP

#include "cell.hpp"
#include "context.hpp"
#include "fleet.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <cstdint>
#include <map>
#include <set>

namespace jasminelatch::membership::internal {

/**
 * @brief Tells the members of a cell at once what changed for them, and repeats what they did not acknowledge.
 *
 * After a few repeats it leaves the rest to the versions that heartbeats carry.
 */
class Pusher
{
public:
    explicit Pusher(const Context &context);

    /**
     * @brief Notes changes for the members that they concern.
     * @param changes What changed in the fleet.
     * @param cell The cell.
     */
    auto add(const FleetChanges &changes, const Cell &cell) -> void;

    /**
     * @brief Notes that a member is up to date.
     * @param node The member.
     */
    auto acknowledge(const NodeAddress &node) -> void { debts_.erase(node); }

    /**
     * @brief Sends what is due.
     * @param fleet The fleet.
     * @param sequence Counter of the holder's messages.
     */
    auto tick(const Fleet &fleet, std::uint64_t &sequence) -> void;

private:
    /*! @brief What a member has not acknowledged yet. */
    struct Debt {
        std::set<ServiceName> services;
        bool directory{};
        std::uint32_t sent{};
        TimePoint due;
    };

    auto send(const NodeAddress &node, const Debt &debt, const Fleet &fleet, std::uint64_t &sequence) const -> void;

    const Context *context_;
    std::map<NodeAddress, Debt> debts_;
    TimePoint nextPush_;
};

} // namespace jasminelatch::membership::internal

#endif
