#ifndef JASMINELATCH_MESH_INSTANCE_GATE_HPP
#define JASMINELATCH_MESH_INSTANCE_GATE_HPP

#include "call_learner.hpp"
#include "capacity_estimator.hpp"
#include "cold_start.hpp"
#include "hop.hpp"
#include "instance_rate_limit.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace jasminelatch::mesh {

/**
 * @brief Concurrency and rate limiter with a priority queue in front of the local instance.
 *
 * Load pattern: more requests arrive than the instance has slots for, or than it states that it accepts. A bounded
 * number runs; the others wait by rank and arrival. A request that cannot finish in time is refused before it starts,
 * as soon as that is known.
 *
 * Of the requests that were running in a crashed instance only a few run at once, and one that was in several crashes
 * runs without any other of them, so that the next crash tells which one causes it.
 */
class InstanceGate
{
public:
    /*! @brief Tuning parameters; durations and fractions. */
    struct Settings {
        double usedSlotFraction{0.94}; /*!< Fraction of the slots in use; the rest is left for connections that are
                                            being opened. */
        double runTimeEwmaWeight{0.05}; /*!< Weight of the newest run in the moving average of the run time. */
        Duration defaultRunTime{std::chrono::milliseconds{50}}; /*!< Mean run time before the first run. */
        Duration minRetryAfter{std::chrono::milliseconds{100}}; /*!< Lower bound of the retry delay after a refusal. */
        InstanceRateLimit::Settings rateLimit; /*!< Limit on requests per second. */
        ColdStart::Settings coldStart; /*!< The same while the instance is cold. */
        CapacityEstimator::Settings capacity; /*!< Limit that is learned from runs. */
        double suspectSlotFraction{0.125}; /*!< Fraction of the slots for requests that may have caused a crash. */
        std::size_t minInstancesForSuspects{8}; /*!< Instances of the service below which only one such request runs
                                                     here, so that another crash identifies it. */
        std::size_t maxQueued{2000}; /*!< Maximum queue length; bounds the memory of queued requests. */
    };

    /*! @brief Request for a slot. */
    struct Item {
        std::uint64_t id{}; /*!< Id, unique at this node. */
        std::uint32_t rank{}; /*!< Priority rank; zero is the highest. */
        std::string route; /*!< Name of the route; requests of one route take about the same time. */
        TimePoint deadline; /*!< Time after which the answer is useless. */
        TimePoint startBy; /*!< Latest time at which the request may start. */
        std::uint32_t crashes{}; /*!< Crashes of instances that the request may have caused. */
    };

    /*! @brief Result of offering a request. */
    struct Decision {
        enum class Kind : std::uint8_t {
            Run, /*!< The request runs now. */
            Wait, /*!< The request is queued. */
            Refuse /*!< The request is refused. */
        };
        Kind kind{}; /*!< What happens to the request. */
        Duration retryAfter{}; /*!< Time until capacity is expected, for a refusal. */
    };

    /*! @brief Request that was refused while it was queued. */
    struct Refusal {
        std::uint64_t id{}; /*!< Id of the request. */
        Duration retryAfter{}; /*!< Time until capacity is expected. */
    };

    /*! @brief Requests that leave the queue. */
    struct Dispatch {
        std::vector<std::uint64_t> run; /*!< Requests that run now. */
        std::vector<Refusal> refused; /*!< Requests that can no longer finish in time. */
    };

    explicit InstanceGate(Settings settings);

    /**
     * @brief Sets the number of slots of the instance; nothing runs while it is zero.
     * @param slots Requests that the instance runs at once.
     */
    auto setSlots(std::uint32_t slots) -> void;

    /**
     * @brief Sets the number of instances of the service.
     * @param count Instances that accept requests, this one included.
     */
    auto setInstanceCount(std::size_t count) -> void;

    /**
     * @brief Applies the rate limit that an answer of the instance states.
     * @param limit Requests per second from all nodes together, or nothing.
     * @param now Current time.
     * @return Whether the limit has changed.
     */
    auto recordAnswer(std::optional<double> limit, TimePoint now) -> bool;

    /**
     * @brief Sends few requests until the next answer, as the instance may have stated a limit before this node
     * started.
     * @param now Current time.
     */
    auto awaitFirstAnswer(TimePoint now) -> void;

    /*! @brief Returns whether no answer has arrived since `awaitFirstAnswer`. */
    [[nodiscard]] auto isAwaitingAnswer() const noexcept -> bool;

    /*! @brief Forgets the rate limit, for a new start of the instance. */
    auto resetRateLimit() -> void;

    /*! @brief Returns the requests per second that the instance states, or nothing. */
    [[nodiscard]] auto rateLimit() const noexcept -> std::optional<double>;

    /*! @brief Returns the limit that applies while the instance is cold. */
    [[nodiscard]] auto coldStart() noexcept -> ColdStart &;

