#ifndef JASMINELATCH_ORDER_SHARD_STATE_HPP
#define JASMINELATCH_ORDER_SHARD_STATE_HPP

#include "claim.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminelatch::order::internal {

/*! @brief Claim in the holder's memory. */
struct Claim {
    std::string body;
    std::string owner;
    ClaimState state{ClaimState::Pending};
    TimePoint since;
    std::uint64_t sequence{};
    RequestId requestId; /*!< Empty after a change of holder. */
    NodeAddress entry; /*!< Entry node that waits for the grant. */
    std::optional<Answer> answer;
};

/*! @brief Commit that may still take effect. */
struct PendingCommit {
    std::string writeId;
    std::uint64_t through;
    ReplicaId replica;
};

/*! @brief Claims that are on their way to a replica. */
struct SentReplicate {
    std::uint64_t message;
    NodeAddress to;
    std::uint64_t toIncarnation;
    std::uint64_t base; /*!< Claims up to this sequence were committed or acknowledged before. */
    std::uint64_t through;
};

/*! @brief What is known about a process that keeps claims. */
struct Peer {
    std::uint64_t incarnation{};
    std::uint64_t ackedThrough{};
    TimePoint lastSend;
};

/*! @brief Shard in the holder's memory. */
struct ShardState {
    std::uint64_t term{};
    bool active{}; /*!< Between `acquired` and `lost`. */
    bool loaded{}; /*!< The former holders' claims are known, or unknown keys are answered so. */
    std::map<std::string, Claim> claims;
    std::set<std::string> pending; /*!< Keys of claims that may be pending. */
    TimePoint nextSweep;
    std::map<std::string, TimePoint> finished; /*!< Owners that reported not run; a delayed ask is ignored. */
    std::uint64_t lastSequence{};
    std::uint64_t committedThrough{};
    std::optional<TimePoint> unknownUntil;
    std::size_t answerBytes{};
    std::deque<std::string> answerOrder;

    store::Revision revision{};
    std::optional<ShardValue> confirmed; /*!< As last read or written, without its claims. */
    std::vector<PendingCommit> unresolved;
    std::uint64_t pendingCall{}; /*!< Number of the store call under way; zero for none. */
    bool readNow{};
    bool dirty{};
    TimePoint nextCall;

    std::optional<ShardValue> loading; /*!< Former holder's value while its replica is asked. */
    TimePoint fetchUntil;
    TimePoint nextFetch;

    std::map<NodeAddress, Peer> peers;
    std::deque<SentReplicate> sent;

    /*! @brief Returns the processes whose memory a next holder may rely on; nothing when it relies on the store alone.
     */
    [[nodiscard]] auto requiredReplicas() const -> std::optional<std::set<ReplicaId>>;
    /*! @brief Tells whether every next holder will know a claim without the store. */
    [[nodiscard]] auto isReplicated(std::uint64_t sequence) const -> bool;
    /*! @brief Sets a claim's state and gives it a new sequence, so that it is committed again. */
    auto change(Claim &claim, ClaimState state) -> void;
};

/*! @brief Claim that this node keeps for another holder. */
struct KeptClaim {
    StoredClaim claim;
    std::uint64_t term{};
    TimePoint since;
};

using Kept = std::map<std::string, KeptClaim>;

} // namespace jasminelatch::order::internal

#endif
