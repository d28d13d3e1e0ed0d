#ifndef JASMINELATCH_MESH_RETRY_BUDGET_HPP
#define JASMINELATCH_MESH_RETRY_BUDGET_HPP

#include <jasminelatch/core/clock.hpp>

#include <map>
#include <string>

namespace jasminelatch::mesh {

/**
 * @brief Retry budget of this node, by service: bounds the requests sent to a second instance.
 *
 * Load pattern: a service fails many requests at once, and each retry adds to its load. The budgets of all nodes add up
 * to less than the bound for the fleet, so that the nodes need not coordinate.
 */
class RetryBudget
{
public:
    /*! @brief Limits of the whole fleet and the fraction of them in use. */
    struct Settings {
        double ratio{0.2}; /*!< Retries of the fleet per request; given by the platform's terms. */
        double slack{40}; /*!< Retries of the fleet per window in addition to the ratio; given by the platform's
                               terms. */
        Duration window{std::chrono::seconds{10}}; /*!< Length of the window; given by the platform's terms. */
        double usedFraction{0.75}; /*!< Fraction of ratio and slack in use; the rest is left for calls made by
                                        retried runs. */
    };

    explicit RetryBudget(Settings settings);

    /**
     * @brief Sets the number of nodes that divide the slack.
     * @param count Number of nodes, including this one.
     */
    auto setNodeCount(std::size_t count) -> void;

    /**
     * @brief Adds the budget that a new request contributes.
     * @param service Service that runs the request.
     * @param now Current time.
     */
    auto recordRequest(const std::string &service, TimePoint now) -> void;

    /**
     * @brief Takes one retry from the budget.
     * @param service Service that runs the request.
     * @param now Current time.
     * @return Whether the request may be retried.
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
