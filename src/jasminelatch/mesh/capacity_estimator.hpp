#ifndef JASMINELATCH_MESH_CAPACITY_ESTIMATOR_HPP
#define JASMINELATCH_MESH_CAPACITY_ESTIMATOR_HPP

#include <jasminelatch/core/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief When the concurrency limit of an instance is learned. */
enum class LearnConcurrency : std::uint8_t {
    Stated, /*!< Once the instance has stated its slowness. */
    Always, /*!< From the first run on. */
    Never /*!< Not at all; the limit is constant. */
};

/**
 * @brief Learns the concurrency of one instance beyond which more concurrent requests no longer raise its throughput.
 *
 * Load pattern: some instances slow down long before their slots are full, some are slow at any concurrency, some share
 * their VM with a neighbor that slows them for a fraction of a second at a time, and some are slow for seconds. Only
 * the first kind answers more requests if fewer run at once.
 *
 * Throughput is concurrency over run time, with run times relative to the mean of their route. Two signs call for a
 * trial of a lower limit: throughput that has not grown with concurrency, and a stated slowness that lasts. A trial
 * changes the limit by one step for about half a second. The step is kept if throughput has changed as it does where
 * run time depends on concurrency, and undone otherwise, so that a slowness with another cause does not lower the
 * limit. A lowered limit is regularly tried one step higher.
 */
class CapacityEstimator
{
public:
    /*! @brief Tuning parameters; durations, counts and fractions. */
    struct Settings {
        LearnConcurrency learn{LearnConcurrency::Stated}; /*!< When the limit is learned. */
        Duration minWindow{std::chrono::milliseconds{300}}; /*!< Shortest measurement; longer than usual bursts of a
                                                                 neighbor, so that its median is free of them. */
        Duration maxWindow{std::chrono::milliseconds{1500}}; /*!< Measurement that ends without enough runs. */
        double maxError{0.04}; /*!< Standard error of the mean run time at which a measurement may end. */
        double lowerStep{0.2}; /*!< Change of the limit in a trial of a lower one, as a fraction. */
        double raiseStep{
            0.12}; /*!< The same for a higher one; at 0.06 noise kept recovered instances low for up to 22 s. */
        double minFraction{0.25}; /*!< Lower bound of the limit as a fraction of the maximum. */
        double fullFraction{0.85}; /*!< Mean concurrency relative to the limit from which the limit was in use. */
        double lastingSlowness{1.15}; /*!< Median of the stated slowness that calls for a trial, relative to that at
                                           low concurrency. */
        Duration raiseInterval{std::chrono::seconds{2}}; /*!< Time between trials of a higher limit. */
        Duration firstPause{std::chrono::seconds{4}}; /*!< Time after a lower limit has not helped until the next
                                                           trial; doubles up to `maxPause`. */
        Duration maxPause{std::chrono::seconds{32}}; /*!< Upper bound of that time. */
        Duration smoothingTime{std::chrono::seconds{1}}; /*!< Time constant of `slowness`, longer than the period of
                                                              usual bursts. */
    };

    /*! @brief State at the start of a run that `recordRun` needs at its end. */
    struct Start {
        TimePoint at; /*!< Time of the start. */
        double progress{}; /*!< Work that a run in progress since the reset would have done, in microseconds. */
        std::size_t running{}; /*!< Concurrent runs, this one included. */
    };

    explicit CapacityEstimator(Settings settings);

    /**
     * @brief Sets the upper bound of the limit; a changed one discards what was learned.
     * @param maximum Concurrent runs at most.
     */
    auto setMaximum(std::uint32_t maximum) -> void;

    /*! @brief Discards what was learned, for a new start of the instance. */
    auto reset() -> void;

    /**
     * @brief Records what an answer of the instance states.
     * @param slowness Present run time relative to the usual one, or nothing.
     * @param now Current time.
     */
    auto recordSlowness(std::optional<double> slowness, TimePoint now) -> void;

    /**
     * @brief Returns the state at the start of a run.
     * @param running Concurrent runs, this one included.
     * @param now Current time.
     */
    [[nodiscard]] auto start(std::size_t running, TimePoint now) const -> Start;

