#ifndef JASMINELATCH_SIDECAR_REGISTRY_CLIENT_HPP
#define JASMINELATCH_SIDECAR_REGISTRY_CLIENT_HPP

#include "decision_log.hpp"
#include "dialect.hpp"
#include "store_channel.hpp"

#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/evacuation.hpp>
#include <jasminelatch/mesh/freshness.hpp>
#include <jasminelatch/mesh/instance_departure.hpp>
#include <jasminelatch/mesh/member.hpp>
#include <jasminelatch/mesh/peer_message.hpp>
#include <jasminelatch/mesh/stored_crash.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/**
 * @brief Registers this node in the store and follows the records of the other nodes and the configuration.
 *
 * Relays watch the configuration and forward it to the nodes that report to them. A watch delivers changes immediately,
 * but confirms nothing while it waits and may have gone silent. Short polls therefore check at intervals for further
 * changes; API keys are trusted on the strength of their answers only. Peers share these confirmations, so that only a
 * few nodes need to poll.
 *
 * An older copy may replace the store. Its revisions and leases then start over, so everything is read and written
 * anew. The version of the configuration alone tells which of two is newer.
 *
 * Records only tell a starting node which peers to connect to; nodes then announce themselves to their peers. Records
 * are therefore listed at the start and afterwards at long intervals, by cheap reads that may be stale.
 */
class RegistryClient
{
public:
    /*! @brief Timeouts, intervals and backoffs of store calls. */
    struct Settings {
        /*! @brief Time for which a watch waits at the store, which allows 30 s. */
        Duration watchTimeout{std::chrono::seconds{25}};
        Duration checkInterval{std::chrono::milliseconds{250}}; /*!< Interval between freshness checks. */
        /*! @brief Timeout of a call; a watch has it in addition to its wait. */
        Duration callTimeout{std::chrono::milliseconds{1000}};
        Duration leaseDuration{std::chrono::seconds{10}}; /*!< Time for which a record outlives its node. */
        Duration renewInterval{std::chrono::seconds{3}}; /*!< Interval between lease renewals. */
        /*! @brief Minimum time between listings of a store that keeps no history; short compared with the 2 s within
         * which a configuration must take effect. */
        Duration historyGoneInterval{std::chrono::seconds{1}};
        /*! @brief Backoff after a failed call; doubles with each further failure. */
        Duration initialBackoff{std::chrono::milliseconds{200}};
        /*! @brief Upper bound of the backoff, so that all nodes reconnect within 2 s. */
        Duration maxBackoff{std::chrono::milliseconds{1000}};
        /*! @brief Upper bound for nodes that receive confirmations from peers or are cut off from all of them: in an
         * outage the calls of all these nodes would fail together. */
        Duration maxLeafBackoff{std::chrono::seconds{4}};
        /*! @brief Delay of the next watch after changes, so that further changes arrive in one batch; short compared
         * with the 2 s within which a configuration must take effect. */
        Duration batchDelay{std::chrono::milliseconds{300}};
        /*! @brief Delay after the first listing of records; doubles each time. Nodes that start together are missing
         * from each other's first listing. */
        Duration initialListInterval{std::chrono::milliseconds{1500}};
        /*! @brief Upper bound of the listing interval in a small fleet; equals the lease duration. */
        Duration maxListInterval{std::chrono::seconds{10}};
        /*! @brief Number of records that lengthens the bound by another `maxListInterval`, so that a node reads no more
         * bytes per second in a large fleet. */
        std::size_t recordsPerListInterval{100};
        /*! @brief Time after its start in which a node waits to find its peers, by the second listing, and to receive
         * their reports before it polls the store itself. */
        Duration startupGracePeriod{std::chrono::milliseconds{2500}};
        Duration keyValidity{}; /*!< Time for which a confirmation allows API keys to be trusted. */
    };

    /*! @brief Callbacks for changes read from the store. */
    struct Hooks {
        /*! @brief A newer configuration was decoded. */
        std::function<void(mesh::Configuration configuration)> configurationChanged;
        std::function<void(const mesh::Member &member)> memberListed; /*!< A node's record was read. */
        /*! @brief Departures that earlier processes of this node acknowledged, the latest last; never from a stale
         * read.
         */
        std::function<void(std::span<const mesh::InstanceDeparture> departures)> departuresKnown;
        /*! @brief Names of all nodes that have a record, after a complete listing; may lag by seconds. */
        std::function<void(const std::set<std::string> &names)> membersListed;
        std::function<void(const mesh::StoredCrash &stored)> crashListed; /*!< A quarantined request was read. */
        std::function<void()> storeRestored; /*!< An older copy has replaced the store. */
        std::function<void()> evacuationChanged; /*!< The set of evacuated failure domains has changed. */
    };

