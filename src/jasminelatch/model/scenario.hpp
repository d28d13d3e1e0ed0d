#ifndef JASMINELATCH_MODEL_SCENARIO_HPP
#define JASMINELATCH_MODEL_SCENARIO_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/finding.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::model {

/*! @brief Instance of a service; a node stands beside each. */
struct InstanceModel {
    std::uint32_t slots{1}; /*!< Requests that it runs at once. */
    double speed{1.0}; /*!< Work per second, relative to the work times of the kinds. */
    Duration joinsAt{}; /*!< Time at which it starts. */
};

/*! @brief Service with its instances. */
struct ServiceModel {
    std::string name; /*!< Unique name. */
    std::vector<InstanceModel> instances; /*!< Its instances. */
    double knee{1.0}; /*!< Fraction of the slots in use above which an instance is slower. */
    double kneeFactor{1.0}; /*!< Factor on the work time above the knee. */
};

/*! @brief Calls that a run makes one after the other. */
struct CallModel {
    std::string kind; /*!< Kind of the calls. */
    std::uint32_t times{1}; /*!< Number of calls. */
};

/*! @brief Kind of request, from clients or from instances. */
struct KindModel {
    std::string name; /*!< Unique name; also the name of its route. */
    std::string service; /*!< Service that runs it. */
    double perSecond{}; /*!< Requests of clients per second before surges; zero for a kind that is only called. */
    std::uint32_t priority{}; /*!< Priority of its route; zero is the highest. */
    Duration work{}; /*!< Mean time to run it, without its calls. */
    double spread{0.5}; /*!< Standard deviation of the logarithm of the work time. */
    Duration latencyTarget{}; /*!< Response time up to which an answer is fully useful. */
    Duration timeout{}; /*!< Time after which nobody waits for the answer any more. */
    bool isIdempotent{true}; /*!< Whether it may run more than once. */
    std::uint32_t maxAttempts{3}; /*!< Number of instances that one attempt may be sent to. */
    std::uint32_t clientRetries{1}; /*!< How often a client that was refused comes back. */
    std::vector<CallModel> calls; /*!< Calls of one run. */
};

/*! @brief Trouble that begins and ends at given times. */
struct TroubleModel {
    enum class Kind : std::uint8_t {
        Surge, /*!< Clients send more. */
        Reject, /*!< Instances reject a part of what arrives. */
        Slow, /*!< Instances are slower. */
        Away /*!< Instances have left; they accept no requests and finish those that run. */
    };
    Kind kind{Kind::Surge}; /*!< What happens. */
    Duration from{}; /*!< Begin. */
    Duration until{}; /*!< End. */
    std::string service; /*!< Service of the instances; unused for `Surge`. */
    std::uint32_t count{}; /*!< Number of instances from the first; zero means all that have joined by then. */
    double factor{1.0}; /*!< Factor on rates or work times, or fraction that is rejected. */
};

/*! @brief Load and troubles of one simulated run. */
struct Scenario {
    std::string name; /*!< Name in reports. */
    Duration length{}; /*!< Time in which clients send. */
    Duration reportInterval{std::chrono::milliseconds{250}}; /*!< Interval of the reports between nodes. */
    Duration hopDelay{std::chrono::milliseconds{1}}; /*!< One-way delay between nodes. */
    std::vector<ServiceModel> services; /*!< All services. */
    std::vector<KindModel> kinds; /*!< All kinds of request. */
    std::vector<TroubleModel> troubles; /*!< Troubles in any order. */
};

/**
 * @brief Parses a scenario.
 * @param json Scenario; times are numbers of milliseconds or, with the suffix `_s`, of seconds.
 * @param file File name that findings refer to.
 * @param findings Receives one entry per error.
 * @return The scenario, or nothing if any error was found.
 */
[[nodiscard]] auto parseScenario(const nlohmann::json &json, const std::string &file, Findings &findings)
    -> std::optional<Scenario>;

} // namespace jasminelatch::model

#endif
