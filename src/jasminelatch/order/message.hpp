#ifndef JASMINELATCH_ORDER_MESSAGE_HPP
#define JASMINELATCH_ORDER_MESSAGE_HPP

#include "claim.hpp"

#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/json.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminelatch::order {

/*! @brief Entry node to holder: asks whether a request may run. */
struct ClaimRequest {
    static constexpr std::string_view type = "order.claim_request";

    Shard shard{}; /*!< Shard of account and key. */
    AccountName account; /*!< Client account. */
    std::string idempotencyKey; /*!< Key chosen by the client. */
    RequestId requestId; /*!< Unique id of this request at its entry node. */
    std::string bodyHash; /*!< Hash of the body. */
};

/*! @brief What the holder decides. */
enum class Decision : std::uint8_t {
    Granted, /*!< Run it, within the validity. */
    InProgress, /*!< Another request with this key may be running. */
    Answered, /*!< It ran before; without `hasAnswer` its answer isn't kept any more. */
    Conflict, /*!< The key was used with another body. */
    OutcomeUnknown, /*!< It may have run before. */
    HolderUnavailable, /*!< The holder can't decide now; ask again. */
    NotHolder /*!< Ask the present holder. */
};

/*! @brief Holder to entry node. */
struct ClaimAnswer {
    static constexpr std::string_view type = "order.claim_answer";

    RequestId requestId; /*!< From the request. */
    Decision decision{Decision::NotHolder}; /*!< What was decided. */
    std::uint64_t term{}; /*!< Holder's term. */
    Duration validity{}; /*!< For `Granted`: time from the first ask to the dispatch, at most. */
    bool hasAnswer{}; /*!< For `Answered`: `answer` is set. */
    Answer answer; /*!< Stored answer. */
};

/*! @brief How a granted request ended. */
enum class ResultKind : std::uint8_t {
    Answered, /*!< It ran; `answer` is set. */
    NotRun, /*!< It didn't run and never will; the key may be claimed again. */
    Unknown /*!< It may have run. */
};

/*! @brief Entry node to holder: final report on one request; sent until acknowledged. */
struct Result {
    static constexpr std::string_view type = "order.result";

    Shard shard{}; /*!< From the claim. */
    AccountName account; /*!< From the claim. */
    std::string idempotencyKey; /*!< From the claim. */
    RequestId requestId; /*!< From the claim. */
    std::string bodyHash; /*!< From the claim. */
    ResultKind kind{ResultKind::Unknown}; /*!< How it ended. */
    Answer answer; /*!< For `Answered`. */
};

/*! @brief Holder to entry node: the report has arrived. */
struct ResultAck {
    static constexpr std::string_view type = "order.result_ack";

    RequestId requestId; /*!< From the report. */
};

/*! @brief Holder to successor: claims that the store may lack. */
struct Replicate {
    static constexpr std::string_view type = "order.replicate";

    Shard shard{}; /*!< Their shard. */
    std::uint64_t term{}; /*!< Holder's term. */
    std::uint64_t message{}; /*!< Number of the message within the holder's process. */
    std::uint64_t toIncarnation{}; /*!< Process that is meant; zero when not known yet. */
    std::uint64_t committedThrough{}; /*!< Highest sequence that the store has. */
    std::vector<StoredClaim> claims; /*!< Claims to keep. */
};

/*! @brief Successor to holder. */
struct ReplicateAck {
    static constexpr std::string_view type = "order.replicate_ack";

    Shard shard{}; /*!< From the message. */
    std::uint64_t term{}; /*!< From the message. */
    std::uint64_t message{}; /*!< From the message. */
    std::uint64_t incarnation{}; /*!< Process that answers. */
    bool accepted{}; /*!< False when another process was meant: nothing was kept. */
};

/*! @brief New holder to the former holder's replica: asks for what it keeps. */
struct FetchReplica {
    static constexpr std::string_view type = "order.fetch_replica";

    Shard shard{}; /*!< Shard. */
    std::uint64_t term{}; /*!< Term of the former holder. */
    std::uint64_t incarnation{}; /*!< Process that is meant; another one doesn't answer. */
};

/*! @brief Replica to new holder. */
struct ReplicaClaims {
    static constexpr std::string_view type = "order.replica_claims";

    Shard shard{}; /*!< Shard. */
    std::uint64_t term{}; /*!< Term of the former holder. */
    std::uint64_t incarnation{}; /*!< Process that answers. */
    std::vector<StoredClaim> claims; /*!< All that it keeps of that term. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimRequest, shard, account, idempotencyKey, requestId, bodyHash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimAnswer, requestId, decision, term, validity, hasAnswer, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Result, shard, account, idempotencyKey, requestId, bodyHash, kind, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResultAck, requestId)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Replicate, shard, term, message, toIncarnation, committedThrough, claims)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplicateAck, shard, term, message, incarnation, accepted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FetchReplica, shard, term, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplicaClaims, shard, term, incarnation, claims)

/*! @brief Any message between entry nodes, holders and replicas. */
using Message =
    std::variant<ClaimRequest, ClaimAnswer, Result, ResultAck, Replicate, ReplicateAck, FetchReplica, ReplicaClaims>;

} // namespace jasminelatch::order

#endif