    /*! @brief Dependencies; all must outlive the client. */
    struct Context {
        event::Loop &loop; /*!< Event loop. */
        const Dialect &dialect; /*!< Adapter to the platform, with its store API. */
        DecisionLog &log; /*!< Structured log. */
        Counters &counters; /*!< Counters of store calls and failures. */
    };

    /**
     * @brief Creates a client that makes no calls before `start`.
     * @param context Dependencies.
     * @param store Address of the store.
     * @param settings Timeouts, intervals and backoffs.
     * @param hooks Callbacks.
     */
    RegistryClient(Context context, const event::Endpoint &store, Settings settings, Hooks hooks);

    RegistryClient(const RegistryClient &) = delete;
    auto operator=(const RegistryClient &) -> RegistryClient & = delete;
    ~RegistryClient() = default;

    /*! @brief Starts to list records and to check freshness. */
    auto start() -> void;

    /**
     * @brief Sets this node's record; it is written once a lease has been granted.
     * @param member The record.
     */
    auto setOwnRecord(const mesh::Member &member) -> void;

    /*! @brief Tells whether the store has shown the departures that earlier processes acknowledged, if any. */
    [[nodiscard]] auto knowsDepartures() const -> bool;

    /*! @brief Removes this node's record before the node stops. */
    auto deregister() -> void;

    /**
     * @brief Applies a confirmation of the store that a peer has forwarded.
     * @param confirmation The confirmation.
     */
    auto applyConfirmation(const mesh::StoreConfirmation &confirmation) -> void;

    /**
     * @brief Applies a configuration that a relay has forwarded; one whose version is not higher is ignored.
     * @param message Configuration as stored.
     */
    auto applyRelayedConfiguration(const mesh::ConfigurationMessage &message) -> void;

    /**
     * @brief Applies the evacuated failure domains that another node has forwarded; a set that is not newer is ignored.
     * @param evacuation The set.
     */
    auto applyEvacuation(const mesh::Evacuation &evacuation) -> void;

    /*! @brief Returns the evacuated failure domains as far as known. */
    [[nodiscard]] auto evacuation() const noexcept -> const mesh::Evacuation &;

    /**
     * @brief Sets this node's role and its rank among the nodes that poll the store.
     * @param isRelay Whether this node is a relay and watches the configuration.
     * @param rank Number of relays that come before this node in order of names.
     * @param peers Number of known peers.
     * @param livePeers Number of peers that are live.
     */
    auto setRelayRank(bool isRelay, std::size_t rank, std::size_t peers, std::size_t livePeers) -> void;

    /*! @brief Returns the version of the configuration in force; zero before the first. */
    [[nodiscard]] auto configurationVersion() const -> std::uint64_t;

    /*! @brief Returns the store revision of the configuration in force, for nodes of earlier builds. */
    [[nodiscard]] auto configurationRevision() const -> std::uint64_t;

    /*! @brief Returns the configuration in force as the store's undecoded value. */
    [[nodiscard]] auto configurationText() const -> const std::string &;

    /*! @brief Returns the era of the store as far as known; zero before an answer has told it. */
    [[nodiscard]] auto storeEra() const -> std::uint64_t;

    /*! @brief Returns the acknowledgement of a peer's report, with the latest confirmation of the store. */
    [[nodiscard]] auto acknowledgement() const -> mesh::ReportAck;

    /*! @brief Tells whether API keys may be trusted. */
    [[nodiscard]] auto isFresh() const -> bool;

    /*! @brief Tells whether this node is the first relay, which does what one node must do for all. */
    [[nodiscard]] auto isFirstRelay() const -> bool;

