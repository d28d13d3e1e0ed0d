#ifndef JASMINELATCH_MESH_TREE_ADMISSION_HPP
#define JASMINELATCH_MESH_TREE_ADMISSION_HPP

#include "call_learner.hpp"
#include "configuration.hpp"
#include "count_tracker.hpp"
#include "node_report.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Room at all instances of a service. */
struct ServiceCapacity {
    double limit{}; /*!< Requests that may run at once. */
    double running{}; /*!< Requests that run. */
    double queued{}; /*!< Requests that wait. */
};

/*! @brief What is planned with a kind of request. */
struct KindPlan {
    std::uint32_t rank{}; /*!< Its rank. */
    std::string route; /*!< Its route. */
    double rate{}; /*!< Requests per second that clients offer. */
    double fraction{1.0}; /*!< Part of them that may start. */
    std::map<std::string, double> costs; /*!< Slot seconds that one of them is believed to need, by service. */
};

/*! @brief What is planned with a service. */
struct ServicePlan {
    ServiceCapacity capacity; /*!< Room as last observed. */
    double planned{}; /*!< Running requests that the admitted kinds should cause, over some time. */
    double observed{}; /*!< Running requests observed, over some time. */
    double plannedFraction{1.0}; /*!< Part of the capacity that is planned with. */
    double overcommit{}; /*!< Factor for capacity that is planned with but not used. */
    bool isOverloaded{}; /*!< Whether requests are turned away for want of its capacity. */
};

/**
 * @brief Decides at the entry which fraction of each kind of request may start, so that whole trees of calls fit.
 *
 * Load pattern: a service hops below the entry is the narrowest. Turning its calls away wastes all work above them, so
 * whole requests are turned away instead, before anything has run: the least urgent kinds first, and only those whose
 * calls need a service that is short of capacity.
 */
class TreeAdmission
{
public:
    /*! @brief Settings of the admission. */
    struct Settings {
        double targetUtilization{
            0.97}; /*!< Part of a service's capacity to fill; the rest takes up clumps of arrivals. */
        double negligibleFraction{0.03}; /*!< Part of a service's capacity up to which a kind's need there is left to
                                        the rest that `targetUtilization` leaves: learned costs are never quite zero. */
        Duration rateWindow{std::chrono::milliseconds{600}}; /*!< Time over which a kind's rate is taken. */
        double queueThreshold{0.25}; /*!< Waiting requests per running one above which less is let in. */
        double plannedFractionStep{
            0.03}; /*!< Room taken away in a step while too many wait, and given back otherwise. */
        double minPlannedFraction{
            0.5}; /*!< Smallest fraction of the capacity that is planned with under plannedFraction. */
        double highUtilization{0.8}; /*!< Part of the capacity in use below which more is let in, step by step. */
        double overcommitIncrease{1.25}; /*!< Factor by which more is let in at a step while requests are turned away
                                     for want of capacity that isn't used. */
        double overcommitDecrease{1.5}; /*!< Factor by which that is taken back at a step once the capacity is used. */
        double maxOvercommit{16.0}; /*!< Largest product of these factors: the most that costs are overestimated. A
                                     service begins with it, since its costs aren't known then. */
        double utilizationWeight{0.15}; /*!< Weight of the newest interval in planned and observed use. */
        double minBias{0.7}; /*!< Smallest planned use per observed use that is believed. */
        double maxBias{1.6}; /*!< Largest one. */
        Duration staleAfter{std::chrono::seconds{2}}; /*!< Silence after which a node's offers count no more. */
    };

    explicit TreeAdmission(Settings settings);

    /**
     * @brief Takes over the routes of a configuration.
     * @param configuration The configuration.
     */
    auto setRoutes(const Configuration &configuration) -> void;

    /**
     * @brief Notes a request of a client that this node has to decide on.
     * @param rank Its rank.
     * @param route Its route.
     */
    auto recordOffer(std::uint32_t rank, const std::string &route) -> void;

    /**
     * @brief Decides on it.
     * @param rank Its rank.
     * @param route Its route.
     * @return Whether it may start.
     */
    [[nodiscard]] auto admit(std::uint32_t rank, const std::string &route) -> bool;

    /**
     * @brief Takes in a report, this node's own included.
     * @param report The report.
     * @param now Present time.
     */
    auto applyReport(const NodeReport &report, TimePoint now) -> void;

    /**
     * @brief Forgets a node whose offers another one tells from now on.
     * @param name Name of its VM.
     */
    auto removeNode(const std::string &name) -> void;

    /**
     * @brief Works out anew which fraction of each kind may start.
     * @param capacity Room of a service; called with its name.
     * @param now Present time.
     */
    auto update(const std::function<ServiceCapacity(const std::string &service)> &capacity, TimePoint now) -> void;

    /*! @brief Returns the requests that clients have offered to this node since its start, by kind. */
    [[nodiscard]] auto offered() const -> const std::map<std::string, std::uint64_t> &;

    /**
     * @brief Returns the fraction of a kind that may start.
     * @param rank Its rank.
     * @param route Its route.
     * @return Between zero and one.
     */
    [[nodiscard]] auto admittedFraction(std::uint32_t rank, const std::string &route) const -> double;

    /*! @brief Returns the plan of every kind of request. */
    [[nodiscard]] auto kinds() const -> std::vector<KindPlan>;

    /*! @brief Returns the plan of every service that requests need. */
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

    [[nodiscard]] auto mergedProfiles() const -> std::map<std::string, RouteProfile>;
    auto costsOf(const std::string &route,
                 const std::map<std::string, RouteProfile> &profiles,
                 std::map<std::string, Costs> &known) const -> const Costs &;
    auto aggregateRates(TimePoint now) -> void;
    auto plannedCapacity(const std::string &service, const ServiceCapacity &capacity) -> double;

    Settings settings_;
    std::map<std::string, std::vector<WeightedService>> routes_;
    std::map<std::string, NodeOffers> nodes_;
    std::map<std::string, Kind> kinds_;
    std::map<std::string, std::uint64_t> offered_;
    std::map<std::string, ServicePlan> services_;
};

} // namespace jasminelatch::mesh

#endif
