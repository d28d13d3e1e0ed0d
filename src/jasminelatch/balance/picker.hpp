#ifndef JASMINELATCH_BALANCE_PICKER_HPP
#define JASMINELATCH_BALANCE_PICKER_HPP

#include <jasminelatch/admission/pressure.hpp>
#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/membership/endpoint.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace jasminelatch::balance {

/*! @brief Settings of the choice of instance. */
struct Settings {
    Duration reportHalfLife{std::chrono::milliseconds{300}}; /*!< Age at which a load report counts half. */
    double ownDomainLoad{0.7}; /*!< Load per limit up to which the own failure domain takes everything. */
    double ownDomainRatio{1.25}; /*!< Above that, largest load of the own domain relative to the others. */
    Duration rampTime{std::chrono::seconds{10}}; /*!< Time in which a cold endpoint grows to its full share. */
    double rampFloor{0.1}; /*!< Share that a cold endpoint starts with. */
    std::uint32_t failuresBeforeAvoidance{3}; /*!< Failures in a row that count like one silence. */
    Duration firstAvoidance{std::chrono::milliseconds{500}}; /*!< Length of the first avoidance; it doubles. */
    Duration longestAvoidance{std::chrono::seconds{16}}; /*!< Upper bound of one avoidance. */
    Duration probeTimeout{std::chrono::seconds{2}}; /*!< Time after which an unanswered probe may be repeated. */
};

/*! @brief How a request to an endpoint ended. */
enum class Result : std::uint8_t {
    Ok, /*!< Answered. */
    Refused, /*!< Refused for want of capacity; no fault of the endpoint. */
    Failed, /*!< Answered with a server error. */
    Silent /*!< No answer: connection lost or silent. */
};

/**
 * @brief Chooses the instance of a service that a request goes to.
 *
 * Two random choices on load per limit, in the own failure domain while that copes. Draining endpoints are never
 * chosen, cold ones get a growing share, failed ones are avoided for a growing time and then probed.
 */
class Picker
{
public:
    /**
     * @brief Creates a picker that knows no endpoints.
     * @param settings Settings.
     * @param own Failure domain of this node.
     * @param clock Clock; must outlive the picker.
     * @param counters Counters; must outlive the picker.
     * @param random Source of random numbers.
     */
    Picker(Settings settings, FailureDomain own, const Clock &clock, Counters &counters, std::mt19937_64 random);

    /**
     * @brief Replaces the endpoints of a service; what is known of those that stay is kept.
     * @param service The service.
     * @param endpoints All its endpoints.
     */
    auto setEndpoints(const ServiceName &service, std::vector<membership::Endpoint> endpoints) -> void;

    /**
     * @brief Chooses an endpoint.
     * @param service The service.
     * @param exclude Nodes not to choose.
     * @return Node beside the endpoint, or nothing when every one is excluded or draining.
     */
    [[nodiscard]] auto pick(const ServiceName &service, std::span<const NodeAddress> exclude)
        -> std::optional<NodeAddress>;

    /**
     * @brief Tells that a request was sent.
     * @param node Where to; an unknown node is ignored.
     */
    auto started(const NodeAddress &node) -> void;

    /**
     * @brief Tells that a request ended.
     * @param node Where it was sent to; an unknown node is ignored.
     * @param result How it ended.
     * @param pressure Load report on the answer, if any.
     */
    auto finished(const NodeAddress &node, Result result, const std::optional<admission::Pressure> &pressure) -> void;

    /**
     * @brief Returns the requests of this node that an endpoint has.
     * @param node The node.
     * @return Number started and not finished; zero for an unknown node.
     */
    [[nodiscard]] auto inFlight(const NodeAddress &node) const -> std::uint32_t;

private:
    struct Candidate {
        const membership::Endpoint *endpoint{};
        double load{}; /*!< Requests at the endpoint, as estimated. */
        double capacity{}; /*!< Requests it can run at once, as estimated. */
    };

    /*! @brief What is known of one endpoint besides its announcement. */
    struct Track {
        std::uint32_t inFlight{};
        std::optional<admission::Pressure> report;
        std::uint32_t inFlightAtReport{};
        TimePoint reportAt;
        std::optional<TimePoint> coldSince;
        std::uint32_t failures{};
        std::uint32_t avoidances{};
        std::optional<TimePoint> avoidedUntil;
        std::optional<TimePoint> probeAt;
    };

    auto avoid(Track &track) -> void;
    auto endAvoidance(Track &track) const -> void;
    [[nodiscard]] auto candidates(const std::vector<membership::Endpoint> &endpoints,
                                  std::span<const NodeAddress> exclude,
                                  bool includeAvoided) const -> std::vector<Candidate>;
    [[nodiscard]] auto candidate(const membership::Endpoint &endpoint, const Track &track) const -> Candidate;
    [[nodiscard]] auto rampShare(const Track &track) const -> double;
    [[nodiscard]] auto isAvoided(const Track &track) const -> bool;
    [[nodiscard]] auto preferOwnDomain(std::vector<Candidate> all) const -> std::vector<Candidate>;
    [[nodiscard]] auto draw(std::span<const Candidate> candidates, const Candidate *without) -> const Candidate &;
    [[nodiscard]] auto drawBetter(std::span<const Candidate> candidates) -> const Candidate &;

    Settings settings_;
    FailureDomain own_;
    const Clock *clock_;
    Counters *counters_;
    std::mt19937_64 random_;
    std::map<ServiceName, std::vector<membership::Endpoint>> endpoints_;
    std::map<NodeAddress, Track> tracks_;
};

} // namespace jasminelatch::balance

#endif
