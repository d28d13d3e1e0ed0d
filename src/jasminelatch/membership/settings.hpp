#ifndef JASMINELATCH_MEMBERSHIP_SETTINGS_HPP
#define JASMINELATCH_MEMBERSHIP_SETTINGS_HPP

#include <jasminelatch/core/clock.hpp>

#include <chrono>
#include <cstddef>

namespace jasminelatch::membership {

/*! @brief Sizes and times of membership; all nodes of a fleet use the same. */
struct Settings {
    std::size_t cellSize{24}; /*!< Most members of one cell, its holder included. */
    Duration heartbeatInterval{std::chrono::milliseconds{500}}; /*!< Between heartbeats of a member. */
    Duration holderTimeout{std::chrono::milliseconds{1500}}; /*!< Silence after which the holder is looked up again. */
    Duration memberTimeout{std::chrono::seconds{2}}; /*!< Silence after which a member is dropped. */
    Duration massTimeout{std::chrono::seconds{40}}; /*!< The same when most members fall silent together. */
    Duration takeOverGrace{std::chrono::seconds{10}}; /*!< Time for members to find a new holder. */
    Duration abandonTimeout{std::chrono::seconds{20}}; /*!< Silence after which a member joins another cell. */
    Duration writeInterval{std::chrono::seconds{1}}; /*!< Between writes of a cell record that are not urgent. */
    Duration urgentWriteInterval{std::chrono::milliseconds{200}}; /*!< Between writes that announce a departure. */
    Duration watchInterval{std::chrono::milliseconds{500}}; /*!< From the answer of a watch to the next one. */
    Duration watchWait{std::chrono::seconds{30}}; /*!< Longest wait of one watch. */
    Duration storeRetry{std::chrono::seconds{1}}; /*!< First delay after an unanswered store call; it doubles. */
    Duration storeRetryLimit{std::chrono::seconds{4}}; /*!< Longest delay after an unanswered store call. */
    Duration pushInterval{std::chrono::milliseconds{100}}; /*!< Between pushes to the members of a cell. */
    Duration pushRepeatInterval{std::chrono::milliseconds{250}}; /*!< Between repeats of an unacknowledged push. */
    Duration leavingInterval{std::chrono::milliseconds{200}}; /*!< Between repeats of an unanswered `Leaving`. */
    Duration leavingTimeout{std::chrono::seconds{2}}; /*!< Time after which a leaving node waits for nobody. */
    Duration departureMemory{std::chrono::minutes{1}}; /*!< How long late heartbeats of a departed node are refused. */
    Duration dutyInterval{std::chrono::seconds{2}}; /*!< Between assignments of rights to nodes. */
    Duration inspectionInterval{std::chrono::seconds{30}}; /*!< Between inspections of all cells by the first holder. */
    Duration deadCellTimeout{std::chrono::minutes{1}}; /*!< Age of an unrenewed cell lease that makes it suspect. */
    Duration probeTimeout{std::chrono::seconds{5}}; /*!< Time for members of a suspect cell to answer. */
    Duration pauseThreshold{std::chrono::milliseconds{250}}; /*!< Gap between ticks that counts as a pause. */
};

} // namespace jasminelatch::membership

#endif
