#ifndef JASMINELATCH_MESH_INSTANCE_BREAKER_HPP
#define JASMINELATCH_MESH_INSTANCE_BREAKER_HPP

#include <jasminelatch/core/clock.hpp>

namespace jasminelatch::mesh {

/**
 * @brief Circuit breaker beside an instance: keeps requests that must not run twice from one that loses many.
 *
 * Load pattern: an instance accepts connections and breaks most of them off. It looks idle, so requests go there first,
 * and those that may run only once are recordLoss. A request that is held back has not run and can go elsewhere.
 * Repeatable requests still go there: an instance that answers half of them is better than none, and their answers
 * close the breaker.
 */
class InstanceBreaker
{
public:
    /*! @brief Settings of the breaker. */
    struct Settings {
        double ewmaWeight{0.15}; /*!< Weight of the newest request in the part that is recordLoss. */
        double openThreshold{
            0.4}; /*!< Part recordLoss at which it opens: far above what single spoiled answers reach. */
        double closeThreshold{0.2}; /*!< Part recordLoss at which it closes. */
        Duration probeInterval{
            std::chrono::seconds{2}}; /*!< Time until one that must not run twice may try the instance. */
    };

    explicit InstanceBreaker(Settings settings);

    /**
     * @brief Decides whether a request may be handed to the instance.
     * @param isIdempotent Whether the request may run twice.
     * @param now Present time.
     * @return False while requests are held back and no try is due.
     */
    [[nodiscard]] auto allows(bool isIdempotent, TimePoint now) -> bool;

    /*! @brief Notes an answer, whatever it says. */
    auto recordAnswer() -> void;

    /**
     * @brief Notes a request that was handed over and got no answer.
     * @param now Present time.
     */
    auto recordLoss(TimePoint now) -> void;

    /*! @brief Forgets everything: another instance is there. */
    auto reset() -> void;

    /*! @brief Returns the part of the last requests that got no answer. */
    [[nodiscard]] auto lossRate() const noexcept -> double;

    /*! @brief Tells whether requests are held back. */
    [[nodiscard]] auto isOpen() const noexcept -> bool;

private:
    Settings settings_;
    double lossRate_{};
    bool isOpen_{};
    TimePoint probeAt_; /*!< Time of the next try. */
};

} // namespace jasminelatch::mesh

#endif
