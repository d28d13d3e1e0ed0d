#ifndef JASMINELATCH_MODEL_OUTCOME_HPP
#define JASMINELATCH_MODEL_OUTCOME_HPP

#include <jasminelatch/core/clock.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminelatch::model {

/*! @brief What the clients of one kind of request saw. */
struct KindOutcome {
    std::uint64_t asked{}; /*!< Client requests, each counted once however often the client came back. */
    std::uint64_t inTarget{}; /*!< Served within the latency target. */
    std::uint64_t late{}; /*!< Served later. */
    std::uint64_t servedAfterRefusal{}; /*!< Of those served: refused once before. */
    std::uint64_t refused{}; /*!< Refused for good. */
    std::uint64_t failed{}; /*!< Ended with a failure or without an answer. */
    std::uint64_t refusals{}; /*!< Refusals, the first ones of clients that came back included. */
    std::uint64_t refusedWithRoom{}; /*!< Of those: refused at the entry while no service of its tree was busy. */

    /*! @brief Returns the fraction of the requests that was served; one without requests. */
    [[nodiscard]] auto servedFraction() const -> double;
};

/*! @brief Mean load of the services and fraction of the requests served in one second. */
struct SecondOutcome {
    std::map<std::string, double> utilization; /*!< Used fraction of the concurrency limits, by service. */
    std::map<std::string, double> queued; /*!< Queued requests, by service. */
    std::uint64_t asked{}; /*!< Client requests that first came in this second. */
    std::uint64_t served{}; /*!< Of those: served sooner or later. */
};

/*! @brief Result of one simulated run. */
struct Outcome {
    std::map<std::string, KindOutcome> kinds; /*!< By kind of client request. */
    std::vector<SecondOutcome> seconds; /*!< By second from the start. */
    Duration refusalTimeP99{}; /*!< Time to a refusal that 99 of 100 stay under. */

    /*! @brief Returns the sum over all kinds. */
    [[nodiscard]] auto total() const -> KindOutcome;

    /**
     * @brief Returns the mean utilization of a service over some seconds.
     * @param service Name of the service.
     * @param from First second.
     * @param until Second after the last.
     */
    [[nodiscard]] auto meanUtilization(const std::string &service, std::size_t from, std::size_t until) const -> double;

    /**
     * @brief Returns the fraction served of the requests that first came in some seconds.
     * @param from First second.
     * @param until Second after the last.
     */
    [[nodiscard]] auto servedFraction(std::size_t from, std::size_t until) const -> double;
};

/**
 * @brief Formats an outcome as JSON.
 * @param outcome Outcome of a run.
 */
[[nodiscard]] auto toJson(const Outcome &outcome) -> nlohmann::json;

/**
 * @brief Draws served requests and utilization over time for several policies.
 * @param title Title of the plot.
 * @param outcomes Outcomes by name of the policy.
 * @return SVG document.
 */
[[nodiscard]] auto drawPlot(const std::string &title, const std::map<std::string, Outcome> &outcomes) -> std::string;

} // namespace jasminelatch::model

#endif