    /**
     * @brief Records a complete run; takes constant time on average.
     * @param route Name of the route.
     * @param start State at its start.
     * @param running Concurrent runs at its end, this one included.
     * @param runTime Time that it occupied a slot.
     */
    auto recordRun(const std::string &route, const Start &start, std::size_t running, Duration runTime) -> void;

    /*! @brief Returns the limit in force, that of a trial included. */
    [[nodiscard]] auto limit() const noexcept -> std::uint32_t;

    /*! @brief Returns the limit without a trial under way. */
    [[nodiscard]] auto learnedLimit() const noexcept -> std::uint32_t;

    /*! @brief Returns the stated slowness, averaged over about a second; one if none is stated. */
    [[nodiscard]] auto slowness() const noexcept -> double;

    /**
     * @brief Replaces the slowness during a run by the present average.
     * @param start State at the start of the run.
     * @param runTime Time that it occupied a slot.
     * @return Run time that is expected at the average slowness.
     */
    [[nodiscard]] auto smoothed(const Start &start, Duration runTime) const -> Duration;

private:
    /*! @brief Mean run time of a route, relative to which its runs are measured. */
    struct Reference {
        double mean{}; /*!< In microseconds. */
        std::uint32_t runs{};
    };

    /*! @brief Moving average of relative run times at about the same concurrency. */
    struct Level {
        double mean{};
        double variance{};
        std::uint32_t runs{};
    };

    /*! @brief Sums over the runs of a measurement that started within it. */
    struct Window {
        TimePoint from;
        double concurrency{};
        double runTime{}; /*!< Relative to the mean of the route. */
        double squares{}; /*!< Squares of `runTime`. */
        std::size_t runs{};
        std::vector<double> slowness; /*!< Newest stated values; their number is bounded. */
        std::size_t stated{}; /*!< Values stated in total. */
    };

    /*! @brief Result of a measurement. */
    struct Measured {
        double concurrency{};
        double runTime{}; /*!< Relative to the mean of the route. */
        double error{}; /*!< Standard error of `runTime`, as a fraction of it. */
        double slowness{1.0}; /*!< Median of the stated values. */
        bool isFull{}; /*!< Whether the limit was in use and enough runs were seen. */
        [[nodiscard]] auto throughput() const -> double { return concurrency / (runTime * slowness); }
    };

    [[nodiscard]] auto isActive() const noexcept -> bool;
    [[nodiscard]] auto progressAt(TimePoint now) const -> double;
    [[nodiscard]] auto relativeRunTime(const std::string &route, double work, Level &level) -> std::optional<double>;
    [[nodiscard]] auto isComplete(TimePoint now) const -> bool;
    [[nodiscard]] auto measure() -> Measured;
    [[nodiscard]] auto isSuspect(const Measured &measured) const -> bool;
    auto endWindow(TimePoint now) -> void;
    auto updateReference(const Measured &measured) -> void;
    auto startTrial(bool isUpward, TimePoint now) -> void;
    auto endTrial(const Measured &measured, TimePoint now) -> void;
    auto delayLowering(TimePoint now) -> void;
    auto startWindow(TimePoint now) -> void;

    /*! @brief Concurrency levels between zero and the maximum. */
    static constexpr std::size_t levelCount = 16;

    Settings settings_;
    std::uint32_t maximum_{};
    std::uint32_t learned_{};
    std::uint32_t limit_{};
    bool isStated_{}; /*!< Whether the instance has stated its slowness. */
    double stated_{1.0}; /*!< Value stated last. */
    TimePoint statedAt_;
    double slowness_{1.0}; /*!< Moving average of the stated values. */
    std::optional<double> quietSlowness_; /*!< Their median at low concurrency. */
    double deviation_{1.0}; /*!< Moving average of run times relative to route and concurrency. */
    double progress_{}; /*!< Work that a run would have done until `statedAt_`, in microseconds. */
    std::unordered_map<std::string, Reference> references_; /*!< By route. */
    std::array<Level, levelCount> levels_{};
    Window window_;
    std::optional<Measured> reference_; /*!< Measurement that a trial is compared with. */
    enum class Trial : std::uint8_t { None, Lower, Higher };
    Trial trial_{Trial::None};
    std::uint32_t suspectWindows_{}; /*!< Measurements in a row that call for a lower limit. */
    TimePoint raiseAt_;
    TimePoint lowerAt_;
    Duration pause_;
};

} // namespace jasminelatch::mesh

#endif
