#ifndef JASMINELATCH_ADMISSION_UPSTREAM_GATE_HPP
#define JASMINELATCH_ADMISSION_UPSTREAM_GATE_HPP

#include "pressure.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/refusal.hpp>
#include <jasminelatch/record/records.hpp>

#include <array>
#include <map>
#include <optional>
#include <random>

namespace jasminelatch::admission {

/**
 * @brief Refuses requests to an overloaded service at the calling node, before any work is spent on them.
 *
 * It learns the pressure of each service from the load reports on its answers. Reports fade with age, and a small share
 * of requests passes whatever the level, so the gate opens again by itself.
 */
class UpstreamGate
{
public:
    /**
     * @brief Creates a gate that is open.
     * @param settings Settings.
     * @param clock Clock; must outlive the gate.
     * @param counters Counters; must outlive the gate.
     * @param random Source of random numbers.
     */
    UpstreamGate(GateSettings settings, const Clock &clock, Counters &counters, std::mt19937_64 random);

    /**
     * @brief Takes in a load report.
     * @param service Service of the instance.
     * @param instance Node beside the instance.
     * @param pressure Its pressure.
     */
    auto report(const ServiceName &service, const NodeAddress &instance, const Pressure &pressure) -> void;

    /**
     * @brief Decides whether a request may be sent on.
     * @param service Service it goes to.
     * @param importance Its importance.
     * @param account Its client account.
     * @return Nothing when it may; else a refusal with reason `Shed`.
     */
    [[nodiscard]] auto decide(const ServiceName &service, record::Importance importance, const AccountName &account)
        -> std::optional<Refusal>;

    /**
     * @brief Returns the pressure of a service over its instances, faded by age.
     * @param service The service.
     * @return Pressure; fully open for a service without fresh reports.
     */
    [[nodiscard]] auto pressure(const ServiceName &service) const -> Pressure;

    /*! @brief Forgets stale reports and idle accounts; to be called every 10 to 50 ms. */
    auto tick() -> void;

private:
    struct Report {
        Pressure pressure;
        TimePoint at;
    };

    /*! @brief What the accounts ask of one importance of one service. */
    struct Demand {
        std::map<AccountName, double> offered; /*!< Recent requests of each account, faded by age. */
        TimePoint fadedAt; /*!< When the counts were last faded. */
        double fairShare{}; /*!< Requests that each account gets at most; in the unit of `offered`. */
        double admittedShare{1.0}; /*!< Share that `fairShare` was computed for. */
        std::optional<TimePoint> sharedAt; /*!< When `fairShare` was computed. */
    };

    struct Service {
        std::map<NodeAddress, Report> reports;
        std::array<Demand, importanceCount> demands;
    };

    auto fade(Demand &demand) const -> void;
    auto updateShare(Demand &demand, double admittedShare) const -> void;
    auto isAdmitted(Demand &demand, double admittedShare, const AccountName &account) -> bool;
    [[nodiscard]] auto weight(const Report &report) const -> double;
    [[nodiscard]] auto pressureOf(const Service &service) const -> Pressure;
    [[nodiscard]] auto drawBelow(double share) -> bool;

    GateSettings settings_;
    const Clock *clock_;
    Counters *counters_;
    std::mt19937_64 random_;
    std::map<ServiceName, Service> services_;
};

} // namespace jasminelatch::admission

#endif
