#ifndef JASMINELATCH_ADMISSION_CONCURRENCY_LIMIT_HPP
#define JASMINELATCH_ADMISSION_CONCURRENCY_LIMIT_HPP

#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/membership/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace jasminelatch::admission {

/**
 * @brief Number of requests that may be at a backend server at once, learnt from how it answers.
 *
 * Latency above the baseline, and shed answers, lower it; full use without either raises it. When a decrease does not
 * lower the latency, the backend server has become slower rather than crowded, and the baseline follows. Now and then
 * a short probe below the limit measures the baseline anew.
 */
class ConcurrencyLimit
{
public:
    /**
     * @brief Creates the smallest limit.
     * @param settings Settings.
     * @param clock Clock; must outlive the limit.
     */
    ConcurrencyLimit(LimitSettings settings, const Clock &clock);

    /**
     * @brief Takes in what the backend server announces.
     * @param slots Requests it says it can run at once; only the first limit and a cold start use it.
     * @param connections Connections it accepts; the limit never exceeds them.
     * @param state Its state.
     */
    auto setCapacity(std::uint32_t slots, std::uint32_t connections, membership::EndpointState state) -> void;

    /**
     * @brief Takes in a latency.
     * @param latency Time at the backend server.
     */
    auto addLatency(Duration latency) -> void;

    /**
     * @brief Takes in a shed answer of the backend server: the limit falls at once to what it holds.
     * @param inFlight Requests at the backend server without the one shed.
     */
    auto addShed(std::size_t inFlight) -> void;

    /**
     * @brief Takes in the present use, each time a request starts.
     * @param inFlight Requests at the backend server.
     */
    auto use(std::size_t inFlight) -> void;

    /*! @brief Ends the window when it is due and changes the limit. */
    auto tick() -> void;

    /**
     * @brief Returns the limit in force.
     * @return Number of requests, at least one.
     */
    [[nodiscard]] auto value() const noexcept -> std::uint32_t;

private:
    auto restart(double limit) -> void;
    auto endWindow() -> void;
    auto judge(double latency) -> void;
    auto onQueueing(double latency) -> void;
    auto grow(double latency) -> void;
    auto startProbe() -> void;
    auto set(double limit) -> void;
    [[nodiscard]] auto wasFull() const noexcept -> bool;

    LimitSettings settings_;
    const Clock *clock_;
    double limit_{1.0};
    double maximum_{1.0};
    std::optional<membership::EndpointState> state_;
    bool coldStart_{};
    double baseline_{};
    std::optional<double> latencyBeforeCut_;
    double ceiling_{};
    TimePoint ceilingAt_;
    TimePoint windowStart_;
    TimePoint probeAt_;
    bool probing_{};
    bool settling_{};
    double latencySum_{};
    std::uint64_t latencyCount_{};
    std::uint64_t shedCount_{};
    std::size_t highestUse_{};
};

} // namespace jasminelatch::admission

#endif
