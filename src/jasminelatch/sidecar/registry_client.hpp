#ifndef JASMINELATCH_SIDECAR_REGISTRY_CLIENT_HPP
#define JASMINELATCH_SIDECAR_REGISTRY_CLIENT_HPP

#include "decision_log.hpp"
#include "dialect.hpp"
#include "store_channel.hpp"

#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/mesh/freshness.hpp>
#include <jasminelatch/mesh/member.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace jasminelatch::sidecar {

/**
 * @brief Keeps this node's record in the store, and follows the records of the others and the configuration.
 *
 * Relays watch the configuration and pass it on to the nodes that report to them. The watch brings changes at once but
 * confirms nothing while it waits and may have gone silent; so short calls ask now and then whether there is more,
 * which is what lets keys be trusted. Peers pass their answers on, and only few nodes need to ask.
 *
 * Records only show a node that starts whom to connect to: nodes tell their peers of themselves. So they are listed at
 * the start and then now and then, from a cheap copy that may be old.
 */
class RegistryClient
{
public:
    /*! @brief Times of the calls. */
    struct Settings {
        Duration watchTimeout{std::chrono::seconds{25}}; /*!< Time that a watch waits at the store; it allows 30 s. */
        Duration checkInterval{std::chrono::milliseconds{250}}; /*!< Interval at which freshness is looked at. */
        Duration callTimeout{std::chrono::milliseconds{1000}}; /*!< Time for an answer beyond that. */
        Duration leaseDuration{std::chrono::seconds{10}}; /*!< Time that a record outlives its node. */
        Duration renewInterval{std::chrono::seconds{3}}; /*!< Interval between renewals. */
        Duration initialBackoff{std::chrono::milliseconds{200}}; /*!< Pause after a failed call; doubles. */
        Duration maxBackoff{std::chrono::milliseconds{1000}}; /*!< Longest pause, so that all are back in 2 s. */
        Duration maxLeafBackoff{std::chrono::seconds{4}}; /*!< Longest pause of a node that hears of the store through
                                                               others, or would if it weren't cut off from them: all
                                                               those calls would be in vain at once. */
        Duration batchDelay{std::chrono::milliseconds{300}}; /*!< Pause after changes, so that more come at once; short
                                                                beside the 2 s in which a configuration is due. */
        Duration initialListInterval{
            std::chrono::milliseconds{1500}}; /*!< Pause after the first listing of records; doubles:
                                                 nodes that start together miss one another. */
        Duration maxListInterval{std::chrono::seconds{10}}; /*!< Longest pause in a small fleet: the time of a lease. */
        std::size_t recordsPerListInterval{100}; /*!< Records that make it that much longer, so that a node reads the
                                               same number of bytes a second in a large fleet. */
        Duration startupGracePeriod{std::chrono::milliseconds{2500}}; /*!< Time in which a node that has just started
                                                                    finds its peers, with the second listing, and hears
                                                                    from them, before it asks the store itself. */
        Duration keyValidity{}; /*!< Time for which a confirmation lets keys be trusted. */
    };

    /*! @brief What the keeper calls. */
    struct Hooks {
        std::function<void(mesh::Configuration configuration)> configurationChanged; /*!< A newer configuration. */
        std::function<void(const mesh::Member &member)> memberListed; /*!< A node has a record. */
        /*! @brief Record that the process before this one has left, not from a copy that may be old; or nothing. */
        std::function<void(const std::optional<mesh::Member> &record)> previousRecord;
        /*! @brief Names of all nodes that have a record; may be seconds old. */
        std::function<void(const std::set<std::string> &names)> membersListed;
    };

    /*! @brief What the keeper depends on; all of it outlives the keeper. */
    struct Context {
        event::Loop &loop; /*!< Loop. */
        const Dialect &dialect; /*!< Names and formats. */
        DecisionLog &log; /*!< Log. */
        Counters &counters; /*!< Counters. */
    };

    /**
     * @brief Makes a keeper.
     * @param context What it depends on.
     * @param store Address of the store.
     * @param settings Times.
     * @param hooks What to call.
     */
    RegistryClient(Context context, const event::Endpoint &store, Settings settings, Hooks hooks);

    RegistryClient(const RegistryClient &) = delete;
    auto operator=(const RegistryClient &) -> RegistryClient & = delete;
    ~RegistryClient() = default;

    /*! @brief Starts to read and to watch. */
    auto start() -> void;

    /**
     * @brief Sets this node's record; it is written once the keeper has a lease.
     * @param member The record.
     */
    auto setOwnRecord(const mesh::Member &member) -> void;

