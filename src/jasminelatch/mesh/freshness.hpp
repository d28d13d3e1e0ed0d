#ifndef JASMINELATCH_MESH_FRESHNESS_HPP
#define JASMINELATCH_MESH_FRESHNESS_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace jasminelatch::mesh {

/*!
 * @brief Statement that at time `at` the configuration's last change was `revision`.
 *
 * Comes from the store itself or from a peer that forwards what it received.
 */
struct StoreConfirmation {
    std::uint64_t revision{}; /*!< Store revision of the last change; zero if the configuration was never written. */
    TimePoint at; /*!< Time just before the confirming store call was sent, or earlier. */
};

/**
 * @brief Decides how long API keys stay valid after the store last confirmed the configuration, and when to query the
 * store again.
 *
 * Load patterns: keys are revoked while this node cannot reach the store; and if every node of a large fleet queried
 * the store on its own, these queries would be its main load. A confirmation is dated to just before its store call was
 * sent, because the response may be delayed. Peers forward their confirmations; a forwarded one takes effect only once
 * this node has applied every change that it covers. A few nodes query the store often, and the others only if they
 * receive no confirmation from those.
 */
class Freshness
{
public:
    /*! @brief Validity and query intervals; query ages are fractions of the validity. */
    struct Settings {
        Duration validity{}; /*!< Time for which a confirmation holds. */
        double firstQueryAge{0.22}; /*!< Confirmation age at which the first node in the shared order queries. */
        double queryAgeStep{0.09}; /*!< Added for each further node, so that it receives the earlier node's result. */
        double maxQueryAge{0.5}; /*!< Age at which every node queries; leaves time for a second call. */
        Duration watchLag{std::chrono::milliseconds{800}}; /*!< Time within which this node's own watch, including its
                                                              pause, delivers a change that a peer has seen. */
    };

    /**
     * @brief Creates a tracker without any confirmation, so that keys are not valid yet.
     * @param settings Validity and query intervals.
     */
    explicit Freshness(Settings settings);

    /**
     * @brief Records a confirmation; one dated in the future is ignored.
     * @param confirmation The confirmation, from the store or from a peer.
     * @param now Current time.
     */
    auto confirm(const StoreConfirmation &confirmation, TimePoint now) -> void;

    /**
     * @brief Records that every configuration change up to a revision has been applied.
     * @param revision Store revision.
     */
    auto markApplied(std::uint64_t revision) -> void;

    /**
     * @brief Returns whether keys may be accepted.
     * @param now Current time.
     * @return True while the newest effective confirmation is no older than the validity.
     */
    [[nodiscard]] auto isFresh(TimePoint now) const -> bool;

    /**
     * @brief Returns whether this node should query the store now.
     * @param order Number of live nodes before this one in an order that all nodes share.
     * @param now Current time.
     * @return True if the confirmation is too old, or if changes that a peer has seen are overdue here.
     */
    [[nodiscard]] auto shouldQueryStore(std::size_t order, TimePoint now) const -> bool;

    /*! @brief Returns the newest confirmation that covers only applied changes; empty before the first one. */
    [[nodiscard]] auto confirmation() const -> const std::optional<StoreConfirmation> &;

private:
    [[nodiscard]] auto validityFraction(double fraction) const -> Duration;

    Settings settings_;
    std::uint64_t applied_{};
    std::optional<StoreConfirmation> confirmed_;
    std::optional<StoreConfirmation> pending_; /*!< Newest confirmation of a revision that is not applied yet. */
    TimePoint pendingSince_; /*!< When `pending_` last became non-empty. */
};

} // namespace jasminelatch::mesh

#endif
