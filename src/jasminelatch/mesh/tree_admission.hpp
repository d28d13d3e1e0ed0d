#ifndef JASMINELATCH_MESH_TREE_ADMISSION_HPP
#define JASMINELATCH_MESH_TREE_ADMISSION_HPP

#include "call_learner.hpp"
#include "configuration.hpp"
#include "count_tracker.hpp"
#include "node_report.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

/**
 * @brief Capacity and load of all instances of a service together, in concurrent requests.
 *
 * The number of slots of an instance is how many requests it runs at once. A slot second is the use of one slot for one
 * second.
 */
struct ServiceCapacity {
    double limit{}; /*!< Requests that may run at once. */
    double running{}; /*!< Requests that are running. */
    double queued{}; /*!< Requests that are waiting. */
    std::size_t instances{}; /*!< Instances that accept requests. */
};

/**
 * @brief Admission plan of one kind of request: the requests from clients with a priority rank and a route.
 *
 * A route is a configured rule (`Route`) that maps requests of a host and path prefix to services.
 */
struct KindPlan {
    std::uint32_t rank{}; /*!< Priority rank; zero is the highest. */
    std::string route; /*!< Name of the route in the configuration. */
    double rate{}; /*!< Requests per second offered by clients. */
    double fraction{1.0}; /*!< Fraction of the requests that is admitted. */
    std::map<std::string, double> costs; /*!< Estimated slot seconds that one request and the calls below it need, by
                                              service. */
};

/*! @brief Admission plan of one service. */
struct ServicePlan {
    ServiceCapacity capacity; /*!< Capacity and load at the last update. */
    double planned{}; /*!< Planned load: the concurrent requests that the admitted kinds are expected to cause, that is,
                           the sum of admitted rate times cost. */
    double observed{}; /*!< Moving average of the concurrent requests observed. */
    double plannedFraction{1.0}; /*!< Fraction of the capacity that admission plans with. */
    double overcommit{}; /*!< Factor, at least one, by which the planned load may exceed the capacity that admission
                              plans with. If costs are overestimated, so is the planned load, and capacity stays
                              unused; the factor therefore grows while requests are refused but capacity is unused. */
    bool isOverloaded{}; /*!< Whether requests are refused for lack of its capacity. */
};

/**
 * @brief Decides at the entry which fraction of each kind of request is admitted, so that its whole call tree can run.
 *
 * The entry is the node that receives a request from a client; the call tree is that request with all calls that
 * instances make to run it. The cost of a kind at a service is the time in slot seconds for which one request and the
 * calls below it occupy slots of the service; it is estimated from the profiles (`RouteProfile`) in the nodes' reports.
 *
 * Load pattern: the bottleneck is a service several calls below the entry. Refusing calls there wastes all work above
 * them, so whole requests are shed at the entry before anything has run: the lowest-priority kinds first, and only
 * those whose call trees need an overloaded service.
 */
class TreeAdmission
{
public:
    /*! @brief Tuning parameters; fractions lie between zero and one. */
    struct Settings {
        double targetUtilization{1.1}; /*!< Planned load per unit of the concurrency limit; above one, because arrivals
                                            are uneven and short queues keep the slots in use. */
        double negligibleFraction{0.03}; /*!< Fraction of a service's capacity up to which the load of a kind is left
                                              to the margin of `targetUtilization`: learned costs are never exactly
                                              zero. */
        Duration rateWindow{std::chrono::milliseconds{600}}; /*!< Time constant of the offered rate of a kind. */
        double maxLoad{1.5}; /*!< Running and queued requests per unit of the concurrency limit above which less is
                                  admitted, in proportion. */
        double minPlannedFraction{0.5}; /*!< Lower bound of `plannedFraction`. */
        double highUtilization{0.9}; /*!< Utilization below which admission increases step by step. */
        double overcommitIncrease{1.15}; /*!< Factor by which `overcommit` grows per update while requests are shed
                                              although capacity is unused. */
        double overcommitDecrease{1.5}; /*!< Factor by which `overcommit` shrinks per update once the capacity is
                                             used. */
        double maxOvercommit{16.0}; /*!< Upper bound of `overcommit`, the ratio of planned load to capacity that
                                         admission allows. It is the largest overestimate of costs that `overcommit`
                                         makes up for. A service starts with it, since its costs are not known yet. */
        double utilizationWeight{0.05}; /*!< Weight of the newest interval in the observed utilization. */
        Duration staleAfter{std::chrono::seconds{2}}; /*!< Time without a report after which a node's offered
                                                           requests are ignored. */
    };