    /*! @brief Tells whether it is known what the process before this one has written last. */
    [[nodiscard]] auto knowsPreviousRecord() const -> bool;

    /*! @brief Removes this node's record: the node is about to stop. */
    auto deregister() -> void;

    /**
     * @brief Takes the store's word that a peer has passed on.
     * @param word The word.
     */
    auto applyConfirmation(const mesh::StoreConfirmation &confirmation) -> void;

    /**
     * @brief Takes the configuration that a relay has passed on.
     * @param revision Revision of the store at its last change.
     * @param text Value of the item.
     */
    auto applyRelayedConfiguration(std::uint64_t revision, const std::string &text) -> void;

    /**
     * @brief Sets the place of this node among those that ask the store.
     * @param isRelay Whether it is a relay, and watches the configuration.
     * @param order Number of relays before it.
     * @param peers Number of other nodes that are known.
     * @param live Number of those that are heard.
     */
    auto setRelayRank(bool isRelay, std::size_t rank, std::size_t peers, std::size_t livePeers) -> void;

    /*! @brief Returns the revision of the configuration in force; zero before the first. */
    [[nodiscard]] auto configurationRevision() const -> std::uint64_t;

    /*! @brief Returns the configuration in force as the store holds it. */
    [[nodiscard]] auto configurationText() const -> const std::string &;

    /*! @brief Returns the store's newest word, to be passed on to peers. */
    [[nodiscard]] auto confirmation() const -> const std::optional<mesh::StoreConfirmation> &;

    /*! @brief Tells whether keys may be trusted. */
    [[nodiscard]] auto isFresh() const -> bool;

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
    auto stopWatch() -> void;
    auto restartWatch() -> void;
    auto scheduleFreshnessCheck() -> void;
    auto poll() -> void;
    auto handlePollResult(const HttpConnection::Result &result, TimePoint sentAt) -> void;
    auto applyChanges(const StorePage &page, TimePoint sentAt) -> bool;
    [[nodiscard]] auto readPage(const HttpConnection::Result &result) const -> std::optional<StorePage>;
    auto apply(const StoreItem &item) -> void;
    auto applyConfiguration(const StoreItem &item) -> void;
    [[nodiscard]] auto backOff(std::string_view what, const HttpConnection::Result &result) -> Duration;
    auto noteStoreReachable() -> void;

    auto requestLease() -> void;
    auto handleLeaseGrant(const HttpConnection::Result &result) -> void;
    auto scheduleRenewal() -> void;
    auto renew() -> void;
    auto handleRenewal(const HttpConnection::Result &result) -> void;
    auto writeRecord() -> void;
    auto handleRecordWrite(const HttpConnection::Result &result, const std::string &written) -> void;
    auto handleRecordConflict(const mesh::Answer &answer) -> void;
    auto setPreviousRecord(const std::optional<mesh::Member> &record) -> void;
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
    std::uint64_t revision_{}; /*!< Every change of the configuration up to it is applied. */
    std::uint64_t configurationRevision_{}; /*!< Revision of the configuration's last change. */
    std::optional<mesh::StoreConfirmation>
        listingConfirmation_; /*!< Word of the first page of the listing under way. */
    bool isListing_{};
    bool usesLeafBackoff_{}; /*!< Whether the store is asked less often after a failed call. */
    bool isWatching_{}; /*!< Whether this node watches the configuration. */
    bool hasFullListing_{}; /*!< Whether a listing of everything has ended, so that changes are known from then on. */
    bool isFirstListing_{true}; /*!< Whether nothing was read yet, not even a copy that may be old. */
    TimePoint startedAt_;
    std::string configurationText_;
    bool isPolling_{};
    bool needsWatchRestart_{}; /*!< Whether the watch has failed or may have gone silent. */
    TimePoint nextCallAt_; /*!< Moment before which the store is not asked again. */
    event::TimerId watchTimer_{};
    std::size_t relayRank_{};
    std::uint64_t configurationVersion_{};
    bool hasConfiguration_{};
    std::set<std::string> listedNames_; /*!< Nodes seen by the listing under way. */
    Duration listInterval_;
    bool ownRecordWasMissing_{}; /*!< Whether the listing before did not show this node's record. */

    std::optional<mesh::Member> ownRecord_;
    std::string writtenRecord_;
    std::uint64_t lease_{};
    event::TimerId renewTimer_{};
    bool isWritingRecord_{};
    bool knowsPreviousRecord_{}; /*!< Whether the first record was written, which shows what was there before. */
    bool isLeaving_{};
};

} // namespace jasminelatch::sidecar

#endif
