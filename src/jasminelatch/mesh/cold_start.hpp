#ifndef JASMINELATCH_MESH_COLD_START_HPP
#define JASMINELATCH_MESH_COLD_START_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstddef>

namespace jasminelatch::mesh {

/**
 * @brief Limits the requests per second to the local instance while it is cold.
 *
 * Load pattern: all instances of a failure domain come back cold at once while clients send at the usual rate; a cold
 * instance that gets many more requests than it tolerates crashes, and comes back cold again. All requests to an
 * instance pass the node beside it, so that node alone enforces the limit, also while it is cut off from the others.
 *
 * An instance is also held for cold after any event that may hide a start, until the instance itself says otherwise.
 */
class ColdStart
{
public:
    /*! @brief Margins around the rate that the service's configuration states. */
    struct Settings {
        double rateFactor{1.0}; /*!< Rate relative to the stated one. */
        double burst{1.0}; /*!< Requests that may be sent at once beyond the rate. */
    };

    explicit ColdStart(Settings settings);

    /**
     * @brief Sets the terms of the service.
     * @param duration Time for which an instance is cold after its start.
     * @param ratePerSecond Requests per second that a cold instance tolerates; zero for no limit.
     */
    auto setTerms(Duration duration, double ratePerSecond) -> void;

    /**
     * @brief Holds the instance for cold, as it may have started just now.
     * @param now Current time.
     */
    auto suspect(TimePoint now) -> void;

    /**
     * @brief Applies the rest of the cold start that the instance has stated on its own; it may be seconds old.
     * @param left Time for which it is cold; never shortens what is known.
     * @param now Current time.
     */
    auto applyStated(Duration left, TimePoint now) -> void;

    /**
     * @brief Applies the answer to a question that this node has asked.
     * @param left Time for which the instance is cold.
     * @param askedAt When it was asked; an answer to an earlier question than the last suspicion only prolongs.
     * @param now Current time.
     */
    auto applyAnswer(Duration left, TimePoint askedAt, TimePoint now) -> void;

    /*! @brief Returns whether the instance is cold and its service limits the rate of cold instances. */
    [[nodiscard]] auto isLimited(TimePoint now) const -> bool;

    /*! @brief Returns whether the instance is held for cold without having said so itself. */
    [[nodiscard]] auto isSuspected(TimePoint now) const -> bool;

    /*! @brief Returns the remaining time for which the instance is held for cold. */
    [[nodiscard]] auto remaining(TimePoint now) const -> Duration;

    /*! @brief Returns the requests per second that are sent to it meanwhile. */
    [[nodiscard]] auto rate() const -> double;

    /*! @brief Returns whether a request may be sent now. */
    [[nodiscard]] auto allows(TimePoint now) const -> bool;

    /*! @brief Counts a request that is sent now. */
    auto record(TimePoint now) -> void;

    /**
     * @brief Returns when a request may be sent.
     * @param ahead Number of requests that are sent before it.
     * @param now Current time.
     * @return Time from now; zero if it need not wait.
     */
    [[nodiscard]] auto wait(std::size_t ahead, TimePoint now) const -> Duration;

private:
    [[nodiscard]] auto level(TimePoint now) const -> double;
    auto extend(TimePoint until, TimePoint now) -> void;

    Settings settings_;
    Duration duration_{};
    double ratePerSecond_{};
    TimePoint coldUntil_;
    TimePoint suspectedAt_;
    bool isSuspected_{}; /*!< Whether the instance has not been asked since `suspectedAt_`. */
    double level_{}; /*!< Tokens at `updatedAt_`. */
    TimePoint updatedAt_;
};

} // namespace jasminelatch::mesh

#endif
