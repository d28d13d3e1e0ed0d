#ifndef JASMINELATCH_RETRY_SERVICE_SHARE_HPP
#define JASMINELATCH_RETRY_SERVICE_SHARE_HPP

#include "settings.hpp"

#include <jasminelatch/core/identifier.hpp>

#include <unordered_map>

namespace jasminelatch::retry {

/**
 * @brief Keeps a node's retries of each service to a share of its first attempts.
 */
class ServiceShare
{
public:
    /**
     * @brief Makes it without any dispatched request.
     * @param settings Share, minimum and burst.
     */
    explicit ServiceShare(const Settings &settings);

    /**
     * @brief Counts one first attempt.
     * @param service Service that it was sent to.
     * @param now Present time.
     */
    auto dispatched(const ServiceName &service, TimePoint now) -> void;

    /**
     * @brief Takes one retry.
     * @param service Service to be retried.
     * @param now Present time.
     * @return False when the share is used up.
     */
    [[nodiscard]] auto take(const ServiceName &service, TimePoint now) -> bool;

    /**
     * @brief Returns a retry that was taken and will not be made.
     * @param service Service that it was taken for.
     */
    auto giveBack(const ServiceName &service) -> void;

private:
    struct Level {
        double tokens{};
        TimePoint updated;
    };

    auto levelOf(const ServiceName &service, TimePoint now) -> Level &;

    Settings settings_;
    std::unordered_map<ServiceName, Level> levels_;
};

} // namespace jasminelatch::retry

#endif