    explicit TreeAdmission(Settings settings);

    /**
     * @brief Replaces the routes; the plans of routes that no longer exist are dropped.
     * @param configuration Configuration in force.
     */
    auto setRoutes(const Configuration &configuration) -> void;

    /**
     * @brief Counts a client request that this node has to decide on; call it before `admit`.
     * @param rank Priority rank of the request.
     * @param route Name of its route.
     */
    auto recordOffer(std::uint32_t rank, const std::string &route) -> void;

    /**
     * @brief Decides whether a client request is admitted, spreading refusals evenly over the requests of its kind.
     * @param rank Priority rank of the request.
     * @param route Name of its route.
     * @return Whether it is admitted; true for a kind without a plan.
     */
    [[nodiscard]] auto admit(std::uint32_t rank, const std::string &route) -> bool;

    /**
     * @brief Updates the offered rates and route profiles of a node, this one included.
     * @param report The node's report; reports of earlier sessions are ignored.
     * @param now Current time.
     */
    auto applyReport(const NodeReport &report, TimePoint now) -> void;

    /**
     * @brief Discards the offered rates of a node that another node's report includes from now on.
     * @param name Name of its VM.
     */
    auto removeNode(const std::string &name) -> void;

    /**
     * @brief Recomputes the admitted fraction of every kind.
     * @param capacity Returns capacity and load of a service by name.
     * @param now Current time.
     */
    auto update(const std::function<ServiceCapacity(const std::string &service)> &capacity, TimePoint now) -> void;

    /*! @brief Returns the requests that clients have offered to this node since it started, by kind. */
    [[nodiscard]] auto offered() const -> const std::map<std::string, std::uint64_t> &;

    /**
     * @brief Returns the admitted fraction of a kind of request.
     * @param rank Priority rank.
     * @param route Name of the route.
     * @return Between zero and one; one for a kind without a plan.
     */
    [[nodiscard]] auto admittedFraction(std::uint32_t rank, const std::string &route) const -> double;

    /*! @brief Returns the plans of all kinds of request. */
    [[nodiscard]] auto kinds() const -> std::vector<KindPlan>;

    /*! @brief Returns the route profiles of all nodes together, as of the last update, by route. */
    [[nodiscard]] auto profiles() const -> const std::map<std::string, RouteProfile> &;

    /*! @brief Returns the plans of all services that requests need, by name. */
    [[nodiscard]] auto services() const -> const std::map<std::string, ServicePlan> &;

private:
    using Costs = std::map<std::string, double>; /*!< Slot seconds by service. */

    struct NodeOffers {
        CountTracker counts;
        TimePoint reportedAt;
        std::map<std::string, double> rates;
        std::vector<RouteProfile> profiles;
    };

    struct Kind: KindPlan {
        double credit{};
    };

    auto mergeAllProfiles() -> void;
    auto costsOf(const std::string &route, std::map<std::string, Costs> &evaluated) const -> const Costs &;
    auto aggregateRates(TimePoint now) -> void;
    auto plannedCapacity(const std::string &service, const ServiceCapacity &capacity) -> double;

    Settings settings_;
    std::map<std::string, std::vector<WeightedService>> routes_;
    std::map<std::string, NodeOffers> nodes_;
    std::map<std::string, RouteProfile> profiles_; /*!< Profiles of all nodes together. */
    std::map<std::string, Kind> kinds_;
    std::map<std::string, std::uint64_t> offered_;
    std::map<std::string, ServicePlan> services_;
};

} // namespace jasminelatch::mesh

#endif
