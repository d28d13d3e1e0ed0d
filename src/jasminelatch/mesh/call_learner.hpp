#ifndef JASMINELATCH_MESH_CALL_LEARNER_HPP
#define JASMINELATCH_MESH_CALL_LEARNER_HPP

#include <jasminelatch/core/clock.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief What runs of one route cost at an instance. */
struct RouteProfile {
    std::string route; /*!< Name of the route. */
    double runs{}; /*!< Runs that the figures rest on; old ones count less. */
    Duration runTime{}; /*!< Mean time for which a run holds its slot. */
    std::map<std::string, double> calls; /*!< Mean number of calls that a run makes, by route. */
};

/**
 * @brief Learns which calls the runs of each route make.
 *
 * Load pattern: the narrow service lies hops below the entry, and calls name no parent. A call expires with the run
 * that makes it or earlier: it belongs to the runs under way at the instance whose deadline it shares, or to those that
 * end later where none does. Among those it is attributed out in proportion to the rate at which runs of their route
 * were seen to make such calls; repeated over many calls this settles on the rates under which the calls seen are
 * likeliest.
 */
class CallLearner
{
public:
    /*! @brief Settings of the learner. */
    struct Settings {
        Duration halfLife{std::chrono::seconds{10}}; /*!< Time in which an observation loses half of its weight. */
        double minRuns{3.0}; /*!< Runs below which nothing is told of a route. */
        Duration earlyTolerance{std::chrono::milliseconds{3}}; /*!< A call's deadline may seem this much earlier than
                                                                 its run's: both were cut to whole milliseconds. */
        Duration lateTolerance{std::chrono::milliseconds{12}}; /*!< And this much later: the time left is counted anew
                                                                 from when it arrives, at the instance and back here. */
        double unambiguousWeight{9.0}; /*!< Weight of a call with one possible parent beside one that is attributed out:
                                      about as many are ambiguous, and each spreads over all routes under way. */
    };

    explicit CallLearner(Settings settings);

    /**
     * @brief Notes that a run has begun.
     * @param route Its route.
     * @param deadline Its deadline.
     */
    auto runStarted(const std::string &route, TimePoint deadline) -> void;

    /**
     * @brief Notes that a run has ended.
     * @param route Its route.
     * @param deadline Its deadline.
     * @param time Time for which it held its slot.
     */
    auto runEnded(const std::string &route, TimePoint deadline, Duration time) -> void;

    /**
     * @brief Notes a call that the instance makes.
     * @param route Route of the call.
     * @param deadline Its deadline.
     */
    auto callMade(const std::string &route, TimePoint deadline) -> void;

    /**
     * @brief Lets old observations decay.
     * @param elapsed Time since the last time.
     */
    auto decay(Duration elapsed) -> void;

    /*! @brief Returns what is known. */
    [[nodiscard]] auto profiles() const -> std::vector<RouteProfile>;

private:
    /*! @brief Calls of one route that runs of another were seen to make. */
    struct Calls {
        double attributed{}; /*!< All of them, attributed out where several routes may have made one. */
        double unambiguous{}; /*!< Those that only runs of this route can have made. */
    };

    struct Observed {
        double runs{};
        double seconds{}; /*!< Slot time of the runs that have ended. */
        std::map<std::string, Calls> calls;
    };

    using Runs = std::multimap<TimePoint, std::string>;

    [[nodiscard]] auto callRate(const Observed &observed, const std::string &call) const -> double;
    [[nodiscard]] auto candidateParents(TimePoint deadline) const
        -> std::pair<Runs::const_iterator, Runs::const_iterator>;

    Settings settings_;
    std::map<std::string, Observed> routes_;
    Runs running_; /*!< Routes of the runs under way, by deadline. */
};

/**
 * @brief Adds up what runs cost as several nodes have seen it.
 * @param merged Sum by route; `profiles` are added to it.
 * @param profiles What one node has seen.
 */
auto mergeProfiles(std::map<std::string, RouteProfile> &merged, const std::vector<RouteProfile> &profiles) -> void;

} // namespace jasminelatch::mesh

#endif
