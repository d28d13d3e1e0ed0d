#ifndef JASMINELATCH_MESH_INSTANCE_GATE_HPP
#define JASMINELATCH_MESH_INSTANCE_GATE_HPP

#include "hop.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace jasminelatch::mesh {

/**
 * @brief Decides which requests run at the local instance, in which order, and which are turned away.
 *
 * Load pattern: more requests arrive than the instance has slots for. A bounded number runs; the others wait by rank
 * and arrival, and one that can't finish in time is refused before it starts, as early as that is known.
 */
class InstanceGate
{
public:
    /*! @brief Settings of the gate. */
    struct Settings {
        double usedSlotFraction{0.94}; /*!< Part of the slots in use; the rest is for connections being opened. */
        double runTimeEwmaWeight{0.05}; /*!< Weight of the newest run in the mean of its route. */
        Duration defaultRunTime{std::chrono::milliseconds{50}}; /*!< Mean run time before the first run. */
        Duration minRetryAfter{std::chrono::milliseconds{100}}; /*!< Least time to come back after a refusal. */
        std::size_t maxQueued{2000}; /*!< Requests that may wait at once; bounds the memory they hold. */
    };

    /*! @brief Request that asks to run. */
    struct Item {
        std::uint64_t id{}; /*!< Unique id at this node. */
        std::uint32_t rank{}; /*!< Rank; zero is the highest. */
        std::string route; /*!< Requests of one route take about the same time. */
        TimePoint deadline; /*!< Moment after which its answer is worthless. */
        TimePoint startBy; /*!< Moment up to which it may wait. */
    };

    /*! @brief What becomes of a request. */
    struct Decision {
        enum class Kind : std::uint8_t {
            Run, /*!< It runs now. */
            Wait, /*!< It waits. */
            Refuse /*!< It is turned away. */
        };
        Kind kind{}; /*!< What becomes of it. */
        Duration retryAfter{}; /*!< When room is expected, for a refusal. */
    };

    /*! @brief Request that was turned away while it waited. */
    struct Refusal {
        std::uint64_t id{}; /*!< Its id. */
        Duration retryAfter{}; /*!< When room is expected. */
    };

    /*! @brief Requests that leave the queue. */
    struct Dispatch {
        std::vector<std::uint64_t> run; /*!< Requests that run now. */
        std::vector<Refusal> refused; /*!< Requests that can't finish in time any more. */
    };

    explicit InstanceGate(Settings settings);

    /**
     * @brief Sets the number of slots of the instance.
     * @param slots Requests that it runs at once.
     */
    auto setSlots(std::uint32_t slots) -> void;

    /**
     * @brief Asks for a key.
     * @param item The request.
     * @param now Present time.
     * @return What becomes of it.
     */
    auto offer(Item item, TimePoint now) -> Decision;

    /**
     * @brief Ends a run, or withdraws a request that waits.
     * @param id Id of the request.
     * @param runTime Time that a whole run took; zero when it tells nothing.
     */
    auto finish(std::uint64_t id, Duration runTime) -> void;

    /**
     * @brief Hands out free places and drops requests that can't finish in time.
     * @param now Present time.
     * @return Requests that leave the queue.
     */
    auto dispatch(TimePoint now) -> Dispatch;

    /**
     * @brief Empties the queue.
     * @return Requests that waited.
     */
    auto clearQueue() -> std::vector<std::uint64_t>;

    /*! @brief Returns the load. */
    [[nodiscard]] auto load() const -> InstanceLoad;

private:
    /*! @brief Order of the queue: rank, then arrival. */
    using QueueKey = std::tuple<std::uint32_t, std::uint64_t>;

    [[nodiscard]] auto limit() const -> std::uint32_t;
    [[nodiscard]] auto expectedWait(std::size_t ahead) const -> Duration;
    [[nodiscard]] auto retryAfter() const -> Duration;
    [[nodiscard]] auto canFinish(const Item &item, TimePoint start) const -> bool;

    Settings settings_;
    std::uint32_t slots_{};
    std::uint64_t arrivals_{};
    std::map<QueueKey, Item> queue_;
    std::unordered_map<std::uint64_t, QueueKey> queueKeys_;
    std::unordered_map<std::uint64_t, std::string> running_; /*!< Route by id. */
    std::unordered_map<std::string, Duration> runTimes_;
    Duration meanRunTime_{};
};

} // namespace jasminelatch::mesh

#endif
