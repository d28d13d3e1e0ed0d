#ifndef JASMINELATCH_MEMBERSHIP_INSPECTOR_HPP
#define JASMINELATCH_MEMBERSHIP_INSPECTOR_HPP

#include "context.hpp"
#include "fleet.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstddef>
#include <map>

namespace jasminelatch::membership::internal {

/**
 * @brief Removes the records of cells that died as a whole.
 *
 * A cell is suspect when its lease stayed unrenewed for long while the store answered throughout. Its members are then
 * asked; one that answers keeps the cell. The holder of the first cell inspects most often, the others ever less, so
 * that the calls of all holders together stay few.
 */
class Inspector
{
public:
    Inspector(const Context &context, LeaseName cell);

    /**
     * @brief Inspects when it is time to.
     * @param fleet The fleet.
     */
    auto tick(const Fleet &fleet) -> void;

    /*! @brief Forgets what was seen: no lease could be renewed while the store was away. */
    auto handleStoreFailure() -> void;

    /**
     * @brief Notes that a suspect cell has a member.
     * @param cell The cell.
     */
    auto handleProbeAnswer(const LeaseName &cell) -> void;

    /*! @brief Ignores a time during which this process did not run. */
    auto skip() -> void { handleStoreFailure(); }

private:
    struct Observation {
        store::Revision lease{};
        TimePoint since;
    };
    struct Suspicion {
        TimePoint since;
        TimePoint nextProbe;
    };

    auto list(const Fleet &fleet) -> void;
    auto handleList(const store::Answer &answer) -> void;
    auto suspect(const Fleet &fleet) -> void;
    auto probe(const Fleet &fleet) -> void;
    auto remove(const LeaseName &cell, const Fleet &fleet) -> void;
    [[nodiscard]] auto delay(const Fleet &fleet) const -> Duration;

    const Context *context_;
    LeaseName cell_;
    StoreGate store_;
    bool busy_{};
    TimePoint nextList_;
    bool scheduled_{};
    bool listed_{};
    std::map<LeaseName, store::Revision> leases_;
    std::map<LeaseName, Observation> observations_;
    std::map<LeaseName, Suspicion> suspicions_;
};

} // namespace jasminelatch::membership::internal

#endif
