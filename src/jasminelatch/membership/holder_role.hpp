#ifndef JASMINELATCH_MEMBERSHIP_HOLDER_ROLE_HPP
#define JASMINELATCH_MEMBERSHIP_HOLDER_ROLE_HPP

#include "assigner.hpp"
#include "cell.hpp"
#include "context.hpp"
#include "fleet.hpp"
#include "fleet_watch.hpp"
#include "inspector.hpp"
#include "message.hpp"
#include "pusher.hpp"
#include "record_writer.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace jasminelatch::membership::internal {

/*! @brief What the holder of a cell does for its members and for the other cells. */
class HolderRole
{
public:
    HolderRole(const Context &context, LeaseName cell);

    /**
     * @brief Does all timed work of a holder.
     * @param self Entry of the holder itself; nothing once it leaves.
     */
    auto tick(const std::optional<MemberRecord> &self) -> void;

    /*! @brief Takes up the work again after the right was lost for a while. */
    auto resume() -> void;

    /*! @brief Ignores a time during which this process did not run. */
    auto skip(Duration pause) -> void;

    /*! @brief Takes a heartbeat of a member. */
    auto receive(const NodeAddress &from, const Heartbeat &heartbeat) -> void;

    /*! @brief Takes the departure of a member. */
    auto receive(const NodeAddress &from, const Leaving &leaving) -> void;

    /*! @brief Takes the answer of a member of a suspect cell. */
    auto receive(const NodeAddress &from, const ProbeAnswer &answer) -> void;

    /**
     * @brief Lists what differs from the versions that a member has.
     * @param node The member.
     * @param services Services it follows with the versions it has.
     * @param directory Version of the directory it has.
     * @param assignment Version of the assignment it has.
     * @return Parts that differ; nothing before the fleet is known.
     */
    [[nodiscard]] auto changesFor(const NodeAddress &node,
                                  std::span<const ServiceVersion> services,
                                  ContentVersion directory,
                                  ContentVersion assignment) const -> Changes;

    /*! @brief Returns the right to the cell. */
    [[nodiscard]] auto cellName() const -> const LeaseName & { return name_; }

    /*! @brief Returns the fleet as far as it is known. */
    [[nodiscard]] auto fleet() const -> const Fleet & { return fleet_; }

    /*! @brief Returns the successor to suggest for the cell. */
    [[nodiscard]] auto successor() const -> std::optional<NodeAddress>;

    /*! @brief Tells whether the store lists the present members and nobody else. */
    [[nodiscard]] auto isSettled() const -> bool;

private:
    [[nodiscard]] auto isReady() const -> bool { return watch_.isLoaded() && writer_.isLoaded(); }
    [[nodiscard]] auto versionFor(const NodeAddress &node, const CellMember &member) const -> ContentVersion;
    auto handleWatch(const store::Answer &answer) -> void;
    auto handleOwnEntry(const store::Entry &entry) -> void;
    auto mergeRecord(const CellRecord &record) -> void;
    auto noteDrain(std::uint64_t before, const Endpoint &endpoint) -> void;
    auto answer(const NodeAddress &from, const Heartbeat &heartbeat, bool wantsReport) -> void;
    auto refreshFleet() -> void;

    const Context *context_;
    LeaseName name_;
    Cell cell_;
    Fleet fleet_;
    Assigner assigner_;
    RecordWriter writer_;
    FleetWatch watch_;
    Inspector inspector_;
    Pusher pusher_;
    TimePoint since_;
    std::uint64_t sequence_{};
    std::uint64_t published_{};
    bool stale_{true};
    bool urgent_{};
};

} // namespace jasminelatch::membership::internal

#endif
