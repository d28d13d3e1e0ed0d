#ifndef JASMINELATCH_MESH_START_HISTORY_HPP
#define JASMINELATCH_MESH_START_HISTORY_HPP

#include "instance_record.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

/**
 * @brief Order in which the starts of the instances on one VM first reported, whatever their times.
 *
 * Load pattern: the wall clock of a VM is stepped back while its instance restarts, and a departure of the start before
 * arrives late. By their times it would be of a later start than the one that runs.
 */
class StartHistory
{
public:
    /**
     * @brief Creates an empty history.
     * @param maxCount Number of starts that are remembered.
     */
    explicit StartHistory(std::size_t maxCount);

    /**
     * @brief Records a report in the order of arrival.
     * @param report Report that an instance sent of its own accord.
     */
    auto record(const InstanceReport &report) -> void;

    /**
     * @brief Tells whether the start of one report was heard of before that of another one.
     * @param report Report of the first start.
     * @param other Report of the second start.
     * @return False also if one of the two is not known.
     */
    [[nodiscard]] auto precedes(const InstanceReport &report, const InstanceReport &other) const -> bool;

private:
    /*! @brief Id and start of an instance. */
    struct Start {
        std::string id;
        std::uint64_t timeMs{};

        auto operator==(const Start &) const -> bool = default;
    };

    std::size_t maxCount_;
    std::vector<Start> starts_;
};

} // namespace jasminelatch::mesh

#endif
