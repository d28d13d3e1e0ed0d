#ifndef JASMINELATCH_MEMBERSHIP_CELL_HPP
#define JASMINELATCH_MEMBERSHIP_CELL_HPP

#include "cell_record.hpp"
#include "context.hpp"
#include "message.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace jasminelatch::membership::internal {

/*! @brief One member as the holder of its cell knows it. */
struct CellMember {
    MemberRecord record; /*!< What the cell record says about it. */
    ContentVersion self{}; /*!< Version of its last report; zero before one. */
    std::uint64_t sequence{}; /*!< Of its last heartbeat. */
    std::vector<ServiceName> services; /*!< Services it follows, in order. */
    TimePoint heard; /*!< Time of its last heartbeat; later than now during a grace. */
};

/*! @brief How a cell took a heartbeat. */
enum class HeartbeatResult : std::uint8_t {
    Accepted, /*!< The member is known and heard. */
    NeedsReport, /*!< The sender must report before it can be a member. */
    Full, /*!< There is no room for the sender. */
    WrongCell, /*!< The sender reports to another cell. */
    Stale /*!< Late or doubled, or from a node that left. */
};

/*! @brief Members of one cell, kept by its holder. */
class Cell
{
public:
    Cell(const Context &context, LeaseName name);

    /**
     * @brief Takes a heartbeat.
     * @param from Sender.
     * @param heartbeat The heartbeat.
     * @return How it was taken.
     */
    auto hear(const NodeAddress &from, const Heartbeat &heartbeat) -> HeartbeatResult;

    /**
     * @brief Removes a member that leaves and refuses its late heartbeats from then on.
     * @param node The member.
     * @param incarnation Incarnation that leaves.
     * @return True when it was listed.
     */
    auto depart(const NodeAddress &node, std::uint64_t incarnation) -> bool;

    /*! @brief Sets the entry of the holder itself. */
    auto setSelf(const MemberRecord &record) -> void;

    /**
     * @brief Merges a record that another holder wrote; members found there get a grace.
     * @param record The record.
     * @param since Members not heard since then and not in the record are dropped.
     * @return Members that were not listed before.
     */
    auto merge(const CellRecord &record, TimePoint since) -> std::vector<NodeAddress>;

    /*! @brief Gives every member a grace. */
    auto excuse() -> void;

    /*! @brief Ignores a time during which this process did not run. */
    auto skip(Duration pause) -> void;

    /*! @brief Drops members that are silent for too long. */
    auto expire() -> void;

    /*! @brief Finds a member; null when it is not listed. */
    [[nodiscard]] auto find(const NodeAddress &node) const -> const CellMember *;

    /*! @brief Returns all members by address. */
    [[nodiscard]] auto members() const -> const std::map<NodeAddress, CellMember> & { return members_; }

    /*! @brief Returns the member records in order of address. */
    [[nodiscard]] auto records() const -> std::vector<MemberRecord>;

    /*! @brief Returns a number that grows with every change of a member record. */
    [[nodiscard]] auto changeCount() const -> std::uint64_t { return changes_; }

private:
    struct Departure {
        std::uint64_t incarnation{};
        TimePoint at;
    };

    [[nodiscard]] auto isDeparted(const NodeAddress &node, std::uint64_t incarnation) const -> bool;
    [[nodiscard]] auto silenceLimit(TimePoint now) const -> Duration;
    auto admit(const NodeAddress &from, const Heartbeat &heartbeat) -> HeartbeatResult;
    auto update(CellMember &member, const Heartbeat &heartbeat) -> void;
    auto forgetDepartures(TimePoint now) -> void;

    const Context *context_;
    LeaseName name_;
    std::map<NodeAddress, CellMember> members_;
    std::map<NodeAddress, Departure> departures_;
    std::uint64_t changes_{};
};

} // namespace jasminelatch::membership::internal

#endif
