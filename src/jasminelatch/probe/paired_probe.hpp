#ifndef JASMINELATCH_PROBE_PAIRED_PROBE_HPP
#define JASMINELATCH_PROBE_PAIRED_PROBE_HPP

#include "paired_samples.hpp"

#include <jasminelatch/core/clock.hpp>

#include <span>
#include <string>

namespace jasminelatch::probe {

/*! @brief URL to be called. */
struct Target {
    std::string name; /*!< Name for the report. */
    std::string url; /*!< URL, for GET. */
};

/*! @brief Load of a probe. */
struct Load {
    double rate{}; /*!< Rounds begun per second, above zero; each calls every target once. */
    Duration length{}; /*!< Time over which rounds are begun. */
    std::string key; /*!< Key of a client account to show; empty for none. */
};

/**
 * @brief Calls every target in each round, one after the other, and begins rounds at a steady rate whatever the
 * answers.
 *
 * The order of the targets rotates from round to round. Only answers with status 200 count. Connections are kept.
 * @param targets The targets, at least one.
 * @param load The load.
 * @return Latencies, in microseconds.
 */
[[nodiscard]] auto runPairedProbe(std::span<const Target> targets, const Load &load) -> PairedSamples;

} // namespace jasminelatch::probe

#endif
