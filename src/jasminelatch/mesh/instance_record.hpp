#ifndef JASMINELATCH_MESH_INSTANCE_RECORD_HPP
#define JASMINELATCH_MESH_INSTANCE_RECORD_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <string>

namespace jasminelatch::mesh {

/*! @brief Lifecycle state that an instance reports to its node. */
enum class InstanceState : std::uint8_t {
    Ready, /*!< Accepts requests. */
    Draining, /*!< Completes its running requests and accepts no new ones. */
    Gone /*!< Has deregistered. */
};

/*! @brief Registration, heartbeat, deregistration or health response that an instance sends to the node beside it. */
struct InstanceReport {
    std::string id; /*!< Instance id. */
    std::string service; /*!< Service that the instance belongs to. */
    std::uint32_t slots{}; /*!< Number of requests that it runs concurrently. */
    InstanceState state{InstanceState::Ready}; /*!< Lifecycle state. */
    Duration coldStartRemaining{}; /*!< Remaining time of the cold start, in which it runs slowly. */
    std::uint64_t sequence{}; /*!< Increases with every report of one process start. */
    std::uint64_t startTimeMs{}; /*!< Process start in Unix milliseconds; zero if not reported. */
};

/**
 * @brief Tells whether two start times of one instance may be the same; zero is unknown and matches any.
 * @param left First start in Unix milliseconds.
 * @param right Second start in Unix milliseconds.
 * @return Whether they do not differ.
 */
[[nodiscard]] auto isSameStart(std::uint64_t left, std::uint64_t right) -> bool;

/**
 * @brief Tells whether two reports come from the same process start; an unknown start time matches any start of the id.
 * @param left First report.
 * @param right Second report.
 * @return Whether the ids are equal and the start times do not differ.
 */
[[nodiscard]] auto isSameStart(const InstanceReport &left, const InstanceReport &right) -> bool;

/**
 * @brief State of the local instance according to its reports; stale reports are ignored.
 *
 * The local instance is the one instance that runs beside this node on the same VM. Its first registration, heartbeat
 * or health response registers it with this node. It stays registered until it deregisters; after that, only a new
 * start of its process registers again.
 *
 * Load pattern: a partition delays a report of an earlier process start until after the next start has registered.
 */
class InstanceRecord
{
public:
    /**
     * @brief Applies a report.
     * @param report Registration, heartbeat or deregistration.
     * @param isRunning Whether its start is known to be running, so that it is not late even if its time is earlier.
     * @return False if the report is stale or concerns another instance, and is ignored.
     */
    auto apply(const InstanceReport &report, bool isRunning = false) -> bool;

    /*! @brief Marks the present start of the instance as draining, since one of its answers says that it is leaving. */
    auto markLeaving() -> void;

    /*! @brief Returns whether the local instance is registered with this node and is not draining. */
    [[nodiscard]] auto isReady() const -> bool;

    /*! @brief Returns the newest report; its id is empty before the first one. */
    [[nodiscard]] auto report() const noexcept -> const InstanceReport &;

private:
    [[nodiscard]] auto isStale(const InstanceReport &report, bool isRunning) const -> bool;

    InstanceReport report_;
};

} // namespace jasminelatch::mesh

#endif