    /*! @brief Returns the limit that applies while the instance is cold. */
    [[nodiscard]] auto coldStart() const noexcept -> const ColdStart &;

    /*! @brief Returns the estimator of the concurrency beyond which throughput no longer rises. */
    [[nodiscard]] auto capacity() noexcept -> CapacityEstimator &;

    /*! @brief Returns the estimator of the concurrency beyond which throughput no longer rises. */
    [[nodiscard]] auto capacity() const noexcept -> const CapacityEstimator &;

    /**
     * @brief Sets the run times that the service's instances need on average, against which this one is compared.
     * @param profiles Profiles of all nodes together, by route.
     */
    auto setFleetProfiles(const std::map<std::string, RouteProfile> &profiles) -> void;

    /**
     * @brief Requests a slot.
     * @param item Request with its rank and time limits.
     * @param now Current time.
     * @return Whether the request runs, waits or is refused.
     */
    auto offer(Item item, TimePoint now) -> Decision;

    /**
     * @brief Ends a run, or removes a request from the queue.
     * @param id Id of the request; ignored if unknown.
     * @param runTime Duration of a complete run; zero leaves the averages unchanged.
     */
    auto finish(std::uint64_t id, Duration runTime) -> void;

    /*! @brief Returns whether any request is queued, those that `load` leaves out included. */
    [[nodiscard]] auto hasQueued() const noexcept -> bool;

    /**
     * @brief Returns whether a request is queued.
     * @param id Id of the request.
     */
    [[nodiscard]] auto isQueued(std::uint64_t id) const -> bool;

    /**
     * @brief Assigns free slots in queue order and drops requests that can no longer finish in time.
     * @param now Current time.
     * @return Requests that leave the queue.
     */
    auto dispatch(TimePoint now) -> Dispatch;

    /**
     * @brief Empties the queue, for an instance that is draining.
     * @return Ids of the requests that were queued.
     */
    auto clearQueue() -> std::vector<std::uint64_t>;

    /**
     * @brief Returns running and queued requests, the limit and the run time.
     *
     * A rate limit, stated or of a cold start, appears as the concurrency that it amounts to, so that other nodes plan
     * with it like with slots; an instance that has used up its rate appears full.
     *
     * Load pattern: requests of several routes share an instance, and their run times differ more than the speeds of
     * instances do. The mean of the runs that an instance happened to get says little about its speed, so the run time
     * returned is what the instance needs for the mean request of its service.
     * @param now Current time.
     */
    [[nodiscard]] auto load(TimePoint now) const -> InstanceLoad;

private:
    /*! @brief Request that occupies a slot. */
    struct Run {
        std::string route;
        std::uint32_t crashes{};
        CapacityEstimator::Start start;
    };

    /*! @brief Order of the queue: rank, then arrival. */
    using QueueKey = std::tuple<std::uint32_t, std::uint64_t>;

    [[nodiscard]] auto limit() const -> std::uint32_t;
    [[nodiscard]] auto expectedWait(std::size_t ahead, TimePoint now) const -> Duration;
    [[nodiscard]] auto retryAfter(TimePoint now) const -> Duration;
    [[nodiscard]] auto runTime() const -> Duration;
    [[nodiscard]] auto canFinish(const Item &item, TimePoint start) const -> bool;
    [[nodiscard]] auto maySuspectRun(std::uint32_t crashes) const -> bool;
    [[nodiscard]] auto takeRate(TimePoint now) -> bool;
    [[nodiscard]] auto rateWait(std::size_t ahead, TimePoint now) const -> Duration;
    auto start(Item item, TimePoint now) -> void;
    auto removeQueued(std::map<QueueKey, Item>::iterator item) -> std::map<QueueKey, Item>::iterator;
    auto recordRunTime(const Run &run, Duration runTime) -> void;

    Settings settings_;
    InstanceRateLimit rateLimit_;
    ColdStart coldStart_;
    CapacityEstimator capacity_;
    std::uint32_t slots_{};
    std::size_t instanceCount_{};
    std::uint64_t arrivals_{};
    std::map<QueueKey, Item> queue_;
    std::unordered_map<std::uint64_t, QueueKey> queueKeys_;
    std::unordered_map<std::uint64_t, Run> running_;
    std::size_t queuedSuspects_{}; /*!< Queued requests that may have caused a crash. */
    std::uint32_t runningSuspects_{}; /*!< Runs of requests that may have caused a crash. */
    std::uint32_t runningAlone_{}; /*!< Those that may have caused several. */
    std::unordered_map<std::string, Duration> runTimes_;
    Duration meanRunTime_{};
    std::unordered_map<std::string, Duration> fleetRunTimes_; /*!< Mean run time at all instances, by route. */
    Duration fleetRunTime_{}; /*!< Mean over the requests of all routes; zero while it is unknown. */
    double slowness_{1.0}; /*!< Moving average of the run time relative to the mean of the route. */
};

} // namespace jasminelatch::mesh

#endif
