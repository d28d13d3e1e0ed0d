#ifndef JASMINELATCH_LOAD_MEASURES_HPP
#define JASMINELATCH_LOAD_MEASURES_HPP

#include "sample.hpp"
#include "scenario.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jasminelatch::load {

/*! @brief Length of one interval of goodput. */
inline constexpr Duration interval = std::chrono::milliseconds{500};

/*! @brief Weighted goodput between two points in time. */
struct Goodput {
    std::string name; /*!< Name of the span. */
    Duration start{}; /*!< Start after the start of the run. */
    Duration end{}; /*!< End after the start of the run. */
    double offered{}; /*!< Weight of all requests, per second. */
    double whole{}; /*!< Weight of the requests with a whole answer, per second. */
    std::optional<Duration>
        recovery; /*!< For triggers: time until the share served is back; nothing when it never is. */

    /*! @brief Returns the share served; 1 when nothing was offered. */
    [[nodiscard]] auto share() const -> double { return offered > 0.0 ? whole / offered : 1.0; }
};

/*! @brief How an account fared. */
struct AccountFigures {
    AccountName account; /*!< The account. */
    std::size_t requests{}; /*!< Client requests. */
    std::size_t withinRate{}; /*!< Of these, within its rate. */
    std::size_t served{}; /*!< Of those within the rate, answered whole. */

    /*! @brief Returns the share of the requests within the rate that were served. */
    [[nodiscard]] auto share() const -> double;
    /*! @brief Tells whether the account kept to its rate. */
    [[nodiscard]] auto keptRate() const -> bool;
};

/*! @brief The four measures of one run and what they are made of. */
struct Measures {
    std::vector<Goodput> intervals; /*!< Each interval of the run. */
    std::vector<Goodput> phases; /*!< Before the triggers, and each trigger. */
    Goodput all; /*!< Everything after the warm-up. */
    std::vector<AccountFigures> accounts; /*!< All accounts. */
    std::optional<AccountFigures> worst; /*!< The worst-served of those that kept to their rate. */
    std::size_t attempts{}; /*!< Attempts within the rate. */
    std::size_t wrongful{}; /*!< Of these, refused for the account's rate or its quota's holder. */
    std::map<std::string, std::size_t> failures; /*!< Failed attempts by reason. */

    /*! @brief Returns the share of wrongful refusals. */
    [[nodiscard]] auto wrongfulShare() const -> double;
};

/**
 * @brief Computes the measures of a run.
 * @param scenario The scenario.
 * @param samples Every client request, in any order.
 * @return The measures.
 */
[[nodiscard]] auto computeMeasures(const Scenario &scenario, std::span<const Sample> samples) -> Measures;

} // namespace jasminelatch::load

#endif
