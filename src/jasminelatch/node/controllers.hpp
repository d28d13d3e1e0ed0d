#ifndef JASMINELATCH_NODE_CONTROLLERS_HPP
#define JASMINELATCH_NODE_CONTROLLERS_HPP

#include "settings.hpp"

#include <jasminelatch/configuration/controller.hpp>
#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/lease/lease_controller.hpp>
#include <jasminelatch/membership/controller.hpp>
#include <jasminelatch/order/claim_holder.hpp>
#include <jasminelatch/order/claimant.hpp>
#include <jasminelatch/quota/borrower.hpp>
#include <jasminelatch/quota/share_holder.hpp>
#include <jasminelatch/store/request.hpp>
#include <jasminelatch/wire/message.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jasminelatch::node {

/**
 * @brief Controllers of the state that nodes share: configuration, membership, leases, quota and orders.
 */
class Controllers
{
public:
    /*! @brief Ways out. */
    struct Hooks {
        store::Call store; /*!< Calls the store. */
        std::function<void(const NodeAddress &to, wire::Message)> send; /*!< Sends to a node, itself included. */
        std::function<void(const ServiceName &)> endpointsChanged; /*!< The endpoints of a service changed. */
        std::function<void(const configuration::View &)> viewChanged; /*!< A new configuration is in force. */
    };

    /**
     * @brief Creates the controllers; they do nothing before `start`.
     * @param settings Settings of the node.
     * @param incarnation Number of this process, higher than any before at this address.
     * @param clock Clock; must outlive the controllers.
     * @param counters Counters; must outlive the controllers.
     * @param hooks Ways out.
     */
    Controllers(
        const Settings &settings, std::uint64_t incarnation, const Clock &clock, Counters &counters, Hooks hooks);

    Controllers(const Controllers &) = delete;
    auto operator=(const Controllers &) -> Controllers & = delete;

    /*! @brief Joins the fleet. */
    auto start() -> void;

    /*! @brief Does all timed work; to be called every 10 to 50 ms. */
    auto tick() -> void;

    /*! @brief Takes a message of configuration. */
    auto receive(const NodeAddress &from, const configuration::Message &message) -> void;
    /*! @brief Takes a message of membership. */
    auto receive(const NodeAddress &from, const membership::Message &message) -> void;
    /*! @brief Takes a message of leases. */
    auto receive(const NodeAddress &from, const lease::Message &message) -> void;
    /*! @brief Takes a message of orders. */
    auto receive(const NodeAddress &from, const order::Message &message) -> void;
    /*! @brief Takes a message of quota. */
    auto receive(const NodeAddress &from, const quota::Message &message) -> void;

    /**
     * @brief Passes on what the backend server announced.
     * @param state Its state.
     * @param slots Its slots.
     * @param connections Its connections.
     */
    auto announce(membership::EndpointState state, std::uint32_t slots, std::uint32_t connections) -> void;

    /*! @brief Tells the fleet that this node goes, and hands back its rights. */
    auto leave() -> void;

    /**
     * @brief Tells whether the fleet knows that this node goes and that its rights are free.
     * @return True also once the leases have lapsed without a release that the store took.
     */
    [[nodiscard]] auto hasLeft() const -> bool;

    /*! @brief Returns the configuration. */
    [[nodiscard]] auto configuration() noexcept -> configuration::Controller & { return configuration_; }
    /*! @brief Returns the membership. */
    [[nodiscard]] auto membership() noexcept -> membership::Controller & { return membership_; }
    /*! @brief Returns the leases. */
    [[nodiscard]] auto lease() noexcept -> lease::LeaseController & { return lease_; }
    /*! @brief Returns the claimant of orders; null before the first configuration. */
    [[nodiscard]] auto claimant() noexcept -> order::Claimant * { return claimant_ ? &*claimant_ : nullptr; }
    /*! @brief Returns the borrower of tokens. */
    [[nodiscard]] auto borrower() noexcept -> quota::Borrower & { return borrower_; }

private:
    [[nodiscard]] auto leaseHooks() -> lease::LeaseController::Hooks;
    [[nodiscard]] auto membershipHooks() -> membership::Hooks;
    [[nodiscard]] auto configurationHooks() -> configuration::Controller::Hooks;
    [[nodiscard]] auto borrowerHooks() -> quota::Borrower::Hooks;
    [[nodiscard]] auto shareHolderHooks() -> quota::ShareHolder::Hooks;
    [[nodiscard]] auto claimHolderHooks() -> order::ClaimHolder::Hooks;
    [[nodiscard]] auto claimantHooks() -> order::Claimant::Hooks;
    [[nodiscard]] auto otherHolders() const -> std::vector<NodeAddress>;
    [[nodiscard]] auto wantedRights() const -> std::vector<LeaseName>;
    auto onAcquired(const LeaseName &right, const lease::Acquisition &acquisition) -> void;
    auto onLost(const LeaseName &right) -> void;
    auto startOrders(const record::Fleet &fleet) -> void;
    auto onView(const configuration::View &view) -> void;
    auto followDuties() -> void;
    auto releaseWhenHandedOver() -> void;

    NodeAddress self_;
    std::uint64_t incarnation_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    lease::LeaseController lease_;
    membership::Controller membership_;
    configuration::Controller configuration_;
    quota::ShareHolder shareHolder_;
    quota::Borrower borrower_;
    std::optional<order::ClaimHolder> claimHolder_; // From the first configuration on.
    std::optional<order::Claimant> claimant_;
    std::uint32_t orderShards_{};
    std::map<order::Shard, lease::Acquisition> acquiredShards_;
    std::set<LeaseName> contended_;
    std::optional<TimePoint> leftAt_;
    bool released_{}; // Leases are being given up.
};

} // namespace jasminelatch::node

#endif
