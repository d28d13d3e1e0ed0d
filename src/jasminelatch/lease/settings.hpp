#ifndef JASMINELATCH_LEASE_SETTINGS_HPP
#define JASMINELATCH_LEASE_SETTINGS_HPP

#include <jasminelatch/core/clock.hpp>

namespace jasminelatch::lease {

/*! @brief Time limits of leases; all nodes of a fleet use the same values. */
struct Settings {
    Duration storeLeaseTtl{std::chrono::seconds{6}}; /*!< How long a confirmed write supports its holder. */
    Duration renewInterval{
        std::chrono::seconds{2}}; /*!< Between two renewals, and between reads of a suspicious successor. */
    Duration retryInterval{std::chrono::milliseconds{500}}; /*!< After a call with an unknown outcome. */
    Duration pollInterval{
        std::chrono::seconds{10}}; /*!< Between two reads of a contender that has no reason for haste. */
    Duration promiseTtl{
        std::chrono::seconds{2}}; /*!< How long a promise supports a holder; the longest one that is given. */
    Duration promiseInterval{std::chrono::milliseconds{500}}; /*!< Between two requests for a promise. */
    Duration suspicionDelay{std::chrono::seconds{1}}; /*!< Silence after which a successor begins to read the record. */
    Duration successorPatience{std::chrono::seconds{4}}; /*!< Silence after which a holder names another successor. */
    double clockRateDrift{0.001}; /*!< Bound on the relative difference between the rates of any two clocks. */
    bool promisesEnabled{true}; /*!< False leaves the plain store lease: the baseline. */
};

/**
 * @brief Returns a length of time that covers the given one on any clock of the fleet.
 * @param settings Gives the bound on drift.
 * @param length Length on the other node's clock.
 * @return Length on the own clock, rounded up.
 */
[[nodiscard]] inline auto withDrift(const Settings &settings, const Duration length) -> Duration
{
    const auto extra = static_cast<double>(length.count()) * settings.clockRateDrift;
    return length + Duration{static_cast<Duration::rep>(extra) + 1};
}

} // namespace jasminelatch::lease

#endif
