#ifndef JASMINELATCH_SIDECAR_DEPARTURE_STORE_HPP
#define JASMINELATCH_SIDECAR_DEPARTURE_STORE_HPP

#include "decision_log.hpp"
#include "dialect.hpp"
#include "store_writer.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/mesh/instance_departure.hpp>

#include <span>
#include <string>

namespace jasminelatch::sidecar {

/**
 * @brief Keeps the departures of the instances on this VM in memory and in the store, where they outlast the node.
 *
 * The item of the VM holds all departures that its nodes know, so that a later one does not replace those before.
 *
 * Load pattern: instances leave in a row, the process of their node ends, and reports that they sent before arrive
 * late.
 */
class DepartureStore
{
public:
    /*! @brief Dependencies; all must outlive this object. */
    struct Context {
        DecisionLog &log; /*!< Records departures and unreadable items. */
        StoreWriter &writer; /*!< Writes the item. */
    };

    /**
     * @brief Creates a store that knows no departure.
     * @param context Dependencies.
     * @param vm Name of this VM.
     */
    DepartureStore(Context context, const std::string &vm);

    DepartureStore(const DepartureStore &) = delete;
    auto operator=(const DepartureStore &) -> DepartureStore & = delete;
    ~DepartureStore() = default;

    /**
     * @brief Records a departure; one that is known is written only if this process has not written it.
     * @param report Report that names the instance and its start.
     */
    auto record(const mesh::InstanceReport &report) -> void;

    /**
     * @brief Adds departures that an earlier process of this node has recorded.
     * @param departures Departures as the store holds them.
     */
    auto merge(std::span<const mesh::InstanceDeparture> departures) -> void;

    /**
     * @brief Adds what the store holds in the place of a value that this process tried to write; other items are
     * ignored.
     * @param item Item that an earlier process of this node has written.
     */
    auto mergeConflict(const StoreItem &item) -> void;

    /*! @brief Writes all departures, since an older copy has replaced the store. */
    auto rewrite() -> void;

    /**
     * @brief Waits until the store has all departures that were recorded.
     * @param longest Time after which the wait ends.
     * @param finished Callback; called at once if the store has them. At least one must have been recorded.
     */
    auto whenStored(Duration longest, StoreWriter::Finished finished) -> void;

    /*! @brief Returns all departures that are known. */
    [[nodiscard]] auto known() const noexcept -> const mesh::InstanceDepartures &;

private:
    auto write() -> void;

    Context context_;
    std::string key_;
    mesh::InstanceDepartures departures_{{}};
};

} // namespace jasminelatch::sidecar

#endif
