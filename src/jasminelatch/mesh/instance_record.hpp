#ifndef JASMINELATCH_MESH_INSTANCE_RECORD_HPP
#define JASMINELATCH_MESH_INSTANCE_RECORD_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <string>

namespace jasminelatch::mesh {

/*! @brief State that an instance reports of itself. */
enum class InstanceState : std::uint8_t {
    Ready, /*!< Takes requests. */
    Draining, /*!< Finishes what it has and takes no more. */
    Gone /*!< Has announced its end. */
};

/*! @brief What an instance says of itself. */
struct InstanceReport {
    std::string id; /*!< Id of the instance. */
    std::string service; /*!< Service that it belongs to. */
    std::uint32_t slots{}; /*!< Requests that it runs at once. */
    InstanceState state{InstanceState::Ready}; /*!< Its state. */
    Duration coldStartRemaining{}; /*!< Time for which it stays slow after its start. */
    std::uint64_t sequence{}; /*!< Grows with every report of one start. */
    std::uint64_t startTimeMs{}; /*!< Milliseconds of the time of day of its start; zero if not said. */
};

/**
 * @brief The local instance, as its reports show it; late reports change nothing.
 *
 * Load pattern: a report of an earlier start, held up by a partition, arrives after a new start has registered.
 */
class InstanceRecord
{
public:
    /**
     * @brief Takes a report in.
     * @param report The report.
     * @return False when the report is older than what is known.
     */
    auto apply(const InstanceReport &report) -> bool;

    /*! @brief Tells whether the instance takes new requests. */
    [[nodiscard]] auto isReady() const -> bool;

    /*! @brief Returns the newest report; its id is empty before the first. */
    [[nodiscard]] auto report() const noexcept -> const InstanceReport &;

private:
    [[nodiscard]] auto isStale(const InstanceReport &report) const -> bool;

    InstanceReport report_;
};

} // namespace jasminelatch::mesh

#endif
