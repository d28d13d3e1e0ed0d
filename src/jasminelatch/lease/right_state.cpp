#include "right_state.hpp"

#include <algorithm>

namespace jasminelatch::lease::internal {

auto RightState::possibleSuccessors() const -> std::set<NodeAddress>
{
    std::set<NodeAddress> successors;
    if (record && !record->successor.empty()) {
        successors.insert(record->successor);
    }
    for (const auto &write : unresolved) {
        if (!write.record.successor.empty()) {
            successors.insert(write.record.successor);
        }
    }
    return successors;
}

auto RightState::promiseSupportUntil() const -> TimePoint
{
    const auto successors = possibleSuccessors();
    if (successors.empty()) {
        return {};
    }
    auto until = TimePoint::max();
    for (const auto &successor : successors) {
        const auto promise = promisesUntil.find(successor);
        until = std::min(until, promise == promisesUntil.end() ? TimePoint{} : promise->second);
    }
    return until;
}

auto RightState::supportUntil(const bool promisesEnabled) const -> TimePoint
{
    if (!promisesEnabled) {
        return storeLeaseUntil;
    }
    return std::max(storeLeaseUntil, promiseSupportUntil());
}

} // namespace jasminelatch::lease::internal
