#ifndef JASMINELATCH_RETRY_ASKER_HPP
#define JASMINELATCH_RETRY_ASKER_HPP

#include "ledger.hpp"
#include "message.hpp"
#include "service_share.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace jasminelatch::retry {

/*! @brief Wish of a dispatching node for one retry. */
struct Need {
    RequestId request; /*!< Client request at the root of the call tree. */
    NodeAddress ledger; /*!< Entry node of the client request. */
    ServiceName service; /*!< Service to be retried. */
    Reason reason{Reason::BackendFailed}; /*!< Why the last attempt failed. */
    Duration remaining{}; /*!< Time left until the deadline of the call, in microseconds. */
    std::uint32_t retriesMade{}; /*!< Retries that this hop has made for this call, for `Mode::CopiedBudget` only. */
};

/**
 * @brief Asks the ledger of a client request before each retry, on the dispatching side.
 */
class Asker
{
public:
    /*! @brief Receives the answer: true when one retry may be made now. It may be called from within `ask`. */
    using Callback = std::function<void(bool granted)>;

    /*! @brief Ways out of the controller. */
    struct Hooks {
        std::function<void(const NodeAddress &to, Message)> send; /*!< Sends a message to a node. */
        std::function<Verdict(const Ask &)> decideLocally; /*!< Asks the ledger of this node. */
    };

    /**
     * @brief Makes an asker without open asks.
     * @param settings Settings.
     * @param self Address of this node.
     * @param incarnation Random number of this process.
     * @param clock Clock of this node.
     * @param counters Counters of this node.
     * @param hooks Ways out; all are required.
     */
    Asker(const Settings &settings,
          NodeAddress self,
          std::uint64_t incarnation,
          const Clock &clock,
          Counters &counters,
          Hooks hooks);

    /**
     * @brief Counts one first attempt, which earns the service a share of a retry.
     * @param service Service that it was sent to.
     */
    auto dispatched(const ServiceName &service) -> void;

    /**
     * @brief Asks for one retry.
     * @param need The wish.
     * @param callback Called exactly once: at once, or after at most the answer timeout and a tick.
     */
    auto ask(const Need &need, Callback callback) -> void;

    /**
     * @brief Takes a message; asks and grants from other nodes than the one asked are ignored.
     * @param from Node that sent it.
     * @param message The message.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

    /*! @brief Ends asks that got no answer; call it every 10 to 50 ms. */
    auto tick() -> void;

private:
    struct OpenAsk {
        NodeAddress ledger;
        ServiceName service;
        bool charged{};
        TimePoint deadline;
        Callback callback;
    };

    auto finish(const ServiceName &service, bool charged, Verdict verdict, const Callback &callback) -> void;

    Settings settings_;
    NodeAddress self_;
    std::uint64_t incarnation_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    ServiceShare share_;
    std::map<std::uint64_t, OpenAsk> open_;
    std::uint64_t nextAsk_{1};
};

} // namespace jasminelatch::retry

#endif
