#ifndef JASMINELATCH_CONFIGURATION_CONTROLLER_HPP
#define JASMINELATCH_CONFIGURATION_CONTROLLER_HPP

#include "freshness.hpp"
#include "message.hpp"
#include "status.hpp"
#include "store_reader.hpp"
#include "view.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace jasminelatch::configuration {

/**
 * @brief Keeps the newest accepted configuration in force at one node.
 *
 * The holder of a cell reads the store; the other members ask the holder. Change sets are applied strictly in order,
 * or replaced by a snapshot of a higher revision; the revision never decreases. A holder that the store does not
 * answer asks holders of other cells.
 */
class Controller
{
public:
    /*! @brief Times and sizes. */
    struct Settings {
        Duration staleAfter{std::chrono::seconds{4}}; /*!< Age from which keyed requests are refused. */
        Duration askAfter{std::chrono::seconds{1}}; /*!< Age from which a member asks its holder. */
        Duration askOthersAfter{std::chrono::milliseconds{2500}}; /*!< Age from which it asks other holders too. */
        Duration askInterval{std::chrono::seconds{1}}; /*!< Time between two such questions. */
        Duration fetchTimeout{
            std::chrono::milliseconds{500}}; /*!< Time after which newer changes are asked for anew. */
        Duration probeTime{std::chrono::seconds{3}}; /*!< How long a member tries the store after a peer's request. */
        Duration snapshotKept{std::chrono::seconds{10}}; /*!< How long a snapshot that peers read is kept unused. */
        std::size_t askedHolders{5}; /*!< Holders of other cells asked at a time. */
        std::size_t messageBytes{64UL * 1024}; /*!< Size of messages; one larger record or change set may exceed it. */
        std::size_t historyBytes{1024UL * 1024}; /*!< Change sets kept for members that lag. */
        StoreReader::Settings store; /*!< Times of the calls to the store. */
    };

    /*! @brief What the controller needs. */
    struct Hooks {
        store::Call store; /*!< Calls the store. */
        std::function<void(const NodeAddress &to, Message message)> send; /*!< Sends a message. */
        std::function<bool()> isCellHolder; /*!< Whether this node is its cell's holder. */
        std::function<std::optional<NodeAddress>()> cellHolder; /*!< Holder of this node's cell, if known. */
        std::function<std::vector<NodeAddress>()> otherHolders; /*!< Holders of other cells; members in a sole cell. */
        std::function<void(const View &view)> changed; /*!< A new view is in force; may be empty. */
    };

    /**
     * @brief Starts with the empty view of revision zero, which is not fresh.
     * @param settings Times and sizes.
     * @param self Address of this node.
     * @param clock Clock; outlives the controller.
     * @param counters Counters; outlive the controller.
     * @param hooks What it needs.
     * @param seed Seed for the choice of peers.
     */
    Controller(
        Settings settings, NodeAddress self, const Clock &clock, Counters &counters, Hooks hooks, std::uint64_t seed);

    /*! @brief Does the timed work; to be called every 10 to 50 ms. */
    auto tick() -> void;

    /**
     * @brief Takes a message from a peer.
     * @param from Address of the peer.
     * @param message The message; late, doubled and lost ones do no harm.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

    /**
     * @brief Takes the state that a peer sent in the answer to a heartbeat.
     * @param from Address of the peer.
     * @param state Its state.
     * @param askedAt When the heartbeat that it answers was sent.
     */
    auto onPeerState(const NodeAddress &from, const PeerState &state, TimePoint askedAt) -> void;

    /**
     * @brief Takes the revision that a peer mentioned; asks it for what is newer. Confirms nothing.
     * @param from Address of the peer.
     * @param revision Revision in force at it.
     */
    auto onPeerRevision(const NodeAddress &from, Revision revision) -> void;

    /*! @brief Returns this node's state, to be sent in answers to heartbeats. */
    [[nodiscard]] auto peerState() const -> PeerState;

    /*! @brief Returns the view in force; never null. */
    [[nodiscard]] auto view() const noexcept -> const std::shared_ptr<const View> & { return view_; }

    /*! @brief Tells whether no change older than `Settings::staleAfter` can be missing. */
    [[nodiscard]] auto fresh() const -> bool;

    /*! @brief Returns what operators ask for. */
    [[nodiscard]] auto status() const -> NodeStatus;

private:
    struct Question {
        NodeAddress peer;
        TimePoint sentAt;
        bool isCatchUp{};
    };
    struct Ahead {
        NodeAddress peer;
        Revision revision{};
        std::uint32_t unanswered{};
    };
    struct Assembly {
        NodeAddress peer;
        Revision revision{};
        std::vector<SnapshotPart> parts;
    };

    [[nodiscard]] auto readerHooks() -> StoreReader::Hooks;
    [[nodiscard]] auto readsStore() const -> bool;
    auto reportStaleness() -> void;
    auto askPeers() -> void;
    auto askHolder() -> void;
    auto askOtherHolders(std::size_t count, bool probe) -> void;
    auto catchUp() -> void;
    auto ask(const NodeAddress &peer, bool isCatchUp, bool probe) -> void;
    [[nodiscard]] auto takeQuestion(const NodeAddress &from, std::uint64_t id) -> std::optional<Question>;
    auto forgetOldQuestions() -> void;
    auto dropUnusedSnapshot() -> void;

    auto handle(const NodeAddress &from, const Fetch &fetch) -> void;
    auto handle(const NodeAddress &from, const Changes &changes) -> void;
    auto handle(const NodeAddress &from, const Snapshot &snapshot) -> void;
    auto noteAhead(const NodeAddress &from, Revision revision) -> void;
    auto handleState(const NodeAddress &from, const PeerState &state, TimePoint askedAt) -> void;
    [[nodiscard]] auto changesAfter(Revision after) const -> std::vector<ChangeSet>;
    [[nodiscard]] auto snapshotPart(const Fetch &fetch) -> Snapshot;

    auto apply(const ChangeSet &change) -> bool;
    auto replace(Revision revision, std::span<const SnapshotPart> parts) -> void;
    auto setView(View view) -> void;
    auto remember(const ChangeSet &change) -> void;

    Settings settings_;
    NodeAddress self_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    std::mt19937_64 random_;
    std::shared_ptr<const View> view_;
    Freshness freshness_;
    StoreReader reader_;

    std::deque<ChangeSet> history_;
    std::size_t historyBytes_{};
    std::map<std::uint64_t, Question> questions_;
    std::uint64_t lastQuestion_;
    std::optional<TimePoint> lastAsked_;
    std::optional<Ahead> ahead_;
    std::optional<TimePoint> catchUpSentAt_;
    std::optional<Assembly> assembly_;
    std::shared_ptr<const View> served_; // Snapshot that peers are reading part by part.
    std::vector<SnapshotPart> servedParts_;
    TimePoint servedAt_;
    std::optional<TimePoint> probeAskedAt_;
    bool wasFresh_{};
};

} // namespace jasminelatch::configuration

#endif
