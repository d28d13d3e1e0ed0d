#ifndef JASMINELATCH_SIDECAR_QUARANTINE_STORE_HPP
#define JASMINELATCH_SIDECAR_QUARANTINE_STORE_HPP

#include "decision_log.hpp"
#include "store_writer.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/mesh/crash_tracker.hpp>
#include <jasminelatch/mesh/stored_crash.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace jasminelatch::sidecar {

/**
 * @brief Keeps quarantined requests in the store, where they outlast the end of all nodes.
 *
 * The nodes beside the instances that a request has crashed write it, each with all crashes that it knows. A request
 * that is cleared later is removed.
 *
 * Load pattern: a request that has crashed several instances comes again after all nodes have been killed.
 */
class QuarantineStore
{
public:
    /*! @brief Dependencies; all must outlive this object. */
    struct Context {
        DecisionLog &log; /*!< Records what is written and read. */
        mesh::CrashTracker &crashes; /*!< Requests that were in crashes. */
        StoreWriter &writer; /*!< Writes the items. */
    };

    explicit QuarantineStore(Context context);

    QuarantineStore(const QuarantineStore &) = delete;
    auto operator=(const QuarantineStore &) -> QuarantineStore & = delete;
    ~QuarantineStore() = default;

    /**
     * @brief Writes what has changed since the last call; cheap if nothing has.
     * @param now Current time.
     */
    auto update(TimePoint now) -> void;

    /**
     * @brief Adds a record that was read from the store.
     * @param stored The record.
     * @param now Current time.
     */
    auto merge(const mesh::StoredCrash &stored, TimePoint now) -> void;

    /*! @brief Writes all quarantined requests from now on, since the store may have lost those of nodes that have
     * ended. */
    auto adoptAll() -> void;

private:
    Context context_;
    std::map<mesh::Fingerprint, std::vector<mesh::CrashId>> written_;
    std::uint64_t change_{}; /*!< Last change of the tracker that was looked at. */
    bool isLocalOnly_{true};
};

} // namespace jasminelatch::sidecar

#endif