    /*! @brief Tells whether a configuration is known. */
    [[nodiscard]] auto hasConfiguration() const -> bool;

private:
    auto listAll(const std::string &after) -> void;
    auto handleListing(const HttpConnection::Result &result, TimePoint sentAt) -> void;
    auto finishListing() -> void;
    auto scheduleRecordListing() -> void;
    auto listRecords(const std::string &after) -> void;
    auto handleRecordListing(const HttpConnection::Result &result) -> void;
    auto reportListedMembers() -> void;
    auto watch() -> void;
    auto handleWatchResult(const HttpConnection::Result &result, TimePoint sentAt) -> void;
    auto handleHistoryGone() -> void;
    auto stopWatch() -> void;
    auto restartWatch() -> void;
    auto scheduleFreshnessCheck() -> void;
    auto poll() -> void;
    auto handlePollResult(const HttpConnection::Result &result, TimePoint sentAt) -> void;
    auto applyChanges(const StorePage &page, TimePoint sentAt) -> bool;
    [[nodiscard]] auto readPage(const HttpConnection::Result &result) const -> std::optional<StorePage>;
    auto apply(const StoreItem &item) -> void;
    /*! @brief Returns the failure domain that an item evacuates, or nothing for other items. */
    [[nodiscard]] auto evacuatedDomain(const StoreItem &item) const -> std::optional<std::string>;
    auto noteListedEvacuation(const StoreItem &item) -> void;
    auto applyEvacuationChange(const StoreItem &item) -> void;
    auto applyCrash(const StoreItem &item) -> void;
    /*! @brief Removes an item that a node has recorded long ago, if this node is the one that cleans up. */
    auto removeIfExpired(const StoreItem &item, std::uint64_t recordedMs, Duration memory) -> void;
    /*! @brief Puts a configuration in force unless it is not newer; returns its version, or nothing if unreadable. */
    auto applyConfiguration(const StoreItem &item) -> std::optional<std::uint64_t>;
    /*! @brief Returns whether an older copy has replaced the store, so that everything is read anew. */
    auto noteEra(const HttpConnection::Result &result) -> bool;
    auto handleRestoration() -> void;
    auto confirm(TimePoint sentAt) -> void;
    [[nodiscard]] auto backOff(std::string_view what, const HttpConnection::Result &result) -> Duration;
    auto noteStoreReachable() -> void;

    auto requestLease() -> void;
    auto handleLeaseGrant(const HttpConnection::Result &result) -> void;
    auto scheduleRenewal() -> void;
    auto renew() -> void;
    auto handleRenewal(const HttpConnection::Result &result) -> void;
    /*! @brief Writes the record again under a new lease. */
    auto replaceLease() -> void;
    auto writeRecord() -> void;
    auto handleRecordWrite(const HttpConnection::Result &result, const std::string &written, std::uint64_t lease)
        -> void;
    auto handleRecordConflict(const mesh::Answer &answer) -> void;
    auto setDepartures(std::span<const mesh::InstanceDeparture> departures) -> void;
    auto scheduleRecordRetry() -> void;
    [[nodiscard]] auto jittered(Duration maxDelay, double minFraction) -> Duration;

    Context context_;
    Settings settings_;
    Hooks hooks_;
    StoreChannel watchChannel_;
    StoreChannel pollChannel_;
    StoreChannel callChannel_;
    mesh::Freshness freshness_;
    std::mt19937_64 random_;
    Duration backoff_;
    bool isReachable_{true};
    std::uint64_t revision_{}; /*!< Revision of `era_` up to which every configuration change is applied. */
    std::uint64_t configurationRevision_{}; /*!< Store revision of the configuration's last change. */
    std::optional<std::uint64_t> listingRevision_; /*!< Store revision of the current listing's first page. */
    TimePoint listedAt_; /*!< End of the last complete listing. */
    TimePoint listingSentAt_; /*!< When that page was requested. */
    std::uint64_t storeVersion_{}; /*!< Version of the configuration that the store shows in `era_`. */
    std::optional<std::uint64_t> era_; /*!< Era of the store; nothing before an answer has told it. */
    bool isListing_{};
    bool usesLeafBackoff_{}; /*!< Whether the backoff may grow to `maxLeafBackoff`. */
    bool isWatching_{}; /*!< Whether this node watches the configuration. */
    bool hasFullListing_{}; /*!< Whether a full listing has completed, so that all later changes are seen. */
    bool isFirstListing_{true}; /*!< Whether no listing has completed yet, not even a stale one. */
    TimePoint startedAt_;
    std::string configurationText_;
    bool isPolling_{};
    bool needsWatchRestart_{}; /*!< Whether the watch has failed or may have gone silent. */
    TimePoint nextCallAt_; /*!< Earliest time of the next poll or full listing. */
    event::TimerId watchTimer_{};
    std::size_t relayRank_{};
    std::uint64_t configurationVersion_{};
    bool hasConfiguration_{};
    mesh::Evacuation evacuation_;
    std::set<std::string> listedEvacuations_; /*!< Failure domains that the current listing shows as evacuated. */
    std::set<std::string> listedNames_; /*!< Names of nodes seen by the current listing. */
    Duration listInterval_;
    bool ownRecordWasMissing_{}; /*!< Whether the previous listing lacked this node's record. */

    std::optional<mesh::Member> ownRecord_;
    std::string writtenRecord_;
    std::uint64_t lease_{};
    event::TimerId renewTimer_{};
    bool isWritingRecord_{};
    bool knowsDepartures_{}; /*!< Whether the first write has shown what an earlier process left. */
    bool isLeaving_{};
};

} // namespace jasminelatch::sidecar

#endif
