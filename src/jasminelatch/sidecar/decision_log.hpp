#ifndef JASMINELATCH_SIDECAR_DECISION_LOG_HPP
#define JASMINELATCH_SIDECAR_DECISION_LOG_HPP

#include <jasminelatch/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/**
 * @brief Structured log on standard output: one JSON object a line.
 *
 * Lines beyond the rate are dropped and counted in the next line. Nothing waits for a reader: what the operating system
 * does not take at once is dropped too.
 */
class DecisionLog
{
public:
    /*! @brief Bounds of the log. */
    struct Settings {
        double linesPerSecond{200}; /*!< Lines a second in the long run. */
        double burst{400}; /*!< Lines at once. */
    };

    /**
     * @brief Opens the log.
     * @param settings Bounds.
     * @param clock Clock; it outlives the log.
     * @param node Name that every line carries.
     */
    DecisionLog(Settings settings, const Clock &clock, std::string node);

    /**
     * @brief Writes a line.
     * @param event What happened: lower-case words joined by underscores.
     * @param fields Inputs and outcome.
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
