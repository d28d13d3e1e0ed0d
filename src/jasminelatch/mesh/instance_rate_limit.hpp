#ifndef JASMINELATCH_MESH_INSTANCE_RATE_LIMIT_HPP
#define JASMINELATCH_MESH_INSTANCE_RATE_LIMIT_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <optional>

namespace jasminelatch::mesh {

/**
 * @brief Token bucket that keeps the requests to the local instance within the rate that the instance states.
 *
 * Load pattern: an instance that is unwell states in its answers how many requests per second it accepts from all nodes
 * together, while clients go on sending at the former rate. All requests to it pass the node beside it, so that node
 * alone enforces the limit. A node that starts beside a running instance does not know the limit before the first
 * answer, and meanwhile sends few requests.
 */
class InstanceRateLimit
{
public:
    /*! @brief Depth of the bucket, and behaviour while no limit is known. */
    struct Settings {
        Duration burstTime{std::chrono::milliseconds{250}}; /*!< Depth of the bucket, as time at the stated rate. */
        double initialRequests{2.0}; /*!< Requests sent before the first answer. */
        double initialRate{0.5}; /*!< Further ones per second: an instance that never answers must not stop them all. */
        Duration holdTime{std::chrono::seconds{1}}; /*!< Time since an answer last stated the limit after which an
                                                       answer without one ends it; answers may overtake each other. */
    };

    explicit InstanceRateLimit(Settings settings);

    /**
     * @brief Applies an answer of the instance.
     * @param limit Requests per second that it states, or nothing.
     * @param now Current time.
     * @return Whether the limit has changed.
     */
    auto recordAnswer(std::optional<double> limit, TimePoint now) -> bool;

    /**
     * @brief Sends few requests until the next answer, for a node that starts and whose instance may have stated a
     * limit before.
     * @param now Current time.
     */
    auto awaitFirstAnswer(TimePoint now) -> void;

    /*! @brief Forgets the limit, for a new start of the instance. */
    auto reset() -> void;

    /**
     * @brief Takes the token for one request.
     * @param now Current time.
     * @return False if the request must wait.
     */
    [[nodiscard]] auto take(TimePoint now) -> bool;

    /**
     * @brief Returns when the stated limit allows a request.
     * @param ahead Number of requests that are sent before it.
     * @param now Current time.
     * @return Time from now; zero if it need not wait.
     */
    [[nodiscard]] auto wait(std::size_t ahead, TimePoint now) const -> Duration;

    /*! @brief Returns whether no answer has arrived since `awaitFirstAnswer`. */
    [[nodiscard]] auto isAwaitingAnswer() const noexcept -> bool;

    /*! @brief Returns the requests per second that the instance states, or nothing. */
    [[nodiscard]] auto limit() const noexcept -> std::optional<double>;

private:
    [[nodiscard]] auto isUnlimited() const -> bool;
    [[nodiscard]] auto rate() const -> double;
    [[nodiscard]] auto depth() const -> double;
    [[nodiscard]] auto level(TimePoint now) const -> double;

    Settings settings_;
    std::optional<double> limit_;
    bool isAwaitingAnswer_{}; /*!< Whether the next answer will be the first one. */
    TimePoint statedAt_; /*!< When an answer last stated the limit. */
    double level_{}; /*!< Tokens at `updatedAt_`. */
    TimePoint updatedAt_;
};

} // namespace jasminelatch::mesh

#endif
