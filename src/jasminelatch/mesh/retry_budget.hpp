#ifndef JASMINELATCH_MESH_RETRY_BUDGET_HPP
#define JASMINELATCH_MESH_RETRY_BUDGET_HPP

#include <jasminelatch/core/clock.hpp>

#include <map>
#include <string>

namespace jasminelatch::mesh {

/**
 * @brief Bounds how many requests this node sends to a second instance, by service.
 *
 * Load pattern: a service fails many requests at once, and each repeat would add to its load. The shares of all nodes
 * add up to less than the bound of the fleet, so that no messages are needed.
 */
class RetryBudget
{
public:
    /*! @brief Settings of the budget. */
    struct Settings {
        double ratio{0.2}; /*!< Repeats of the fleet per request; from the platform's terms. */
        double slack{40}; /*!< Repeats of the fleet in a window beyond the ratio; from the platform's terms. */
        Duration window{std::chrono::seconds{10}}; /*!< Length of the window; from the platform's terms. */
        double usedFraction{0.75}; /*!< Part of ratio and slack in use; the rest is for calls of repeated runs. */
    };

    explicit RetryBudget(Settings settings);

    /**
     * @brief Sets the number of nodes that bucket the slack.
     * @param count Number of nodes, with this one.
     */
    auto setNodeCount(std::size_t count) -> void;

    /**
     * @brief Notes a request for a service.
     * @param service Name of the service.
     * @param now Present time.
     */
    auto recordRequest(const std::string &service, TimePoint now) -> void;

    /**
     * @brief Takes one repeat from the budget.
     * @param service Name of the service.
     * @param now Present time.
     * @return Whether the request may be repeated.
     */
    auto spend(const std::string &service, TimePoint now) -> bool;

private:
    struct Bucket {
        double tokens{};
        TimePoint refilledAt;
    };

    auto refilledBucket(const std::string &service, TimePoint now) -> Bucket &;

    Settings settings_;
    std::size_t nodeCount_{1};
    std::map<std::string, Bucket> buckets_;
};

} // namespace jasminelatch::mesh

#endif
