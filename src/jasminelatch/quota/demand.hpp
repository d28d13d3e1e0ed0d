#ifndef JASMINELATCH_QUOTA_DEMAND_HPP
#define JASMINELATCH_QUOTA_DEMAND_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>

namespace jasminelatch::quota::internal {

/**
 * @brief Exponentially weighted estimate of a request rate.
 */
class Demand
{
public:
    /*! @brief Counts one request. */
    auto add() -> void { ++pending_; }

    /**
     * @brief Folds the requests counted since the last call into the estimate.
     * @param now Present time.
     */
    auto update(TimePoint now) -> void;

    /**
     * @brief Returns the estimate.
     * @return Requests per second.
     */
    [[nodiscard]] auto perSecond() const noexcept -> double { return perSecond_; }

private:
    double perSecond_{};
    std::uint32_t pending_{};
    TimePoint updated_;
    bool started_{};
};

} // namespace jasminelatch::quota::internal

#endif
