#ifndef JASMINELATCH_NODE_REQUEST_PATH_HPP
#define JASMINELATCH_NODE_REQUEST_PATH_HPP

#include "controllers.hpp"
#include "settings.hpp"

#include <jasminelatch/admission/upstream_gate.hpp>
#include <jasminelatch/balance/picker.hpp>
#include <jasminelatch/call/dispatcher.hpp>
#include <jasminelatch/call/exchange.hpp>
#include <jasminelatch/call/executor.hpp>
#include <jasminelatch/connection/answer_cache.hpp>
#include <jasminelatch/connection/monitor.hpp>
#include <jasminelatch/filter/chain.hpp>
#include <jasminelatch/metrics/latency_summary.hpp>
#include <jasminelatch/retry/asker.hpp>
#include <jasminelatch/retry/ledger.hpp>
#include <jasminelatch/secret/fleet_secret.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace jasminelatch::node {

/*! @brief Number of a request at the door that it came through. */
struct DoorNumber {
    call::Origin door{call::Origin::Caller}; /*!< The door. */
    std::uint64_t number{}; /*!< Number at that door. */

    auto operator==(const DoorNumber &) const -> bool = default;
};

/*! @brief Latencies and counts of the requests that entered at this node. */
struct RequestStatistics {
    metrics::LatencySummary answered; /*!< Whole answers. */
    metrics::LatencySummary refused; /*!< Refusals. */
};

/**
 * @brief Way of a request through this node: filters, dispatch, execution and answer.
 */
class RequestPath
{
public:
    /*! @brief Ways out. */
    struct Hooks {
        std::function<void(const NodeAddress &to, wire::Message)> send; /*!< Sends to a node, itself included. */
        std::function<void(const NodeAddress &to, std::string_view bytes)> resend; /*!< Sends an encoded message. */
        std::function<std::string(const wire::Message &)> encode; /*!< Encodes a message. */
        std::function<void(const NodeAddress &)> reopen; /*!< Opens a new connection to a node. */
        std::function<void(const call::BackendCall &)> callBackend; /*!< Calls the backend server. */
        std::function<void(const RequestId &)> cancelBackend; /*!< Ends a call to the backend server. */
        std::function<void(DoorNumber, net::HttpResponse)> answer; /*!< Answers a request; once for each. */
    };

    /**
     * @brief Creates a path that takes requests.
     * @param settings Settings of the node.
     * @param incarnation Number of this process.
     * @param controllers Shared state; must outlive the path.
     * @param clock Clock; must outlive the path.
     * @param counters Counters; must outlive the path.
     * @param hooks Ways out.
     */
    RequestPath(const Settings &settings,
                std::uint64_t incarnation,
                Controllers &controllers,
                const Clock &clock,
                Counters &counters,
                Hooks hooks);

    RequestPath(const RequestPath &) = delete;
    auto operator=(const RequestPath &) -> RequestPath & = delete;

    /**
     * @brief Takes a request; exactly one `Hooks::answer` follows.
     * @param from Its number at its door.
     * @param request The request.
     */
    auto handle(DoorNumber from, net::HttpRequest request) -> void;

    /**
     * @brief Tells that the sender of a request is gone.
     * @param from Its number at its door.
     */
    auto gone(DoorNumber from) -> void;

    /**
     * @brief Tells how a call to the backend server ended.
     * @param attempt Attempt that was run.
     * @param result How it ended.
     */
    auto backendAnswered(const RequestId &attempt, call::BackendResult result) -> void;

    /*! @brief Takes a message of calls. */
    auto receive(const NodeAddress &from, const call::Message &message) -> void;
    /*! @brief Takes a message of connections. */
    auto receive(const NodeAddress &from, const connection::Message &message) -> void;
    /*! @brief Takes a message of retries. */
    auto receive(const NodeAddress &from, const retry::Message &message) -> void;

