#ifndef JASMINELATCH_LEASE_RIGHT_STATE_HPP
#define JASMINELATCH_LEASE_RIGHT_STATE_HPP

#include "record.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jasminelatch::lease {

/*! @brief How a right came to its holder. */
enum class AcquisitionKind : std::uint8_t {
    Fresh, /*!< Nobody ever had it. */
    TakenOver, /*!< The former holder released it, or fell silent and this node was its successor. */
    Restarted, /*!< A former process at this address had it. */
    Reclaimed, /*!< An operator freed it. */
    Regained /*!< This process had it, lost its supports, and nobody else had it in between. */
};

/*! @brief Start of a holder's term. */
struct Acquisition {
    std::uint64_t term{}; /*!< Term; the same as before when regained. */
    AcquisitionKind kind{AcquisitionKind::Fresh}; /*!< How. */
};

namespace internal {

/*! @brief Write that may still take effect. */
struct PendingWrite {
    Record record;
    TimePoint sentAt;
    AcquisitionKind kind;
};

/*! @brief Request for a promise that may still be answered. */
struct SentPromiseRequest {
    std::uint64_t sequence;
    NodeAddress to;
    TimePoint sentAt;
};

/*! @brief What one node knows about one right. */
struct RightState {
    bool contending{};
    bool giveUp{}; /*!< A held right is to be released. */

    std::optional<Record> record; /*!< As last read or written. */
    store::Revision revision{}; /*!< Of `record`. */
    TimePoint observedSince; /*!< When `revision` was first seen. */
    std::optional<TimePoint> lastRead;
    TimePoint nextCall; /*!< Earliest time of the next store call. */
    bool callPending{};
    bool readNow{}; /*!< Read before anything else. */
    std::vector<PendingWrite> unresolved; /*!< Writes against `revision` without a known outcome. */

    bool holding{}; /*!< Support has been unbroken since the last confirmed write or promise. */
    AcquisitionKind kind{AcquisitionKind::Fresh};
    std::uint64_t announcedTerm{};
    TimePoint storeLeaseUntil;
    std::map<NodeAddress, TimePoint> promisesUntil;
    TimePoint successorHeard; /*!< Last answer of the named successor, or when it was named. */
    std::deque<SentPromiseRequest> sentRequests;
    TimePoint nextPromiseRequest;

    TimePoint promisedUntil; /*!< Own promise not to take over. */
    TimePoint holderHeard; /*!< Last request for a promise. */
    bool askedUnnamed{}; /*!< A holder asked for a promise, but the record as read names another successor. */

    /*! @brief Returns the nodes that might be the named successor. */
    [[nodiscard]] auto possibleSuccessors() const -> std::set<NodeAddress>;
    /*! @brief Returns the end of the support that the promises give; the epoch when there is none. */
    [[nodiscard]] auto promiseSupportUntil() const -> TimePoint;
    /*! @brief Returns the end of the better support. */
    [[nodiscard]] auto supportUntil(bool promisesEnabled) const -> TimePoint;
};

} // namespace internal
} // namespace jasminelatch::lease

#endif
