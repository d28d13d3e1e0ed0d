#ifndef JASMINELATCH_LOAD_ARRIVALS_HPP
#define JASMINELATCH_LOAD_ARRIVALS_HPP

#include "scenario.hpp"

#include <optional>
#include <random>
#include <vector>

namespace jasminelatch::load {

/*! @brief Client request that a caller begins. */
struct Arrival {
    Duration at{}; /*!< Time after the start of the run. */
    AccountName account; /*!< Account of the caller. */
    KindName kind; /*!< Kind. */
};

/**
 * @brief Poisson arrivals of every account; the same for the same scenario and seed.
 *
 * Each account draws from a generator of its own, so that a factor on one account leaves the others as they were.
 */
class Arrivals
{
public:
    /**
     * @brief Prepares the arrivals.
     * @param scenario The scenario; outlives this object.
     * @param seed Seed.
     */
    Arrivals(const Scenario &scenario, std::uint64_t seed);

    /**
     * @brief Returns the next arrival of all accounts.
     * @return The arrival, or nothing after the end of the run.
     */
    [[nodiscard]] auto next() -> std::optional<Arrival>;

private:
    struct Source {
        const AccountLoad *load{};
        std::mt19937_64 random;
        Duration at{};
        double peakRate{};
    };

    auto advance(Source &source) const -> void;
    [[nodiscard]] static auto drawKind(Source &source) -> KindName;

    const Scenario *scenario_;
    std::vector<Source> sources_;
};

} // namespace jasminelatch::load

#endif
