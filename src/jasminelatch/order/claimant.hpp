#ifndef JASMINELATCH_ORDER_CLAIMANT_HPP
#define JASMINELATCH_ORDER_CLAIMANT_HPP

#include "message.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/refusal.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace jasminelatch::order {

/*! @brief Request of a non-idempotent kind. */
struct Ask {
    AccountName account; /*!< Client account. */
    std::string idempotencyKey; /*!< Key chosen by the client. */
    RequestId requestId; /*!< Unique id, never used before by any process. */
    std::string bodyHash; /*!< Hash of the body. */
};

/*! @brief Permission to run a request once. */
struct Grant {
    TimePoint dispatchBefore; /*!< A request that isn't dispatched by then must be reported as not run. */
    std::uint64_t term{}; /*!< Holder's term. */
};

/*! @brief What becomes of a request. */
using Verdict = std::variant<Grant, Answer, Refusal>;

/**
 * @brief Entry node's side of claims: asks the shard's holder and reports results.
 *
 * A refusal with `Outcome::NotRun` speaks of that request alone: an earlier request with the same key may have run.
 */
class Claimant
{
public:
    /*! @brief Ways out of the claimant. */
    struct Hooks {
        std::function<void(const NodeAddress &, Message)> send; /*!< Sends to another node, or to this one. */
        std::function<std::optional<NodeAddress>(Shard)> holderOf; /*!< Best guess at the present holder. */
    };

    /**
     * @brief Creates a claimant without requests.
     * @param settings Limits.
     * @param shardCount Number of shards, at least one; the same everywhere.
     * @param clock Clock of this node.
     * @param counters Receives `order.*` events.
     * @param hooks Ways out; all are required.
     */
    Claimant(Settings settings, std::uint32_t shardCount, const Clock &clock, Counters &counters, Hooks hooks);

    /**
     * @brief Asks whether a request may run.
     * @param ask The request.
     * @param decided Called once with the verdict, never from within this call.
     */
    auto claim(Ask ask, std::function<void(Verdict)> decided) -> void;

    /**
     * @brief Reports how a granted request ended.
     * @param requestId The request.
     * @param kind How it ended; `NotRun` only if it never reached a backend server that may still run it.
     * @param answer Answer of a request that ran.
     */
    auto report(const RequestId &requestId, ResultKind kind, Answer answer = {}) -> void;

    /*! @brief Repeats what wasn't answered and gives up what took too long. */
    auto tick() -> void;

    /**
     * @brief Takes a message from a holder; ignores other messages.
     * @param from Its sender.
     * @param message The message.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

    /*! @brief Returns the number of reports that no holder has acknowledged. */
    [[nodiscard]] auto openReports() const noexcept -> std::size_t { return reports_.size(); }

private:
    struct PendingAsk {
        Ask ask;
        Shard shard;
        TimePoint since;
        TimePoint nextSend;
        std::function<void(Verdict)> decided;
    };

    struct GrantedAsk {
        Ask ask;
        Shard shard;
    };

    struct PendingReport {
        Result result;
        TimePoint nextSend;
        TimePoint dropAt;
    };

    auto handle(const ClaimAnswer &answer) -> void;
    auto handle(const ResultAck &ack) -> void;
    auto grant(PendingAsk pending, const ClaimAnswer &answer) -> void;
    auto giveUp(const PendingAsk &pending) -> void;
    auto queueReport(const Ask &ask, Shard shard, ResultKind kind, Answer answer) -> void;
    auto sendAsks() -> void;
    auto sendReports() -> void;

    Settings settings_;
    std::uint32_t shardCount_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    std::map<RequestId, PendingAsk> asks_;
    std::map<RequestId, GrantedAsk> granted_;
    std::map<RequestId, PendingReport> reports_;
};

} // namespace jasminelatch::order

#endif
