#ifndef JASMINELATCH_SIDECAR_DECISION_LOG_HPP
#define JASMINELATCH_SIDECAR_DECISION_LOG_HPP

#include <jasminelatch/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/**
 * @brief Structured log on standard output, one JSON object per line.
 *
 * Lines beyond the rate limit are dropped, and the next line written carries their number. Writes never block: a line
 * that the operating system does not accept immediately is dropped as well.
 */
class DecisionLog
{
public:
    /*! @brief Token bucket that limits the rate of lines. */
    struct Settings {
        double linesPerSecond{200}; /*!< Refill rate in lines per second. */
        double burst{400}; /*!< Capacity of the bucket in lines. */
    };

    /**
     * @brief Starts with a full bucket and makes standard output non-blocking.
     * @param settings Rate limit.
     * @param clock Clock of the rate limit; must outlive the log.
     * @param node Node name that every line carries.
     */
    DecisionLog(Settings settings, const Clock &clock, std::string node);

    /**
     * @brief Writes a line unless the rate limit drops it.
     * @param event Event name: lower-case words joined by underscores.
     * @param fields Inputs and outcome of the decision.
     */
    auto write(std::string_view event, nlohmann::json fields) -> void;

private:
    Settings settings_;
    const Clock *clock_;
    std::string node_;
    double tokens_;
    TimePoint refilledAt_;
    std::uint64_t dropped_{};
};

} // namespace jasminelatch::sidecar

#endif
