#ifndef JASMINELATCH_MESH_FRESHNESS_HPP
#define JASMINELATCH_MESH_FRESHNESS_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace jasminelatch::mesh {

/*! @brief Word of the store, from itself or passed on by a peer: at `at`, that was the configuration's last change. */
struct StoreConfirmation {
    std::uint64_t revision{}; /*!< Revision of the store at that change; zero when there was none. */
    TimePoint at; /*!< Moment before the confirming call was sent, or earlier. */
};

/**
 * @brief Tells for how long keys may be trusted after the store last confirmed the configuration, and when to ask
 * again.
 *
 * Load patterns: keys are withdrawn while this node can't reach the store; and a large fleet that asks the store one by
 * one would be its main load. A confirmation counts from the moment before the confirming call was sent, since an
 * answer may be late. Peers pass theirs on; one counts only once this node has applied every change that it covers.
 * Few nodes ask the store often, and the others only when they hear nothing from those.
 */
class Freshness
{
public:
    /*! @brief Times, most of them as parts of the validity. */
    struct Settings {
        Duration validity{}; /*!< Time for which a confirmation holds. */
        double firstQueryAge{0.22}; /*!< Age at which the first node in order asks the store. */
        double queryAgeStep{0.09}; /*!< What each next node in order waits longer, so that it hears of the answer. */
        double maxQueryAge{0.5}; /*!< Age at which every node asks; leaves time for a second call. */
        Duration watchLag{std::chrono::milliseconds{800}}; /*!< Time in which a change that a peer knows of should have
                                                         come with the own watch, its pause included. */
    };

    /**
     * @brief Makes a record without any confirmation.
     * @param settings Times.
     */
    explicit Freshness(Settings settings);

    /**
     * @brief Takes a confirmation; one of a moment to come is no confirmation.
     * @param confirmation The confirmation.
     * @param now Present time.
     */
    auto confirm(const StoreConfirmation &confirmation, TimePoint now) -> void;

    /**
     * @brief Notes that every change of the configuration up to a revision has been applied.
     * @param revision The revision.
     */
    auto markApplied(std::uint64_t revision) -> void;

    /**
     * @brief Tells whether keys may be trusted.
     * @param now Present time.
     * @return Whether the last confirmation still holds.
     */
    [[nodiscard]] auto isFresh(TimePoint now) const -> bool;

    /**
     * @brief Tells whether to ask the store now.
     * @param order Number of live nodes that come before this one in an order that all nodes share.
     * @param now Present time.
     * @return Whether the confirmation is too old, or changes known to a peer have not come.
     */
    [[nodiscard]] auto shouldQueryStore(std::size_t order, TimePoint now) const -> bool;

    /*! @brief Returns the newest confirmation that covers only applied changes; nothing before the first. */
    [[nodiscard]] auto confirmation() const -> const std::optional<StoreConfirmation> &;

private:
    [[nodiscard]] auto part(double share) const -> Duration;

    Settings settings_;
    std::uint64_t applied_{};
    std::optional<StoreConfirmation> confirmed_;
    std::optional<StoreConfirmation> pending_; /*!< Newest confirmation that covers changes which are not applied. */
    TimePoint pendingSince_;
};

} // namespace jasminelatch::mesh

#endif
