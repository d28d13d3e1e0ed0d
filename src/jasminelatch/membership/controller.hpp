#ifndef JASMINELATCH_MEMBERSHIP_CONTROLLER_HPP
#define JASMINELATCH_MEMBERSHIP_CONTROLLER_HPP

#include "endpoint.hpp"
#include "hooks.hpp"
#include "message.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace jasminelatch::membership {

class Fleet;

namespace internal {
class HolderRole;
class MemberRole;
struct Context;
} // namespace internal

/*! @brief Where a node stands in the fleet. */
enum class Status : std::uint8_t {
    Stopped, /*!< Not started. */
    WaitingForStore, /*!< The store has not answered since the start: no cell is known. */
    Joining, /*!< Looks for a cell or for its holder. */
    Member, /*!< Hears from the holder of its cell. */
    Holder, /*!< Holds its cell. */
    Leaving, /*!< Takes leave of its cell. */
    Left /*!< Its cell no longer lists it. */
};

/**
 * @brief Returns the name of a status.
 * @param status The status.
 * @return Lower-case words.
 */
[[nodiscard]] auto statusName(Status status) -> std::string_view;

/**
 * @brief Keeps one node in a cell and tells it which endpoints, rights and peers there are.
 *
 * Members of a cell send heartbeats to its holder. The holder writes one record for the whole cell, follows the
 * records of all other cells and tells its members what concerns them. Everything known is kept until something newer
 * is heard: a store that is down removes nobody.
 */
class Controller
{
public:
    using Hooks = membership::Hooks;

    /**
     * @brief Creates a controller that does nothing before `start`.
     * @param settings Sizes and times.
     * @param self Endpoint to announce; its node address names this node.
     * @param incarnation Start of this process; higher than that of any earlier process at the address, for example
     * the time of the start in microseconds.
     * @param clock Clock of the runtime.
     * @param counters Receives the event counters.
     * @param hooks Ways to the outside; all but the notifications must be set.
     */
    Controller(Settings settings,
               Endpoint self,
               std::uint64_t incarnation,
               const Clock &clock,
               Counters &counters,
               Hooks hooks);
    Controller(const Controller &) = delete;
    auto operator=(const Controller &) -> Controller & = delete;
    ~Controller();

    /*! @brief Looks for a cell and joins it. */
    auto start() -> void;

    /*! @brief Does all timed work; to be called every 10 to 50 milliseconds. */
    auto tick() -> void;

    /**
     * @brief Takes a message of another node.
     * @param from Its sender.
     * @param message The message.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

    /**
     * @brief Changes the announced state and tells it at once.
     * @param state New state of the endpoint.
     */
    auto setState(EndpointState state) -> void;

    /**
     * @brief Changes the announced size; told with the next heartbeat.
     * @param slots Requests that the backend server can run at once.
     * @param connections Connections that it accepts.
     */
    auto setSlots(std::uint32_t slots, std::uint32_t connections) -> void;

    /**
     * @brief Follows the endpoints of a service from now on.
     * @param service A service that this node calls.
     */
    auto subscribe(const ServiceName &service) -> void;

    /**
     * @brief Changes the rights that this node says it holds.
     * @param rights All rights held, in any order.
     */
    auto setHeldRights(std::vector<LeaseName> rights) -> void;

    /*! @brief Tells holder and peers that this node goes; `status` then moves on to `Left`. */
    auto leave() -> void;

    /**
     * @brief Lists the known endpoints of a service.
     * @param service A service subscribed to.
     * @return Endpoints in order of address, draining ones included; valid until the next call that is not const.
     */
    [[nodiscard]] auto endpoints(const ServiceName &service) const -> std::span<const Endpoint>;

    /**
     * @brief Looks up the holder of a right.
     * @param right The right.
     * @return Last node known to hold it.
     */
    [[nodiscard]] auto holderOf(const LeaseName &right) const -> std::optional<NodeAddress>;

    /**
     * @brief Suggests a successor for a right that this node holds or should hold, its cell included.
     * @param right The right.
     * @return The successor; nothing when no other node is known.
     */
    [[nodiscard]] auto suggestedSuccessor(const LeaseName &right) const -> std::optional<NodeAddress>;

    /**
     * @brief Lists the rights that this node should contend for or keep; its cell is not among them.
     * @return Rights with suggested successors, in order.
     */
    [[nodiscard]] auto duties() const -> std::span<const Duty>;

    /**
     * @brief Lists the other members of the cell.
     * @return Addresses in order.
     */
    [[nodiscard]] auto peers() const -> std::span<const NodeAddress>;

    /**
     * @brief Returns the known number of nodes in the fleet.
     * @return At least one.
     */
    [[nodiscard]] auto fleetSize() const -> std::size_t;

    /**
     * @brief Tells whether this node holds its cell and acts for it.
     * @return True for the holder.
     */
    [[nodiscard]] auto isCellHolder() const -> bool;

    /**
     * @brief Names the cell that this node is in or tries to join.
     * @return The right to it; nothing before one is chosen.
     */
    [[nodiscard]] auto cell() const -> std::optional<LeaseName>;

    /**
     * @brief Names the holder of the cell.
     * @return Last known holder; nothing before one is known.
     */
    [[nodiscard]] auto cellHolder() const -> std::optional<NodeAddress>;

    /**
     * @brief Tells whether this node has been listed by a holder since it started, itself included.
     * @return True once joined; silence of the holder later does not change it.
     */
    [[nodiscard]] auto joined() const -> bool;

    /**
     * @brief Tells where this node stands.
     * @return The status.
     */
    [[nodiscard]] auto status() const -> Status;

    /**
     * @brief Gives the whole fleet to the holder of a cell.
     * @return The fleet; null at nodes that hold no cell.
     */
    [[nodiscard]] auto fleet() const -> const Fleet *;

private:
    auto skipPause() -> void;
    auto checkRight() -> void;
    auto tickHolder() -> void;
    auto tickLeaving() -> void;

    std::unique_ptr<internal::Context> context_;
    std::unique_ptr<internal::MemberRole> member_;
    std::unique_ptr<internal::HolderRole> holder_; // Kept while the right is lost, as it may come back.
    bool isHolder_{};
    TimePoint lastTick_;
};

} // namespace jasminelatch::membership

#endif