    /*! @brief Tells that a connection to a node carries messages. */
    auto connectionOpened(const NodeAddress &peer) -> void;
    /*! @brief Tells that the connection to a node broke. */
    auto connectionClosed(const NodeAddress &peer) -> void;
    /*! @brief Tells that any message came from a node. */
    auto heard(const NodeAddress &peer) -> void;

    /**
     * @brief Passes on the endpoints of a service.
     * @param service The service.
     */
    auto endpointsChanged(const ServiceName &service) -> void;

    /*! @brief Refuses new requests from callers and other nodes from now on. */
    auto leave() -> void;

    /*! @brief Does all timed work; to be called every 10 to 50 ms. */
    auto tick() -> void;

    /*! @brief Returns the executor. */
    [[nodiscard]] auto executor() noexcept -> call::Executor & { return executor_; }
    /*! @brief Returns the requests without an answer, at all doors and from other nodes. */
    [[nodiscard]] auto openRequests() const noexcept -> std::size_t { return exchanges_.size() + executor_.size(); }
    /*! @brief Returns latencies and counts. */
    [[nodiscard]] auto statistics() const noexcept -> const RequestStatistics & { return statistics_; }

private:
    struct Open {
        call::Exchange exchange;
        DoorNumber from;
    };

    [[nodiscard]] auto filters() -> std::vector<filter::Filter>;
    [[nodiscard]] auto leavingFilter() -> filter::Filter;
    [[nodiscard]] auto rateFilter() -> filter::Filter;
    [[nodiscard]] auto gateFilter() -> filter::Filter;
    [[nodiscard]] auto orderFilter() -> filter::Filter;
    [[nodiscard]] auto chainHooks() -> filter::Chain::Hooks;
    [[nodiscard]] auto dispatcherHooks() -> call::Dispatcher::Hooks;
    [[nodiscard]] auto executorHooks() -> call::Executor::Hooks;
    [[nodiscard]] auto askerHooks() -> retry::Asker::Hooks;
    [[nodiscard]] auto monitorHooks() -> connection::Monitor::Hooks;
    [[nodiscard]] auto newId() -> RequestId;

    auto claim(const call::Exchange &exchange, const std::string &key, const filter::Resume &resume) -> void;
    auto
    onClaimed(const RequestId &id, const std::string &key, const order::Verdict &verdict, const filter::Resume &resume)
        -> void;
    auto reportOrder(const call::Exchange &exchange, const call::JobResult &result) -> void;
    auto onJobDone(const RequestId &id, call::JobResult result) -> void;
    auto dispatch(call::Exchange &exchange) -> void;
    auto sendAttempt(const NodeAddress &to, const call::Attempt &attempt) -> void;
    auto cancelAttempt(const NodeAddress &to, const RequestId &attempt) -> void;
    auto reply(const NodeAddress &to, const call::Answer &answer) -> void;
    auto endNested(const RequestId &parent) -> void;
    auto peerSilent(const NodeAddress &peer) -> void;
    auto expireWaiting() -> void;
    auto refuse(const RequestId &id, const Refusal &refusal) -> void;
    auto finish(const RequestId &id, net::HttpResponse response) -> void;
    auto close(const RequestId &id, net::HttpResponse response, metrics::LatencySummary &summary) -> void;

    NodeAddress self_;
    std::string idPrefix_;
    std::uint64_t lastId_{};
    Controllers *controllers_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    secret::FleetSecret secret_;
    balance::Picker picker_;
    admission::UpstreamGate gate_;
    retry::Ledger ledger_;
    retry::Asker asker_;
    connection::AnswerCache cache_;
    connection::Monitor monitor_;
    call::Dispatcher dispatcher_;
    call::Executor executor_;
    filter::Chain chain_;
    RequestStatistics statistics_;
    std::unordered_map<RequestId, Open> exchanges_;
    std::unordered_map<std::uint64_t, RequestId> atCallers_;
    std::unordered_map<std::uint64_t, RequestId> atBackendServer_;
    bool gateEnabled_;
    bool leaving_{};
};

} // namespace jasminelatch::node

#endif
