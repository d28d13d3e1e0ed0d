#ifndef JASMINELATCH_MESH_CRASH_TRACKER_HPP
#define JASMINELATCH_MESH_CRASH_TRACKER_HPP

#include "request_fingerprint.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Id of the crash of one start of an instance; equal at all nodes, never zero. */
using CrashId = std::uint64_t;

/*! @brief What is known of a request that was running in an instance that crashed; nodes send it to one another. */
struct CrashRecord {
    Fingerprint fingerprint{}; /*!< The request. */
    std::vector<CrashId> crashes; /*!< Crashes in which it was running, without those below. */
    std::vector<CrashId> survived; /*!< Crashes that an instance that ran it to an end has shown not to be its own. */
    Duration age{}; /*!< Time since the last crash. */
};

/*! @brief How a request must be treated after crashes. */
struct CrashSuspicion {
    std::uint32_t crashes{}; /*!< Crashes that no other request explains better; zero for a sound request. */
    Duration quarantine{}; /*!< Time for which it must not run anywhere; zero if it may. */
    Duration sinceCrash{}; /*!< Time since its last crash that is recorded. */
};

/**
 * @brief Finds the request that crashes the instances that run it.
 *
 * Load pattern: a request crashes each instance that begins to run it, and comes again, at any node. Every crash also
 * ends requests that were only running beside it. All of them are suspected; one that an instance runs to an end is
 * cleared, and a crash does not count for a request if another one was running there that has been in more crashes. A
 * request that alone explains two crashes, or has been in three, is quarantined.
 *
 * Records of nodes merge to the same result in any order. The node beside an instance records a crash with all requests
 * that were running, and sends them together: with a part of them, the one that caused it might seem to be explained.
 */
class CrashTracker
{
public:
    /*! @brief Thresholds and times. */
    struct Settings {
        std::uint32_t crashesBeforeShortQuarantine{2}; /*!< Crashes after which a request is quarantined if no other
                                                            one explains any of them as well. */
        Duration shortQuarantine{std::chrono::minutes{1}}; /*!< That quarantine. */
        std::uint32_t crashesBeforeQuarantine{3}; /*!< Crashes after which a request is quarantined in any case. */
        Duration quarantine{std::chrono::minutes{10}}; /*!< First such quarantine; doubles with each further crash. */
        Duration maxQuarantine{std::chrono::hours{1}}; /*!< Upper bound of the quarantine. */
        Duration memory{std::chrono::hours{4}}; /*!< Time after its last crash for which a request is remembered. */
        std::size_t maxRecords{1024}; /*!< Largest number of requests remembered; those with fewer and older crashes
                                           are forgotten first. */
    };

    explicit CrashTracker(Settings settings);

    /**
     * @brief Records a crash.
     * @param crash Id of the crash; recording it again adds requests to it.
     * @param running Requests that were running in the instance.
     * @param now Current time.
     */
    auto recordCrash(CrashId crash, std::span<const Fingerprint> running, TimePoint now) -> void;

    /**
     * @brief Records that an instance has run a request to an end, which clears it of all crashes known here.
     * @param fingerprint The request.
     */
    auto recordSurvival(Fingerprint fingerprint) -> void;

    /**
     * @brief Adds what another node knows.
     * @param record Record of one request.
     * @param now Current time.
     */
    auto merge(const CrashRecord &record, TimePoint now) -> void;

    /**
     * @brief Returns how a request must be treated.
     * @param fingerprint The request.
     * @param attempt Crashes that ended earlier tries of this attempt; those of which no record has arrived count too.
     * @param now Current time.
     */
    [[nodiscard]] auto suspicion(Fingerprint fingerprint, std::span<const CrashId> attempt, TimePoint now) const
        -> CrashSuspicion;

    /**
     * @brief Returns the records that have changed, for other nodes.
     * @param change Number of the last change that they know; zero for all records.
     * @param now Current time.
     */
    [[nodiscard]] auto recordsSince(std::uint64_t change, TimePoint now) const -> std::vector<CrashRecord>;

    /**
     * @brief Returns the records of quarantined requests, which must outlast this process.
     * @param now Current time.
     * @param isLocalOnly Whether to leave out requests that have been in no crash recorded by this node.
     */
    [[nodiscard]] auto quarantined(TimePoint now, bool isLocalOnly) const -> std::vector<CrashRecord>;

    /**
     * @brief Returns whether a request has been in crashes and is cleared of all of them.
     * @param fingerprint The request.
     */
    [[nodiscard]] auto isCleared(Fingerprint fingerprint) const -> bool;

    /*! @brief Returns the number of the last change. */
    [[nodiscard]] auto lastChange() const noexcept -> std::uint64_t;

    /*! @brief Returns the number of requests that are not cleared of a crash, quarantined ones included. */
    [[nodiscard]] auto suspectCount() const -> std::size_t;

private:
    struct Record {
        std::map<CrashId, bool> crashes; /*!< Whether the request is cleared, by crash. */
        std::uint32_t uncleared{}; /*!< Crashes of which it is not cleared. */
        TimePoint lastCrashAt;
        std::uint64_t change{};
    };

    [[nodiscard]] static auto toCrashRecord(Fingerprint fingerprint, const Record &record, TimePoint now)
        -> CrashRecord;
    auto noteChange(Record &record) -> void;
    auto forgetExcess() -> void;
    [[nodiscard]] auto unexplainedCrashes(const Record &record) const -> std::uint32_t;
    [[nodiscard]] auto isOnlyExplanation(Fingerprint fingerprint, const Record &record) const -> bool;
    [[nodiscard]] auto quarantineOf(Fingerprint fingerprint, const Record &record) const -> Duration;
    [[nodiscard]] auto hasOther(CrashId crash,
                                const std::function<bool(Fingerprint fingerprint, const Record &record)> &matches) const
        -> bool;

    Settings settings_;
    std::map<Fingerprint, Record> records_;
    std::map<CrashId, std::set<Fingerprint>> running_; /*!< Requests that were running, by crash. */
    std::set<CrashId> localCrashes_; /*!< Crashes that this node has recorded. */
    std::uint64_t lastChange_{};
};

} // namespace jasminelatch::mesh

#endif
