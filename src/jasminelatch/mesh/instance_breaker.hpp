#ifndef JASMINELATCH_MESH_INSTANCE_BREAKER_HPP
#define JASMINELATCH_MESH_INSTANCE_BREAKER_HPP

#include <jasminelatch/core/clock.hpp>

namespace jasminelatch::mesh {

/**
 * @brief Circuit breaker that keeps non-idempotent requests away from an instance that loses many of them.
 *
 * Load pattern: an instance accepts connections and drops most of them. It looks idle, so it attracts requests, and
 * those that may run only once are lost. A request held back by the breaker has not run and can go to another instance.
 * Idempotent requests are still sent: an instance that answers half of them is better than none, and their answers
 * close the breaker.
 */
class InstanceBreaker
{
public:
    /*! @brief Thresholds of the loss rate, between zero and one, and the probe interval. */
    struct Settings {
        double ewmaWeight{0.15}; /*!< Weight of the newest request in the loss rate. */
        double openThreshold{0.4}; /*!< Loss rate above which the breaker opens: well above the effect of isolated
                                        bad responses. */
        double closeThreshold{0.2}; /*!< Loss rate at which the breaker closes. */
        Duration probeInterval{std::chrono::seconds{2}}; /*!< Interval at which an open breaker admits one non-
                                                              idempotent request as a probe. */
    };

    explicit InstanceBreaker(Settings settings);

    /**
     * @brief Decides whether a request may be sent to the instance.
     * @param isIdempotent Whether the request may run more than once.
     * @param now Current time.
     * @return False while the breaker is open and no probe is due.
     */
    [[nodiscard]] auto allows(bool isIdempotent, TimePoint now) -> bool;

    /*! @brief Records a response, whatever its status. */
    auto recordAnswer() -> void;

    /**
     * @brief Records a request that was sent but got no response.
     * @param now Current time.
     */
    auto recordLoss(TimePoint now) -> void;

    /*! @brief Closes the breaker and clears the loss rate, for a new instance. */
    auto reset() -> void;

    /*! @brief Returns the moving average of requests without a response, between zero and one. */
    [[nodiscard]] auto lossRate() const noexcept -> double;

    /*! @brief Returns whether non-idempotent requests are held back. */
    [[nodiscard]] auto isOpen() const noexcept -> bool;

private:
    Settings settings_;
    double lossRate_{};
    bool isOpen_{};
    TimePoint probeAt_; /*!< Time of the next probe. */
};

} // namespace jasminelatch::mesh

#endif
