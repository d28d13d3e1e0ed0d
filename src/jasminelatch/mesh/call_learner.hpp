#ifndef JASMINELATCH_MESH_CALL_LEARNER_HPP
#define JASMINELATCH_MESH_CALL_LEARNER_HPP

#include <jasminelatch/core/clock.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::mesh {

/**
 * @brief Profile of a route: how long its runs take and which calls they make, on average.
 *
 * A route is a configured rule (`Route`) that maps requests of a host and path prefix to services. A run is the
 * execution of one request by an instance: it starts when the node beside the instance sends it the request, and ends
 * when the response is complete, the connection fails, or the request is cancelled or reaches its deadline. While it
 * lasts, it occupies a slot of the instance; the number of slots is how many requests an instance executes at once. A
 * call is a request that an instance sends through its node during a run.
 */
struct RouteProfile {
    std::string route; /*!< Name of the route in the configuration. */
    double runs{}; /*!< Number of ended runs that the averages are taken over; a run counts less as it ages. */
    Duration runTime{}; /*!< Mean time that a run occupies a slot. */
    std::map<std::string, double> calls; /*!< Mean number of calls per run, by route of the call. */
};

/**
 * @brief Learns from deadlines which calls the runs of each route make at the local instance.
 *
 * `RouteProfile` explains what runs, calls and slots are.
 *
 * Load pattern: the bottleneck is several calls below the entry, and calls do not name their parent. The deadline of a
 * run is that of its request: the time after which the sender of the request no longer waits for the response. The
 * deadline of a call is the time after which the instance no longer waits for its response. A call expires with the run
 * that makes it, or earlier. It is attributed to the current runs of the instance with the same deadline or, if there
 * are none, to those with a later deadline. Among several candidates a call is split in proportion to the rate at which
 * runs of their routes have made such calls; over many calls this converges to the maximum likelihood estimate of the
 * rates.
 */
class CallLearner
{
public:
    /*! @brief Half-life, deadline tolerances and weights of the estimate. */
    struct Settings {
        Duration halfLife{std::chrono::seconds{10}}; /*!< Time in which an observation loses half of its weight. */
        double minRuns{3.0}; /*!< Value of `RouteProfile::runs` below which a route is left out of `profiles`. */
        Duration earlyTolerance{std::chrono::milliseconds{3}}; /*!< How much earlier a call's deadline may be than
                                                                    its run's, because both are truncated to whole
                                                                    milliseconds. */
        Duration lateTolerance{std::chrono::milliseconds{12}}; /*!< How much later it may be, because the time left
                                                                    is restarted on arrival, at the instance and back
                                                                    at this node. */
        double unambiguousWeight{9.0}; /*!< Weight of a call with a single candidate relative to one that is split:
                                            about as many calls are ambiguous, and each spreads over all running
                                            routes. */
    };

    explicit CallLearner(Settings settings);

    /**
     * @brief Records that the local instance starts to run a request.
     * @param route Name of the request's route.
     * @param deadline Deadline of the request.
     */
    auto runStarted(const std::string &route, TimePoint deadline) -> void;

    /**
     * @brief Records the end of a run, with or without a complete response.
     * @param route Route passed to `runStarted`.
     * @param deadline Deadline passed to `runStarted`.
     * @param time Time that the run occupied a slot.
     */
    auto runEnded(const std::string &route, TimePoint deadline, Duration time) -> void;

    /**
     * @brief Attributes a call of the local instance to the runs that may have made it.
     * @param route Name of the call's route.
     * @param deadline Deadline of the call.
     */
    auto callMade(const std::string &route, TimePoint deadline) -> void;

    /**
     * @brief Reduces the weight of earlier observations.
     * @param elapsed Time since the previous call.
     */
    auto decay(Duration elapsed) -> void;

    /*! @brief Returns the profiles of all routes with at least `minRuns` runs. */
    [[nodiscard]] auto profiles() const -> std::vector<RouteProfile>;

private:
    /*! @brief Calls to one route attributed to the runs of another. */
    struct Calls {
        double attributed{}; /*!< All calls, with fractions where several routes may have made one. */
        double unambiguous{}; /*!< Calls that only runs of this route can have made. */
    };

    struct Observed {
        double runs{};
        double seconds{}; /*!< Total time that the ended runs have occupied slots, in seconds. */
        std::map<std::string, Calls> calls;
    };

    using Runs = std::multimap<TimePoint, std::string>;

    [[nodiscard]] auto callRate(const Observed &observed, const std::string &call) const -> double;
    [[nodiscard]] auto candidateParents(TimePoint deadline) const
        -> std::pair<Runs::const_iterator, Runs::const_iterator>;

    Settings settings_;
    std::map<std::string, Observed> routes_;
    Runs running_; /*!< One entry per run that has not ended: the name of its route, by the run's deadline. */
};

/**
 * @brief Merges the profiles of one node into those of several, weighted by the number of runs.
 * @param merged Merged profiles by route, to be updated.
 * @param profiles Profiles of one node.
 */
auto mergeProfiles(std::map<std::string, RouteProfile> &merged, const std::vector<RouteProfile> &profiles) -> void;

} // namespace jasminelatch::mesh

#endif
