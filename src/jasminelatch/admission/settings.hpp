#ifndef JASMINELATCH_ADMISSION_SETTINGS_HPP
#define JASMINELATCH_ADMISSION_SETTINGS_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace jasminelatch::admission {

/*! @brief How a node admits work. */
enum class Mode : std::uint8_t {
    Adaptive, /*!< Limit that follows capacity, importance, fairness and deadlines. */
    FirstCome, /*!< Baseline: one queue in order of arrival and a fixed limit. */
    Off /*!< Baseline: everything starts at once. */
};

/*! @brief Settings of the concurrency limit. */
struct LimitSettings {
    Duration window{std::chrono::milliseconds{100}}; /*!< Shortest time between two changes. */
    std::uint32_t windowSamples{10}; /*!< Fewest completions that a change rests on. */
    double latencyTolerance{1.25}; /*!< Latency over the baseline that counts as queueing. */
    double strongestCut{0.6}; /*!< Smallest factor of one decrease. */
    double coldShare{0.1}; /*!< Share of the announced slots that a cold backend server starts with. */
    Duration baselineProbeInterval{std::chrono::seconds{4}}; /*!< Time between two probes of the unloaded latency. */
    double baselineProbeShare{0.7}; /*!< Share of the limit in use during a probe. */
    Duration ceilingMemory{std::chrono::seconds{3}}; /*!< How long the limit of the last decrease slows growth. */
};

/*! @brief Settings of admission at one node. */
struct Settings {
    Mode mode{Mode::Adaptive}; /*!< How work is admitted. */
    std::size_t queueLimit{512}; /*!< Longest queue over all importances, in requests. */
    Duration targetWait{std::chrono::milliseconds{30}}; /*!< Longer waits in the queue count as overload. */
    Duration pressureInterval{std::chrono::milliseconds{100}}; /*!< Time between two changes of the level. */
    Duration shortestRetryAfter{std::chrono::milliseconds{100}}; /*!< Lower bound of `Refusal::retryAfter`. */
    Duration longestRetryAfter{std::chrono::seconds{30}}; /*!< Upper bound of `Refusal::retryAfter`. */
    Duration initialServiceTime{std::chrono::milliseconds{20}}; /*!< Assumed before the first completion. */
    Duration serviceTimeHalfLife{std::chrono::seconds{1}}; /*!< Without completions the estimate halves in this time. */
    Duration downstreamStaleAfter{std::chrono::seconds{1}}; /*!< Age at which a report from downstream is ignored. */
    LimitSettings limit; /*!< The concurrency limit. */
};

/*! @brief Settings of the gate at an entry or calling node. */
struct GateSettings {
    Mode mode{Mode::Adaptive}; /*!< Only `Adaptive` refuses anything. */
    Duration freshFor{std::chrono::milliseconds{300}}; /*!< Age up to which a report counts in full. */
    Duration staleAfter{std::chrono::seconds{1}}; /*!< Age from which a report counts for nothing. */
    double probeShare{0.01}; /*!< Share let through whatever the level, so that reports keep coming. */
    Duration demandHalfLife{std::chrono::milliseconds{500}}; /*!< Memory of what each account asks for. */
    Duration shareInterval{std::chrono::milliseconds{50}}; /*!< Time between two computations of the shares. */
    Duration shortestRetryAfter{std::chrono::milliseconds{100}}; /*!< Lower bound of `Refusal::retryAfter`. */
};

} // namespace jasminelatch::admission

#endif
