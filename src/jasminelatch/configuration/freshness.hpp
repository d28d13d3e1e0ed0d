#ifndef JASMINELATCH_CONFIGURATION_FRESHNESS_HPP
#define JASMINELATCH_CONFIGURATION_FRESHNESS_HPP

#include "message.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <map>
#include <optional>

namespace jasminelatch::configuration {

/**
 * @brief Knows up to which moment a node can have missed no change.
 *
 * A moment is confirmed by an answer of the store, or by a peer that passes on its own. While the store answers
 * neither this node nor the majority of the peers that it asks (itself counted), the store is taken to be down for
 * all: then nothing can have changed either.
 */
class Freshness
{
public:
    /**
     * @brief Starts with nothing confirmed.
     * @param staleAfter Age from which the configuration is stale.
     */
    explicit Freshness(Duration staleAfter);

    /*! @brief Notes that every change accepted before `asOf` is in force here. */
    auto confirm(TimePoint asOf) -> void;
    /*! @brief Notes that a call to the store sent at `sentAt` was answered. */
    auto storeAnswered(TimePoint sentAt) -> void;
    /*! @brief Notes that a call to the store sent at `sentAt` was not answered in time. */
    auto storeUnanswered(TimePoint sentAt) -> void;
    /*! @brief Notes that a peer was asked at `now` whether the store answers it. */
    auto asked(const NodeAddress &peer, TimePoint now) -> void;
    /**
     * @brief Notes a peer's answer.
     * @param peer The peer; ignored unless it was asked.
     * @param askedAt When it was asked.
     * @param vouches True when the store does not answer it either and it has no newer revision.
     */
    auto answered(const NodeAddress &peer, TimePoint askedAt, bool vouches) -> void;

    /*! @brief Returns whether the store answers this node, by its calls of late. */
    [[nodiscard]] auto storeState(TimePoint now) const -> StoreState;
    /*! @brief Returns the age of the newest confirmation; a day or more when there is none. */
    [[nodiscard]] auto age(TimePoint now) const -> Duration;
    /*! @brief Tells whether that age is below the limit. */
    [[nodiscard]] auto isFresh(TimePoint now) const -> bool;

private:
    struct Vote {
        TimePoint asked;
        std::optional<TimePoint> vouched;
    };

    [[nodiscard]] auto vouchedAsOf(TimePoint now) const -> std::optional<TimePoint>;
    auto forgetOldVotes(TimePoint now) -> void;

    Duration staleAfter_;
    std::optional<TimePoint> confirmed_;
    std::optional<TimePoint> storeAnswered_;
    std::optional<TimePoint> storeUnanswered_;
    std::map<NodeAddress, Vote> votes_;
};

} // namespace jasminelatch::configuration

#endif
