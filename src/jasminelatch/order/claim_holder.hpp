#ifndef JASMINELATCH_ORDER_CLAIM_HOLDER_HPP
#define JASMINELATCH_ORDER_CLAIM_HOLDER_HPP

#include "claim.hpp"
#include "message.hpp"
#include "settings.hpp"
#include "shard_state.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/lease/right_state.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace jasminelatch::order {

/**
 * @brief Decides for the shards that this node holds which requests may run, and keeps claims for other holders.
 *
 * A claim is granted after it is in the store, or, while the store doesn't answer, in the memory of the process that
 * the shard's value names as replica. A next holder that can't get that memory answers unknown keys with
 * `Decision::OutcomeUnknown` for the retention time. One object serves all shards of a node. It must outlive its
 * store calls.
 */
class ClaimHolder
{
public:
    /*! @brief Ways out of the holder. */
    struct Hooks {
        store::Call store; /*!< Calls the platform's store. */
        std::function<void(const NodeAddress &, Message)> send; /*!< Sends to another node, or to this one. */
        std::function<bool(Shard)> holds; /*!< Tells whether the shard's right is held at this moment. */
        std::function<NodeAddress(Shard)> successor; /*!< Successor that the right's record names; may be empty. */
    };

    /**
     * @brief Creates a holder of no shard.
     * @param settings Limits.
     * @param self Address of this node.
     * @param incarnation Number of this process, never used before at this address.
     * @param clock Clock of this node.
     * @param counters Receives `order.*` events.
     * @param hooks Ways out; all are required.
     */
    ClaimHolder(Settings settings,
                NodeAddress self,
                std::uint64_t incarnation,
                const Clock &clock,
                Counters &counters,
                Hooks hooks);

    /**
     * @brief Begins to decide on a shard; to be called when its right is acquired.
     * @param shard The shard.
     * @param acquisition Term and kind.
     */
    auto acquired(Shard shard, const lease::Acquisition &acquisition) -> void;

    /**
     * @brief Stops deciding on a shard; to be called when its right is lost.
     * @param shard The shard.
     */
    auto lost(Shard shard) -> void;

    /*! @brief Grants no new claims any more and commits all to the store, so that the next holder needs no replica. */
    auto handOver() -> void;

    /**
     * @brief Tells whether the store alone has everything that the next holders need.
     * @return True when nothing is left to commit after `handOver`.
     */
    [[nodiscard]] auto isHandedOver() const -> bool;

    /*! @brief Commits, replicates and forgets what is due; to be called every 10 to 50 ms. */
    auto tick() -> void;

    /**
     * @brief Takes a message from an entry node, a holder or a replica; ignores other messages.
     * @param from Its sender.
     * @param message The message.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

private:
    using State = internal::ShardState;
    using Claim = internal::Claim;

    auto handle(const NodeAddress &from, const ClaimRequest &request) -> void;
    auto handle(const NodeAddress &from, const Result &result) -> void;
    auto handle(const NodeAddress &from, const Replicate &replicate) -> void;
    auto handle(const NodeAddress &from, const ReplicateAck &ack) -> void;
    auto handle(const NodeAddress &from, const FetchReplica &fetch) -> void;
    auto handle(const NodeAddress &from, const ReplicaClaims &replica) -> void;
    static auto handle(const NodeAddress &, const ClaimAnswer &) -> void { }
    static auto handle(const NodeAddress &, const ResultAck &) -> void { }

    auto decideNew(State &state, const std::string &key, const NodeAddress &from, const ClaimRequest &request)
        -> ClaimAnswer;
    auto decideKnown(State &state, Claim &claim, const NodeAddress &from, const ClaimRequest &request) -> ClaimAnswer;
    [[nodiscard]] auto grantFor(const State &state, const RequestId &requestId) const -> ClaimAnswer;
    auto apply(State &state, const Result &result) -> void;
    static auto applyUnknownKey(State &state, const std::string &key, const Result &result, TimePoint now) -> void;
    auto keepAnswer(State &state, const std::string &key, Claim &claim, const Answer &answer) const -> void;

    auto serveStore(Shard shard, State &state) -> void;
    auto read(Shard shard, State &state) -> void;
    auto commit(Shard shard, State &state) -> void;
    auto afterRead(Shard shard, std::uint64_t call, const store::Answer &answer) -> void;
    auto afterCommit(Shard shard, std::uint64_t call, const store::Answer &answer) -> void;
    auto settle(Shard shard, State &state, const store::Entry &entry) -> void;
    auto grantDurable(Shard shard, State &state) -> void;
    [[nodiscard]] auto valueOf(Shard shard, const State &state) const -> ShardValue;
    [[nodiscard]] auto desiredReplica(Shard shard, const State &state) const -> ReplicaId;

    auto load(Shard shard, State &state, ShardValue value) -> void;
    auto fetch(Shard shard, State &state) -> void;
    auto finishLoad(State &state, const internal::Kept &kept, bool complete) -> void;
    auto replicate(Shard shard, State &state) -> void;
    auto sendReplicate(Shard shard, State &state, const NodeAddress &to) -> void;
    [[nodiscard]] auto keptClaims(Shard shard, std::uint64_t term) const -> std::vector<StoredClaim>;
    auto forget(State &state) const -> void;
    auto forgetKept() -> void;
    [[nodiscard]] auto decides(Shard shard, const State &state) const -> bool;

    Settings settings_;
    NodeAddress self_;
    std::uint64_t incarnation_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    bool handingOver_{};
    std::uint64_t callCount_{};
    std::uint64_t messageCount_{};
    std::map<Shard, State> shards_;
    std::map<Shard, internal::Kept> kept_;
};

} // namespace jasminelatch::order

#endif
