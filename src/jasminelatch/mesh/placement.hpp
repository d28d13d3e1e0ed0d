#ifndef JASMINELATCH_MESH_PLACEMENT_HPP
#define JASMINELATCH_MESH_PLACEMENT_HPP

#include "node_report.hpp"
#include "tree_admission.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Why an instance is selected, or is not. */
enum class CandidateState : std::uint8_t {
    Healthy, /*!< It may be selected. */
    LastResort, /*!< It is ejected or unreachable, and there is no healthy instance. */
    Ejected, /*!< It has failed several requests in a row. */
    Unreachable, /*!< Its node does not respond. */
    NotAccepting, /*!< Its node says that it accepts no requests. */
    Leaving, /*!< It has said that it is leaving. */
    Evacuated /*!< Its failure domain is evacuated. */
};

/*! @brief Instance of a service as `Placement` sees it. */
struct PlacementCandidate {
    Member member; /*!< Record of its node. */
    CandidateState state{}; /*!< Whether it may be selected. */
    InstanceLoad load; /*!< Load as last reported; a limit of zero means unknown. */
    std::uint32_t limit{}; /*!< Concurrency limit that counts. */
    std::uint32_t inFlight{}; /*!< Requests of this node without a reply. */
    Duration expectedTime{}; /*!< Cost of sending it a request, in time; the least is selected. */
};

/**
 * @brief Returns the name of a state in explanations.
 * @param state State of a candidate.
 * @return Lower-case words joined by underscores.
 */
[[nodiscard]] auto toText(CandidateState state) -> std::string_view;

/*! @brief Returns whether requests are sent to an instance in this state. */
[[nodiscard]] auto isSelectable(CandidateState state) -> bool;

/**
 * @brief Selects the instance for a request: the one expected to finish it first, with a preference for the own failure
 * domain.
 *
 * Load pattern: instances of a service differ in speed by up to a factor of three, start cold, fill up and fail
 * individually. Records in the store list the instances, reports of their nodes give their load, and this node adds the
 * requests that it has sent since.
 */
class Placement
{
public:
    /*! @brief Tuning parameters of the selection. */
    struct Settings {
        Duration crossDomainPenalty{std::chrono::milliseconds{4}}; /*!< Fixed run time penalty for instances in other
                                                                        failure domains. */
        double crossDomainPenaltyFraction{0.4}; /*!< Penalty for other failure domains as a fraction of the run time:
                                                     twice the random factor, so that traffic stays in the own domain
                                                     while it has capacity. */
        double coldFactor{2.0}; /*!< Run time of a cold instance relative to a warm one. */
        Duration firstEjection{std::chrono::milliseconds{500}}; /*!< First ejection time after repeated failures;
                                                                     doubles with each ejection in a row. */
        Duration maxEjection{std::chrono::seconds{8}}; /*!< Upper bound of the ejection time. */
        std::uint32_t failuresBeforeEjection{3}; /*!< Consecutive failures that eject an instance. */
        Duration defaultRunTime{std::chrono::milliseconds{50}}; /*!< Run time assumed for a service without reports. */
        double queuePenalty{6.0}; /*!< Run times that a queue as long as the limit counts as; requests of higher rank
                                       may overtake. */
        Duration departureMemory{std::chrono::minutes{10}}; /*!< Time for which an instance that was said to leave is
                                                                 not selected; longer than any drain. */
        std::size_t membersPerTrial{4}; /*!< One in this many instances gets requests that may crash it. */
        double maxSparedLoad{0.8}; /*!< Fraction of the limit of the instances that are not put at risk which the load
                                        of the service may reach. */
        double explorationFraction{0.02}; /*!< Fraction of requests sent to a random instance, so that new and
                                               recovered instances get traffic. */
    };

    /**
     * @brief Creates a selection without members.
     * @param settings Tuning parameters.
     * @param ownDomain Failure domain of this node.
     * @param seed Seed of the random number generator.
     */
    Placement(Settings settings, std::string ownDomain, std::uint64_t seed);

    /**
     * @brief Adds or replaces a member; load and failures are reset if its node or instance has restarted.
     * @param member Record of the member.
     * @param now Current time.
     */
    auto setMember(const Member &member, TimePoint now) -> void;

    /**
     * @brief Removes a member.
     * @param name Name of its VM.
     */
    auto removeMember(const std::string &name) -> void;

    /**
     * @brief Sets whether a member's node responds; an unreachable one adds no capacity and is selected last.
     * @param name Name of its VM.
     * @param isReachable Whether the node has responded recently.
     */
    auto setReachable(const std::string &name, bool isReachable) -> void;

    /**
     * @brief Excludes an instance that says that it is leaving, whatever its node reports later.
     *
     * Load pattern: the node beside a leaving instance restarts, has forgotten the departure, and reports that the
     * instance accepts requests. Another start of the instance is not excluded.
     * @param name Name of its VM.
     * @param instanceId Id of the instance.
     * @param instanceStartMs Start of the instance when the request was sent to it, in Unix milliseconds; zero, which
     * matches every start, if unknown.
     * @param now Current time.
     */
    auto
    markLeaving(const std::string &name, const std::string &instanceId, std::uint64_t instanceStartMs, TimePoint now)
        -> void;

