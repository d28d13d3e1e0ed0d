#ifndef JASMINELATCH_LEASE_LEASE_CONTROLLER_HPP
#define JASMINELATCH_LEASE_LEASE_CONTROLLER_HPP

#include "message.hpp"
#include "record.hpp"
#include "right_state.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::lease {

/**
 * @brief Holds rights of which each has at most one holder in the fleet.
 *
 * A right is held while its store lease is fresh or the named successor's promise not to take over is. Both are
 * measured from before the request was sent. Support must be unbroken: after a gap only a confirmed store write
 * restores the right. One object serves all rights of a node. It must outlive its store calls.
 */
class LeaseController
{
public:
    /*! @brief Ways out of the controller. */
    struct Hooks {
        store::Call store; /*!< Calls the platform's store. */
        std::function<void(const NodeAddress &, Message)> send; /*!< Sends to another node. */
        std::function<std::optional<NodeAddress>(const LeaseName &)> chooseSuccessor; /*!< Offers a live neighbour. */
        std::function<void(const LeaseName &, Acquisition)> acquired; /*!< The right is held from now on. */
        std::function<void(const LeaseName &)> lost; /*!< The right isn't held any more. */
    };

    /**
     * @brief Creates a controller that contends for nothing.
     * @param settings Time limits.
     * @param self Address of this node.
     * @param incarnation Number of this process, never used before at this address.
     * @param clock Clock of this node.
     * @param counters Receives `lease.*` events.
     * @param hooks Ways out; all but `acquired` and `lost` are required.
     */
    LeaseController(Settings settings,
                    NodeAddress self,
                    std::uint64_t incarnation,
                    const Clock &clock,
                    Counters &counters,
                    Hooks hooks);

    /**
     * @brief Tries to get a right whenever it is free.
     * @param right The right.
     */
    auto contend(const LeaseName &right) -> void;

    /**
     * @brief Gives a right up if it is held and tries no more to get it, except as its named successor.
     * @param right The right.
     */
    auto stopContending(const LeaseName &right) -> void;

    /**
     * @brief Tells whether this node has a right at this moment; reads the clock.
     * @param right The right.
     * @return True while one of the two supports is fresh.
     */
    [[nodiscard]] auto holds(const LeaseName &right) const -> bool;

    /**
     * @brief Returns the time up to which a right is held if no further support comes.
     * @param right The right.
     * @return Point on the own clock; nothing when the right isn't held.
     */
    [[nodiscard]] auto heldUntil(const LeaseName &right) const -> std::optional<TimePoint>;

    /**
     * @brief Returns the last known term of a right.
     * @param right The right.
     * @return Term; zero when the right has never been seen.
     */
    [[nodiscard]] auto term(const LeaseName &right) const -> std::uint64_t;

    /**
     * @brief Returns the successor that the last known record names.
     * @param right The right.
     * @return Address; empty when none is known.
     */
    [[nodiscard]] auto successor(const LeaseName &right) const -> NodeAddress;

    /**
     * @brief Returns the rights that are held at this moment.
     * @return Names in order.
     */
    [[nodiscard]] auto heldRights() const -> std::vector<LeaseName>;

    /*! @brief Does the timed work; to be called every 10 to 50 ms. */
    auto tick() -> void;

    /**
     * @brief Takes a message from another node.
     * @param from Its sender.
     * @param message The message.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

    /*! @brief Gives up every right, tells the successors and acquires nothing any more. */
    auto releaseAll() -> void;

    /**
     * @brief Tells whether the store shows every right given up.
     * @return False while a record may still name this process as holder.
     */
    [[nodiscard]] auto allReleased() const -> bool;

private:
    using State = internal::RightState;

    auto handle(const NodeAddress &from, const PromiseRequest &request) -> void;
    auto handle(const NodeAddress &from, const PromiseAnswer &answer) -> void;
    auto handle(const NodeAddress &from, const Released &message) -> void;
    auto handle(const NodeAddress &from, const Orphaned &message) -> void;

    auto noteLapse(const LeaseName &right, State &state) -> void;
    auto lose(const LeaseName &right, State &state) -> void;
    auto requestPromises(const LeaseName &right, State &state) -> void;
    auto serve(const LeaseName &right, State &state) -> void;
    auto read(const LeaseName &right, State &state) -> void;
    auto write(const LeaseName &right, State &state, Record record, AcquisitionKind kind) -> void;
    auto afterRead(const LeaseName &right, const store::Answer &answer) -> void;
    auto afterWrite(const LeaseName &right, const std::string &writeId, const store::Answer &answer) -> void;
    auto observe(const LeaseName &right, State &state, const store::Entry &entry) -> void;
    auto confirm(const LeaseName &right, State &state, const internal::PendingWrite &write) -> void;
    auto announce(const LeaseName &right, State &state) -> void;
    auto act(const LeaseName &right, State &state) -> void;
    auto renew(const LeaseName &right, State &state) -> void;
    auto release(const LeaseName &right, State &state) -> void;
    auto acquire(const LeaseName &right, State &state, AcquisitionKind kind) -> void;

    [[nodiscard]] auto acquirable(const State &state) const -> std::optional<AcquisitionKind>;
    [[nodiscard]] auto mayTakeReleased(const State &state) const -> bool;
    auto wakeNamedNodes(const LeaseName &right, const State &state) -> void;
    [[nodiscard]] auto hasLapsed(const State &state) const -> bool;
    [[nodiscard]] auto mayTakeOver(const State &state) const -> bool;
    [[nodiscard]] auto mayPromise(const State &state, const PromiseRequest &request) const -> bool;
    [[nodiscard]] auto isOwnRecord(const State &state) const -> bool;
    [[nodiscard]] auto nextRead(const State &state) const -> TimePoint;
    [[nodiscard]] auto chooseSuccessor(const LeaseName &right, const State &state) const -> NodeAddress;
    [[nodiscard]] auto nextWriteId() -> std::string;

    Settings settings_;
    NodeAddress self_;
    std::uint64_t incarnation_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    TimePoint startedAt_;
    std::uint64_t writeCount_{};
    std::uint64_t promiseSequence_{};
    bool leaving_{};
    std::map<LeaseName, State> states_;
};

} // namespace jasminelatch::lease

#endif
