#ifndef JASMINELATCH_SIDECAR_LOCAL_INSTANCE_HPP
#define JASMINELATCH_SIDECAR_LOCAL_INSTANCE_HPP

#include "decision_log.hpp"
#include "dialect.hpp"
#include "instance_pool.hpp"

#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/call_learner.hpp>
#include <jasminelatch/mesh/hop.hpp>
#include <jasminelatch/mesh/instance_breaker.hpp>
#include <jasminelatch/mesh/instance_gate.hpp>
#include <jasminelatch/mesh/instance_record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace jasminelatch::sidecar {

/**
 * @brief The instance beside this node; the node is the only way to it.
 *
 * What must hold at the instance is decided here: which requests run, in which order, and that none comes after the
 * node has acknowledged the instance's leaving.
 */
class LocalInstance
{
public:
    /*! @brief Called once with the word on a request. */
    using Finished = std::function<void(mesh::HopReply reply)>;

    /*! @brief What the instance depends on; all of it outlives the instance. */
    struct Context {
        event::Loop &loop; /*!< Loop. */
        const Dialect &dialect; /*!< Names and formats. */
        DecisionLog &log; /*!< Log. */
        Counters &counters; /*!< Counters. */
        mesh::CallLearner &learner; /*!< Learns what runs cost. */
        ByteBudget &budget; /*!< Bound on what connections hold of answers that are still coming in. */
    };

    /**
     * @brief Makes an instance that has not reported yet.
     * @param context What it depends on.
     * @param address Address of the instance.
     * @param service Service of the instance.
     */
    LocalInstance(Context context, const event::Endpoint &address, std::string service);

    LocalInstance(const LocalInstance &) = delete;
    auto operator=(const LocalInstance &) -> LocalInstance & = delete;
    ~LocalInstance() = default;

    /**
     * @brief Takes in a report of the instance.
     * @param report The report.
     * @return False when it changes nothing since it is late.
     */
    auto report(const mesh::InstanceReport &report) -> bool;

    /**
     * @brief Asks the instance who it is, so that a node that starts beside it need not wait for its next report.
     * @param path Path on which it answers.
     * @param found Called when it is healthy, with what it says of itself.
     */
    auto queryHealth(const std::string &path, std::function<void(const mesh::InstanceReport &report)> found) -> void;

    /*! @brief Turns new requests away from now on: the node is about to stop. */
    auto stopAccepting() -> void;

    /*! @brief Tells whether new requests are taken. */
    [[nodiscard]] auto isAccepting() const -> bool;

    /**
     * @brief Runs a request.
     * @param request The request.
     * @param finished What to call; not called after `cancel`, nor before this function returns.
     * @return Name of the request.
     */
    auto submit(mesh::HopRequest request, Finished finished) -> std::uint64_t;

    /**
     * @brief Withdraws a request; the instance stops working on it.
     * @param name Name of the request.
     */
    auto cancel(std::uint64_t name) -> void;

    /*! @brief Returns the newest report. */
    [[nodiscard]] auto latest() const noexcept -> const mesh::InstanceReport &;

    /*! @brief Returns the load. */
    [[nodiscard]] auto load() const -> mesh::InstanceLoad;

    /*! @brief Returns the number of requests that run or wait. */
    [[nodiscard]] auto activeRequests() const -> std::size_t;

private:
    struct Entry {
        mesh::HopRequest request;
        Finished finished;
        TimePoint submittedAt;
        TimePoint startedAt;
        std::uint64_t sending{}; /*!< Name in the pool; zero while it waits. */
        event::TimerId deadlineTimer{};
    };

    auto run(std::uint64_t name) -> void;
    auto refuseQueue() -> void;
    auto answered(std::uint64_t name, HttpConnection::Result result) -> void;
    auto runEnded(const Entry &entry) -> void;
    auto holdBack(std::uint64_t name) -> void;
    auto noteLife(const HttpConnection::Result &result) -> void;
    auto deadlinePassed(std::uint64_t name) -> void;
    auto reply(std::uint64_t name, mesh::HopReply reply) -> void;
    auto advance() -> void;
    auto scheduleSweep() -> void;
    [[nodiscard]] auto judge(HttpConnection::Result &&result) -> mesh::HopReply;
    [[nodiscard]] auto refusal(mesh::HopReason reason, Duration retryAfter) const -> mesh::HopReply;

    Context context_;
    event::Endpoint address_;
    std::string service_;
    InstancePool pool_;
    mesh::InstanceGate gate_;
    mesh::InstanceBreaker breaker_;
    mesh::InstanceRecord record_;
    std::map<std::uint64_t, Entry> entries_;
    std::uint64_t lastName_{};
    event::TimerId sweepTimer_{};
    bool stopped_{};
};

} // namespace jasminelatch::sidecar

#endif
