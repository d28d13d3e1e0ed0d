#ifndef JASMINELATCH_CONNECTION_MONITOR_HPP
#define JASMINELATCH_CONNECTION_MONITOR_HPP

#include "answer_cache.hpp"
#include "message.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/refusal.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace jasminelatch::connection {

/*! @brief Settings of the watch over connections. */
struct Settings {
    Duration heartbeatInterval{std::chrono::milliseconds{300}}; /*!< Between heartbeats on a connection in use. */
    Duration idleInterval{std::chrono::seconds{10}}; /*!< Between heartbeats on an idle connection. */
    Duration inUseFor{std::chrono::seconds{3}}; /*!< Time after its last request that a connection counts as in use. */
    Duration silentAfter{std::chrono::seconds{1}}; /*!< Age of an unanswered heartbeat that means silence. */
    Duration reopenInterval{std::chrono::milliseconds{500}}; /*!< Between attempts to open a new connection. */
    Duration lostAfter{std::chrono::seconds{3}}; /*!< Time without a new connection after which a peer is lost. */
    Duration queryInterval{std::chrono::milliseconds{300}}; /*!< Between queries for the same answers. */
    Duration notRunTrust{std::chrono::minutes{1}}; /*!< Age of a request from which "not run" is no longer believed;
                                                        shorter than `CacheSettings::idRetention`. */
    Duration longestTickGap{std::chrono::milliseconds{500}}; /*!< A longer gap means that this process was paused. */
};

/**
 * @brief Watches the connections to all peers and settles what became of requests sent over silent ones.
 *
 * Only an answer to an own heartbeat or request shows that both directions work. Each request in doubt gets exactly one
 * of an answer, noted by `answered`, and `Hooks::outcome`.
 */
class Monitor
{
public:
    /*! @brief Actions of the monitor; they may call it back at once. */
    struct Hooks {
        std::function<void(const NodeAddress &to, const Message &)> send; /*!< Sends over the newest connection. */
        std::function<void(const NodeAddress &)> reopen; /*!< Opens a new connection; `opened` tells of success. */
        std::function<void(const RequestId &, Outcome)> outcome; /*!< No answer will come; only `NotRun` allows
                                                                      an order to be sent again. */
        std::function<void(const NodeAddress &)> peerLost; /*!< No new connection could be opened. */
    };

    /**
     * @brief Creates a monitor without peers.
     * @param settings Settings.
     * @param clock Clock; must outlive the monitor.
     * @param counters Counters; must outlive the monitor.
     * @param cache Answers of this node, for queries of peers; must outlive the monitor.
     * @param hooks Actions.
     */
    Monitor(Settings settings, const Clock &clock, Counters &counters, AnswerCache &cache, Hooks hooks);

    /**
     * @brief Tells that a connection to a peer is open and will carry what is sent from now on.
     * @param peer The peer.
     */
    auto opened(const NodeAddress &peer) -> void;

    /**
     * @brief Tells that the newest connection to a peer broke: it is treated as silent at once.
     * @param peer The peer.
     */
    auto closed(const NodeAddress &peer) -> void;

    /**
     * @brief Tells that a request is being sent.
     * @param peer Where to.
     * @param id The request.
     * @return Incarnation that the request must carry for `AnswerCache::begin`; zero while the peer is not confirmed.
     */
    auto sent(const NodeAddress &peer, const RequestId &id) -> Incarnation;

    /**
     * @brief Tells that an answer arrived, a refusal included.
     * @param peer Where from.
     * @param id The request.
     * @return False when the request is not waited for: it has had its answer or outcome, or was given up.
     */
    auto answered(const NodeAddress &peer, const RequestId &id) -> bool;

    /**
     * @brief Stops waiting for a request; no outcome follows.
     * @param peer Where it was sent to.
     * @param id The request.
     */
    auto giveUp(const NodeAddress &peer, const RequestId &id) -> void;

    /**
     * @brief Tells that any message arrived; it shows one direction only.
     * @param peer Where from.
     */
    auto heard(const NodeAddress &peer) -> void;

    /**
     * @brief Takes in a message of this module.
     * @param from Node it came from.
     * @param message The message.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

    /*! @brief Does all timed work; to be called every 10 to 50 ms. */
    auto tick() -> void;

    /**
     * @brief Tells whether a peer's connection works and its incarnation is known; orders should go to such peers.
     * @param peer The peer.
     * @return True when a heartbeat has been answered on the newest connection.
     */
    [[nodiscard]] auto isConfirmed(const NodeAddress &peer) const -> bool;

    /**
     * @brief Returns the requests that wait for an answer.
     * @return Number of requests over all peers.
     */
    [[nodiscard]] auto pendingCount() const -> std::size_t;

private:
    enum class Link : std::uint8_t { Open, Reopening, Lost };

    struct Heartbeat {
        std::uint64_t sequence{};
        TimePoint sentAt;
    };

    struct Pending {
        Incarnation incarnation{};
        TimePoint sentAt;
        bool inDoubt{};
    };

    struct Peer {
        Link link{Link::Open};
        bool confirmed{};
        bool afterSilence{};
        Incarnation incarnation{};
        std::deque<Heartbeat> unanswered;
        TimePoint heartbeatAt;
        TimePoint usedAt;
        TimePoint heardAt;
        TimePoint silentSince;
        TimePoint reopenAt;
        TimePoint queryAt;
        std::map<RequestId, Pending> pending;
    };

    auto peerFor(const NodeAddress &address) -> Peer &;
    auto onPing(const NodeAddress &from, const Ping &ping) -> void;
    auto onPong(const NodeAddress &from, const Pong &pong) -> void;
    auto onProof(Peer &peer, TimePoint sentAt) -> void;
    auto onReport(const NodeAddress &from, const AnswerReport &report) -> void;
    auto onRestart(Peer &peer) -> void;
    auto onStatus(Peer &peer, const AnswerStatus &status) -> void;
    auto watch(const NodeAddress &address, Peer &peer) -> void;
    auto watchOpen(const NodeAddress &address, Peer &peer) -> void;
    auto watchReopening(const NodeAddress &address, Peer &peer) -> void;
    auto lose(const NodeAddress &address, Peer &peer) -> void;
    auto sendHeartbeat(const NodeAddress &address, Peer &peer) -> void;
    auto query(const NodeAddress &address, Peer &peer) -> void;
    auto startReopening(const NodeAddress &address, Peer &peer) -> void;
    auto settle(Peer &peer, const RequestId &id, Outcome outcome) -> void;
    auto forgivePause() -> void;
    [[nodiscard]] auto isInUse(const Peer &peer) const -> bool;

    Settings settings_;
    const Clock *clock_;
    Counters *counters_;
    AnswerCache *cache_;
    Hooks hooks_;
    std::map<NodeAddress, Peer> peers_;
    std::uint64_t sequence_{};
    TimePoint tickAt_;
};

} // namespace jasminelatch::connection

#endif