    /**
     * @brief Sets the failure domains whose instances get no requests.
     *
     * Load pattern: operators empty a failure domain, and later take it back.
     * @param domains Names of the failure domains.
     */
    auto setEvacuated(std::set<std::string> domains) -> void;

    /**
     * @brief Updates load and state of an instance from its node's report.
     * @param report The report; ignored if it belongs to another incarnation.
     */
    auto applyReport(const NodeReport &report) -> void;

    /**
     * @brief Updates load and state of an instance from a relay's report.
     * @param status State of the instance; ignored if it belongs to another incarnation.
     */
    auto applyStatus(const InstanceStatus &status) -> void;

    /**
     * @brief Selects a member for a request.
     * @param service Service that runs the request.
     * @param exclude Names of members that were already tried.
     * @param now Current time.
     * @return The member, or null if none accepts requests.
     */
    [[nodiscard]] auto choose(const std::string &service, std::span<const std::string> exclude, TimePoint now)
        -> const Member *;

    /**
     * @brief Lists the instances of a service and what selecting each would cost, without selecting one.
     * @param service Name of the service.
     * @param now Current time.
     * @return Those that may be selected come first, the cheapest before the others; the choice between instances that
     * cost nearly the same is random.
     */
    [[nodiscard]] auto candidates(const std::string &service, TimePoint now) const -> std::vector<PlacementCandidate>;

    /**
     * @brief Selects a member for a request that may crash the instance that runs it.
     *
     * All nodes select from the same few members, so that few instances are lost before the request is identified, and
     * the last instance that is left of a service is spared.
     * @param service Service that runs the request.
     * @param exclude Names of members that were already tried.
     * @param mustSpareCapacity Whether an instance is put at risk only if the others could serve the present load, as
     * long as some instance is down.
     * @param now Current time.
     * @return The member, or null if none may be put at risk.
     */
    [[nodiscard]] auto chooseForSuspect(const std::string &service,
                                        std::span<const std::string> exclude,
                                        bool mustSpareCapacity,
                                        TimePoint now) -> const Member *;

    /**
     * @brief Excludes an instance that has crashed until its node reports on it.
     * @param name Name of its VM.
     */
    auto markDown(const std::string &name) -> void;

    /**
     * @brief Counts a request as in flight.
     * @param name Name of the member that it was sent to.
     */
    auto started(const std::string &name) -> void;

    /**
     * @brief Records the end of a request.
     * @param name Name of the member that it was sent to.
     * @param failed Whether the instance or its node failed the request.
     * @param load Load reported with the reply; a limit of zero means unknown.
     * @param now Current time.
     */
    auto finished(const std::string &name, bool failed, const InstanceLoad &load, TimePoint now) -> void;

    /**
     * @brief Sums up capacity and load of the reachable instances of a service that accept requests.
     * @param service Name of the service.
     * @return Capacity and load.
     */
    [[nodiscard]] auto capacity(const std::string &service) const -> ServiceCapacity;

private:
    struct Endpoint {
        Member member;
        TimePoint coldUntil;
        InstanceLoad load;
        std::uint32_t inFlight{}; /*!< Requests of this node without a reply. */
        std::uint32_t inFlightAtReport{}; /*!< Value of `inFlight` when the load was reported. */
        std::uint32_t failures{};
        std::uint32_t ejections{};
        TimePoint ejectedUntil;
        bool isReachable{true};
    };

    /*! @brief Start of an instance that has said that it is leaving. */
    struct Departure {
        std::string instanceId;
        std::uint64_t instanceStartMs{}; /*!< Zero if unknown, which matches every start. */
        TimePoint at;
    };

    [[nodiscard]] auto hasDeparted(const Member &member) const -> bool;
    [[nodiscard]] auto accepts(const Endpoint &endpoint) const -> bool;
    [[nodiscard]] auto stateOf(const Endpoint &endpoint, TimePoint now) const -> CandidateState;
    [[nodiscard]] auto fastest(std::span<const Endpoint *const> candidates, const std::string &service, TimePoint now)
        -> const Member *;
    [[nodiscard]] static auto limitOf(const Endpoint &endpoint) -> std::uint32_t;
    [[nodiscard]] auto meanRunTime(const std::string &service) const -> Duration;
    [[nodiscard]] auto expectedTime(const Endpoint &endpoint, Duration meanRunTime, TimePoint now) const -> double;
    static auto updateLoad(Endpoint &endpoint, const InstanceLoad &load) -> void;

    Settings settings_;
    std::string ownDomain_;
    std::mt19937_64 random_;
    std::map<std::string, Endpoint> endpoints_;
    std::set<std::string> evacuated_; /*!< Failure domains whose instances get no requests. */
    std::map<std::string, std::vector<Departure>> departures_; /*!< By name of the VM; outlives its endpoint. */
};

} // namespace jasminelatch::mesh

#endif
