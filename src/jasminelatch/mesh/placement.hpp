#ifndef JASMINELATCH_MESH_PLACEMENT_HPP
#define JASMINELATCH_MESH_PLACEMENT_HPP

#include "node_report.hpp"
#include "tree_admission.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

/**
 * @brief Chooses the instance for a request: the one expected to finish it first, near ones before far ones.
 *
 * Load pattern: instances of a service differ in speed up to threefold, start cold, fill up and fail one by one.
 * A record of the store says who is there; reports of nodes say how busy they are; this node adds what it has inFlight.
 */
class Placement
{
public:
    /*! @brief Settings of the choice. */
    struct Settings {
        Duration crossDomainPenalty{
            std::chrono::milliseconds{4}}; /*!< Run time that leaving the own domain is worth. */
        double crossDomainPenaltyFraction{0.4}; /*!< Part of its run time by which a request may take longer in the own
                                        domain: twice the random factor, so that bytes stay there while it copes. */
        double coldFactor{2.0}; /*!< Run time of a cold instance relative to a warm one. */
        Duration firstEjection{std::chrono::milliseconds{500}}; /*!< Pause after a failure; doubles in a row. */
        Duration maxEjection{std::chrono::seconds{8}}; /*!< Longest pause. */
        std::uint32_t failuresBeforeEjection{3}; /*!< Failures in a row that make a pause. */
        Duration defaultRunTime{std::chrono::milliseconds{50}}; /*!< Run time in a service not heard of. */
        double queuePenalty{6.0}; /*!< Run times that a queue as long as the limit counts; others may be put before. */
        double explorationFraction{
            0.02}; /*!< Part of requests that go anywhere, so that new and mended instances are seen. */
    };

    /**
     * @brief Makes a choice without members.
     * @param settings Settings.
     * @param ownDomain Failure domain of this node.
     * @param seed Seed of the random draw.
     */
    Placement(Settings settings, std::string ownDomain, std::uint64_t seed);

    /**
     * @brief Adds a member or replaces what is known of it.
     * @param member The member.
     * @param now Present time.
     */
    auto setMember(const Member &member, TimePoint now) -> void;

    /**
     * @brief Forgets a member.
     * @param name Name of its VM.
     */
    auto removeMember(const std::string &name) -> void;

    /**
     * @brief Notes whether a member's node answers; one that doesn't counts as no capacity and is chosen last.
     * @param name Name of its VM.
     * @param isReachable Whether it has answered lately.
     */
    auto setReachable(const std::string &name, bool isReachable) -> void;

    /**
     * @brief Takes in a node's report on its instance.
     * @param report The report.
     */
    auto applyReport(const NodeReport &report) -> void;

    /**
     * @brief Takes in what a relay says of the instance beside another node.
     * @param status Its state.
     */
    auto applyStatus(const InstanceStatus &status) -> void;

    /**
     * @brief Chooses a member.
     * @param service Service that shall run the request.
     * @param exclude Names that were tried.
     * @param now Present time.
     * @return The member, or null when none accepts requests.
     */
    [[nodiscard]] auto choose(const std::string &service, std::span<const std::string> exclude, TimePoint now)
        -> const Member *;

    /**
     * @brief Notes that a request was inFlight.
     * @param name Member that it was inFlight to.
     */
    auto started(const std::string &name) -> void;

    /**
     * @brief Notes how a request ended.
     * @param name Member that it was inFlight to.
     * @param failed Whether the instance or its node failed it.
     * @param load Load that came with the reply; a limit of zero says nothing.
     * @param now Present time.
     */
    auto finished(const std::string &name, bool failed, const InstanceLoad &load, TimePoint now) -> void;

    /**
     * @brief Adds up the capacity at the instances of a service that accept requests and can be reached.
     * @param service Name of the service.
     * @return The capacity.
     */
    [[nodiscard]] auto capacity(const std::string &service) const -> ServiceCapacity;

private:
    struct Endpoint {
        Member member;
        TimePoint coldUntil;
        InstanceLoad load;
        std::uint32_t inFlight{}; /*!< Requests of this node that are not answered yet. */
        std::uint32_t inFlightAtReport{}; /*!< The same when the load was reported. */
        std::uint32_t failures{};
        std::uint32_t ejections{};
        TimePoint ejectedUntil;
        bool isReachable{true};
    };

    [[nodiscard]] auto meanRunTime(const std::string &service) const -> Duration;
    [[nodiscard]] auto expectedTime(const Endpoint &endpoint, Duration meanRunTime, TimePoint now) const -> double;
    static auto updateLoad(Endpoint &endpoint, const InstanceLoad &load) -> void;

    Settings settings_;
    std::string ownDomain_;
    std::mt19937_64 random_;
    std::map<std::string, Endpoint> endpoints_;
};

} // namespace jasminelatch::mesh

#endif
