#ifndef JASMINELATCH_MESH_FRESHNESS_HPP
#define JASMINELATCH_MESH_FRESHNESS_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace jasminelatch::mesh {

/*!
 * @brief Statement that at time `at` the newest configuration in the store was `version`.
 *
 * It confirms that a node that has applied `version` has missed no change up to time `at`, such as the revocation of an
 * API key. A node derives it from the response to a store query, or receives it from a peer that forwards its own.
 */
struct StoreConfirmation {
    std::uint64_t version{}; /*!< Version of the configuration; zero if it was never written. */
    TimePoint at; /*!< Time just before the confirming store query was sent, or earlier. */
    std::uint64_t era{}; /*!< Era of the store; rises when an older copy replaces it. */
};

/**
 * @brief Decides how long API keys stay valid after the store last confirmed the configuration, and when to query the
 * store again.
 *
 * Load patterns: keys are revoked while this node cannot reach the store; and if every node of a large fleet queried
 * the store on its own, these queries would be its main load. A query asks the store for changes of the configuration;
 * its response yields a confirmation. A confirmation is dated to just before its query was sent, because the response
 * may be delayed. Peers forward their confirmations; a forwarded one takes effect only once this node has applied every
 * change that it covers. A few nodes query the store often, and the others only if they receive no confirmation from
 * those. An older copy may replace the store, which then lacks changes that it has acknowledged; it confirms nothing
 * until they are written again.
 */
class Freshness
{
public:
    /**
     * @brief How long a confirmation keeps API keys valid, and when the store is queried for the next one.
     *
     * A query age is the age of the newest effective confirmation at which a node queries the store, as a fraction of
     * `validity`.
     */
    struct Settings {
        Duration validity{}; /*!< Time after `StoreConfirmation::at` for which API keys may be accepted. */
        double firstQueryAge{0.22}; /*!< Query age of the first node in the order that `shouldQueryStore` takes. */
        double queryAgeStep{0.09}; /*!< Increase of the query age for each further node in that order, so that it
                                        receives the earlier node's confirmation first. */
        double maxQueryAge{0.5}; /*!< Upper bound of the query age of all nodes; leaves time for a second query. */
        Duration watchLag{std::chrono::milliseconds{800}}; /*!< Time within which this node's own watch, including its
                                                              pause, delivers a change that a peer has seen. */
    };

    /**
     * @brief Creates a tracker without any confirmation, so that keys are not valid yet.
     * @param settings Validity of confirmations and query ages.
     */
    explicit Freshness(Settings settings);

    /**
     * @brief Records a confirmation of the configuration.
     *
     * It takes effect at once if this node has applied its version. The newest one that this node has not applied yet
     * takes effect when `markApplied` reports its version. A confirmation never replaces a newer effective one. One
     * that is dated later than `now`, or of an era in which the store lacks a version that was known before, is
     * ignored.
     * @param confirmation The confirmation, derived from a store response or forwarded by a peer.
     * @param now Current time.
     */
    auto confirm(const StoreConfirmation &confirmation, TimePoint now) -> void;

    /**
     * @brief Records that every configuration change up to a version has been applied.
     * @param version Version of the configuration.
     */
    auto markApplied(std::uint64_t version) -> void;

    /**
     * @brief Returns whether API keys of the applied configuration may be accepted.
     * @param now Current time.
     * @return True while the newest effective confirmation is no older than `Settings::validity`.
     */
    [[nodiscard]] auto isFresh(TimePoint now) const -> bool;

    /**
     * @brief Returns whether this node should query the store for changes of the configuration now.
     * @param order Number of live nodes before this one in an order that all nodes share.
     * @param now Current time.
     * @return True if the newest effective confirmation has reached the query age of this node, or if changes that a
     * peer has seen are overdue here.
     */
    [[nodiscard]] auto shouldQueryStore(std::size_t order, TimePoint now) const -> bool;

    /*! @brief Returns the newest effective confirmation: its version has been applied; empty before the first one. */
    [[nodiscard]] auto confirmation() const -> const std::optional<StoreConfirmation> &;

private:
    [[nodiscard]] auto isBehind(const StoreConfirmation &confirmation) const -> bool;
    [[nodiscard]] auto validityFraction(double fraction) const -> Duration;

    Settings settings_;
    std::uint64_t applied_{};
    std::uint64_t highest_{}; /*!< Highest version known to exist, applied or not. */
    std::uint64_t era_{}; /*!< Latest era of the store that a confirmation has told. */
    std::uint64_t eraFloor_{}; /*!< Highest version known from before `era_`. */
    std::optional<StoreConfirmation> confirmed_; /*!< Newest effective confirmation. */
    std::optional<StoreConfirmation> pending_; /*!< Newest confirmation of a version that is not applied yet. */
    TimePoint pendingSince_; /*!< When `pending_` last became non-empty. */
};

} // namespace jasminelatch::mesh

#endif
