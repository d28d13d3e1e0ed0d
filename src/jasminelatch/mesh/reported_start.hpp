#ifndef JASMINELATCH_MESH_REPORTED_START_HPP
#define JASMINELATCH_MESH_REPORTED_START_HPP

#include "instance_record.hpp"

#include <cstdint>

namespace jasminelatch::mesh {

/**
 * @brief Tells a running instance from late reports of one that has ended, without comparing their start times.
 *
 * Load pattern: the wall clock of a VM is stepped back while its instance restarts, so that the new start seems to
 * precede the one before; or a partition delays reports of an earlier start until after the next one has registered.
 * The first keeps reporting, the second sends no more than was under way.
 */
class ReportedStart
{
public:
    /*! @brief Evidence that an instance is running. */
    struct Settings {
        std::uint32_t minReports{3}; /*!< Reports with rising sequence numbers and none of another start in between. */
        Duration minSpan{std::chrono::seconds{4}}; /*!< Time between the first and the last of them: heartbeats come
                                                        every 1.5 s and may be seconds late. */
    };

    /**
     * @brief Creates the state before the first report.
     * @param settings Evidence that is required.
     */
    explicit ReportedStart(Settings settings);

    /**
     * @brief Records a report in the order of arrival.
     * @param report Report that the instance sent of its own accord.
     * @param now Current time.
     */
    auto record(const InstanceReport &report, TimePoint now) -> void;

    /**
     * @brief Returns whether the start that a report names is running, whatever its time.
     * @param report Report of the instance.
     */
    [[nodiscard]] auto isRunning(const InstanceReport &report) const -> bool;

private:
    Settings settings_;
    InstanceReport last_; /*!< Report with the highest sequence number of the start that reported last. */
    TimePoint firstAt_;
    TimePoint lastAt_;
    std::uint32_t reports_{};
};

} // namespace jasminelatch::mesh

#endif
