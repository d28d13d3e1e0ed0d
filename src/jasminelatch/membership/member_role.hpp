#ifndef JASMINELATCH_MEMBERSHIP_MEMBER_ROLE_HPP
#define JASMINELATCH_MEMBERSHIP_MEMBER_ROLE_HPP

#include "cell_record.hpp"
#include "context.hpp"
#include "locator.hpp"
#include "message.hpp"
#include "view.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace jasminelatch::membership::internal {

/*! @brief What every node does: finds a cell, sends heartbeats to its holder and keeps what it hears. */
class MemberRole
{
public:
    MemberRole(const Context &context, Endpoint self);

    /*! @brief Starts to look for a cell. */
    auto start() -> void;

    /**
     * @brief Does all timed work of a member.
     * @param isHolder This node holds its cell.
     */
    auto tick(bool isHolder) -> void;

    /*! @brief Ignores a time during which this process did not run. */
    auto skip(Duration pause) -> void;

    /*! @brief Changes the endpoint and tells it with the next heartbeats. */
    auto setEndpoint(const Endpoint &endpoint, bool now) -> void;

    /*! @brief Changes the rights that this node says it holds. */
    auto setRights(std::vector<LeaseName> rights) -> void;

    /*! @brief Follows a service. */
    auto subscribe(const ServiceName &service) -> void;

    /*! @brief Starts to take leave. */
    auto leave() -> void;

    /*! @brief Ends the leave. */
    auto finishLeave() -> void { left_ = true; }

    auto receive(const NodeAddress &from, const HeartbeatAnswer &message) -> void;
    auto receive(const NodeAddress &from, const Push &message) -> void;
    auto receive(const NodeAddress &from, const Leaving &message) -> void;
    auto receive(const NodeAddress &from, const LeavingAnswer &message) -> void;
    auto receive(const NodeAddress &from, const Redirect &message) -> void;
    auto receive(const NodeAddress &from, const Announcement &message) -> void;
    auto receive(const NodeAddress &from, const Probe &message) -> void;

    /*! @brief Applies changes to the view and calls the notifications. */
    auto apply(const Changes &changes) -> void;

    /*! @brief Returns the entry of this node for the cell record. */
    [[nodiscard]] auto record() const -> MemberRecord;

    [[nodiscard]] auto endpoint() const -> const Endpoint & { return self_; }
    [[nodiscard]] auto view() const -> const View & { return view_; }
    [[nodiscard]] auto locator() const -> const Locator & { return locator_; }
    [[nodiscard]] auto isStarted() const -> bool { return started_; }
    [[nodiscard]] auto isLeaving() const -> bool { return leavingSince_.has_value(); }
    [[nodiscard]] auto leavingSince() const -> std::optional<TimePoint> { return leavingSince_; }
    [[nodiscard]] auto hasLeft() const -> bool { return left_; }
    [[nodiscard]] auto hasJoined() const -> bool { return joined_; }
    [[nodiscard]] auto isSilent() const -> bool;

private:
    /*! @brief Last message accepted from a holder, to refuse late and doubled ones. */
    struct Heard {
        NodeAddress holder;
        std::uint64_t incarnation{};
        std::uint64_t sequence{};
    };

    template<typename FromHolder>
    auto accept(const NodeAddress &from, const FromHolder &message) -> bool;
    auto notify(const View::Touched &touched) -> void;
    auto abandonDeadCell(TimePoint now) -> void;
    auto noteCell(TimePoint now) -> void;
    auto sendHeartbeat(TimePoint now) -> void;
    auto sendLeaving(TimePoint now) -> void;
    auto reportSoon() -> void;
    [[nodiscard]] auto selfVersion() const -> ContentVersion;

    const Context *context_;
    Endpoint self_;
    std::vector<LeaseName> rights_;
    View view_;
    Locator locator_;
    bool started_{};
    bool joined_{};
    bool left_{};
    std::optional<TimePoint> leavingSince_;
    std::optional<LeaseName> lastCell_;
    std::optional<NodeAddress> lastHolder_;
    Heard heard_;
    TimePoint heardAt_;
    TimePoint cellSince_;
    TimePoint nextHeartbeat_;
    TimePoint nextLeaving_;
    std::uint64_t sequence_{};
    std::uint32_t reportsDue_{};
};

} // namespace jasminelatch::membership::internal

#endif
