#ifndef JASMINELATCH_ADMISSION_CONTROLLER_HPP
#define JASMINELATCH_ADMISSION_CONTROLLER_HPP

#include "concurrency_limit.hpp"
#include "fair_queue.hpp"
#include "pressure.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/refusal.hpp>
#include <jasminelatch/membership/endpoint.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace jasminelatch::admission {

/*! @brief How a request at the backend server ended. */
enum class Result : std::uint8_t {
    Ok, /*!< Answered. */
    Failed, /*!< Answered with an error, or the connection broke. */
    ShedByBackend, /*!< Refused by the backend server for want of capacity. */
    TimedOut /*!< No answer in time. */
};

/*! @brief End of a request at the backend server. */
struct Completion {
    Duration latency{}; /*!< Time at the backend server. */
    Result result{Result::Ok}; /*!< How it ended. */
};

/**
 * @brief Decides which requests the backend server beside this node runs, and when.
 *
 * Each submitted request gets exactly one of `Hooks::start` and `Hooks::refuse`, unless it is cancelled first.
 */
class Controller
{
public:
    /*! @brief Actions of the controller; they may call it back at once. */
    struct Hooks {
        std::function<void(const RequestId &)> start; /*!< Dispatch to the backend server now. */
        std::function<void(const RequestId &, const Refusal &)> refuse; /*!< Answer with a refusal; it did not run. */
    };

    /**
     * @brief Creates a controller with the smallest limit; `setCapacity` sets the first real one.
     * @param settings Settings.
     * @param clock Clock; must outlive the controller.
     * @param counters Counters; must outlive the controller.
     * @param hooks Actions.
     */
    Controller(Settings settings, const Clock &clock, Counters &counters, Hooks hooks);

    /**
     * @brief Hands in a request.
     * @param item The request; its id must not be known already.
     */
    auto submit(Item item) -> void;

    /**
     * @brief Tells that a started request ended; an unknown id is ignored.
     * @param id The request.
     * @param completion How it ended.
     */
    auto finish(const RequestId &id, const Completion &completion) -> void;

    /**
     * @brief Drops a request: a waiting one is forgotten without a hook, a started one frees its place.
     * @param id The request; an unknown id is ignored.
     */
    auto cancel(const RequestId &id) -> void;

    /**
     * @brief Takes in what the backend server announces; a hint except for the connections.
     * @param slots Requests it says it can run at once; the first limit.
     * @param connections Connections it accepts; never exceeded.
     * @param state Its state; a change to `Starting` restarts the limit from cold.
     */
    auto setCapacity(std::uint32_t slots, std::uint32_t connections, membership::EndpointState state) -> void;

    /**
     * @brief Takes in the pressure of a service that the backend server needs for its answers.
     * @param service The service called.
     * @param pressure Its pressure, as the gate of this node sees it.
     */
    auto reportDownstream(const ServiceName &service, const Pressure &pressure) -> void;

    /*! @brief Does all timed work; to be called every 10 to 50 ms. */
    auto tick() -> void;

    /**
     * @brief Returns the load report to put on answers.
     * @return Own pressure, with the strictest level of the services called.
     */
    [[nodiscard]] auto pressure() const -> Pressure;

    /**
     * @brief Returns the requests at the backend server.
     * @return Number of requests started and neither finished nor cancelled.
     */
    [[nodiscard]] auto inFlight() const noexcept -> std::size_t;

    /**
     * @brief Returns the requests that wait.
     * @return Number of requests neither started, refused nor cancelled.
     */
    [[nodiscard]] auto queued() const noexcept -> std::size_t;

    /**
     * @brief Returns the concurrency limit.
     * @return Requests that may be at the backend server at once, at least one.
     */
    [[nodiscard]] auto limit() const noexcept -> std::uint32_t;

private:
    struct DownstreamReport {
        Pressure pressure;
        TimePoint at;
    };

    auto admit(Item item) -> void;
    auto enqueue(Item item) -> void;
    auto makeRoomFor(const Item &item) -> bool;
    auto dispatch() -> void;
    auto startNext() -> bool;
    auto start(const Item &item) -> void;
    auto expire() -> void;
    auto refuseLate(const Item &item) -> void;
    auto refuse(const RequestId &id, RefusalReason reason) -> void;
    auto learn(const Completion &completion) -> void;
    auto adjustLevel() -> void;
    auto lowerOpenness(double excess) -> void;
    [[nodiscard]] auto hasPlace() const noexcept -> bool;
    [[nodiscard]] auto isHopeless(const Item &item) const -> bool;
    [[nodiscard]] auto isHopelessAfter(const Item &item, Duration wait) const -> bool;
    [[nodiscard]] auto waitAfter(std::size_t ahead) const -> Duration;
    [[nodiscard]] auto serviceTime() const -> Duration;
    [[nodiscard]] auto deviation() const -> Duration;
    /*! @brief Halves an estimate for each half-life without completions, so that a slow spell is forgotten. */
    [[nodiscard]] auto faded(Duration estimate) const -> Duration;
    [[nodiscard]] auto retryAfter() const -> Duration;

    Settings settings_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    ConcurrencyLimit limit_;
    FairQueue queue_;
    std::unordered_map<RequestId, TimePoint> running_;
    std::map<ServiceName, DownstreamReport> downstream_;
    Duration serviceTime_;
    Duration deviation_{};
    TimePoint serviceTimeAt_;
    TimePoint levelAt_;
    double openness_{static_cast<double>(importanceCount)};
    std::array<std::uint64_t, importanceCount> arrivals_{};
    std::uint64_t overloadRefusals_{};
    Duration longestWait_{};
    bool dispatching_{};
    bool heldByShed_{};
};

} // namespace jasminelatch::admission

#endif
