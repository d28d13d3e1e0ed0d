#include "registry_client.hpp"

#include "store_keys.hpp"
#include "wall_clock.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Time for which a departure is kept; instances that leave end within minutes. */
constexpr Duration departureMemory = std::chrono::hours{1};
/*! @brief Time for which a quarantined request is kept after its last crash, as in the memory of nodes. */
constexpr Duration crashMemory = mesh::CrashTracker::Settings{}.memory;
/*! @brief Wait of a watch that serves as a poll and returns what has changed so far. */
constexpr Duration pollWait = std::chrono::milliseconds{1};
/*! @brief Rank of a node that is not a relay: it polls the store only if no confirmation arrives from relays. */
constexpr std::size_t leafRank = 1'000'000;
/*! @brief Lower bounds of the jitter as fractions of the delay. Nodes that start or fail together must not call
 * together again. */
constexpr double minListFraction = 0.75;
constexpr double minRetryFraction = 0.5;
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusHistoryGone = 410;
constexpr unsigned statusConflict = 412;

auto isOk(const HttpConnection::Result &result) -> bool
{
    return result.answer && result.answer->status == statusOk;
}

auto statusOf(const HttpConnection::Result &result) -> unsigned
{
    return result.answer ? result.answer->status : 0;
}

} // namespace internal

RegistryClient::RegistryClient(Context context, const event::Endpoint &store, Settings settings, Hooks hooks)
    : context_{context}
    , settings_{settings}
    , hooks_{std::move(hooks)}
    , watchChannel_{context.loop, store}
    , pollChannel_{context.loop, store}
    , callChannel_{context.loop, store}
    , freshness_{{.validity = settings.keyValidity}}
    , random_{std::random_device{}()}
    , backoff_{settings.initialBackoff}
    , listInterval_{settings.initialListInterval}
{
}

auto RegistryClient::start() -> void
{
    startedAt_ = context_.loop.now();
    listRecords({});
    scheduleFreshnessCheck();
}

auto RegistryClient::setOwnRecord(const mesh::Member &member) -> void
{
    ownRecord_ = member;
    writeRecord();
}

auto RegistryClient::knowsDepartures() const -> bool
{
    return knowsDepartures_;
}

auto RegistryClient::deregister() -> void
{
    isLeaving_ = true;
    if (ownRecord_ && !writtenRecord_.empty()) {
        const auto key = storeKey(recordPrefix, ownRecord_->name);
        callChannel_.call(context_.dialect.store.remove(key), settings_.callTimeout, [this](const auto &result) {
            if (!internal::isOk(result)) {
                context_.log.write("record_not_removed", {{"error", result.error}});
            }
        });
    }
}

auto RegistryClient::applyConfirmation(const mesh::StoreConfirmation &confirmation) -> void
{
    freshness_.confirm(confirmation, context_.loop.now());
}

auto RegistryClient::applyRelayedConfiguration(const mesh::ConfigurationMessage &message) -> void
{
    applyConfiguration({context_.dialect.store.configurationKey, message.text, message.revision, false});
    freshness_.markApplied(configurationVersion_);
}

auto RegistryClient::applyEvacuation(const mesh::Evacuation &evacuation) -> void
{
    if (!mesh::isNewer(evacuation, evacuation_)) {
        return;
    }
    const auto hasChanged = evacuation.domains != evacuation_.domains;
    evacuation_ = evacuation;
    if (hasChanged) {
        context_.log.write(
            "evacuation",
            {{"domains", evacuation.domains}, {"revision", evacuation.revision}, {"era", evacuation.era}});
        hooks_.evacuationChanged();
    }
}

auto RegistryClient::evacuation() const noexcept -> const mesh::Evacuation &
{
    return evacuation_;
}

auto RegistryClient::setRelayRank(const bool isRelay,
                                  const std::size_t rank,
                                  const std::size_t peers,
                                  const std::size_t livePeers) -> void
{
    relayRank_ = isRelay ? rank : internal::leafRank;
    usesLeafBackoff_ = !isRelay || (peers > 0 && livePeers == 0);
    // If all nodes start at once, the future relays are known only after some time.
    const auto isSettled = peers > 0 || context_.loop.now() - startedAt_ >= settings_.startupGracePeriod;
    const auto isWatching = isRelay && isSettled;
    if (std::exchange(isWatching_, isWatching) == isWatching) {
        return;
    }
    context_.log.write("watch_role", {{"watches", isWatching}, {"order", rank}, {"peers", peers}});
    if (!isWatching) {
        stopWatch();
        needsWatchRestart_ = false;
    } else if (!isListing_) {
        listAll({});
    }
}

auto RegistryClient::configurationVersion() const -> std::uint64_t
{
    return configurationVersion_;
}

auto RegistryClient::configurationRevision() const -> std::uint64_t
{
    return configurationRevision_;
}

auto RegistryClient::configurationText() const -> const std::string &
{
    return configurationText_;
}

auto RegistryClient::storeEra() const -> std::uint64_t
{
    return era_.value_or(0);
}

auto RegistryClient::acknowledgement() const -> mesh::ReportAck
{
    const auto &confirmation = freshness_.confirmation();
    if (!confirmation) {
        return {};
    }
    return {configurationRevision_, context_.loop.now() - confirmation->at, confirmation->version, confirmation->era};
}

auto RegistryClient::isFresh() const -> bool
{
    return hasConfiguration_ && freshness_.isFresh(context_.loop.now());
}

auto RegistryClient::hasConfiguration() const -> bool
{
    return hasConfiguration_;
}

auto RegistryClient::listAll(const std::string &after) -> void
{
    if (after.empty()) {
        isListing_ = true;
        listedNames_.clear();
        listedEvacuations_.clear();
        listingRevision_.reset();
    }
    const auto sentAt = context_.loop.now();
    context_.counters.add("store.list");
    watchChannel_.call(context_.dialect.store.list({}, after, false),
                       settings_.callTimeout,
                       [this, sentAt](const auto &result) { handleListing(result, sentAt); });
}

auto RegistryClient::handleListing(const HttpConnection::Result &result, const TimePoint sentAt) -> void
{
    if (noteEra(result)) {
        return;
    }
    const auto page = readPage(result);
    if (!page) {
        isListing_ = false;
        hasFullListing_ = false;
        needsWatchRestart_ = isWatching_;
        nextCallAt_ = context_.loop.now() + backOff("list", result);
        return;
    }
    noteStoreReachable();
    if (!listingRevision_) {
        // Changes made while later pages are read are delivered again by the watch.
        listingRevision_ = page->revision;
        listingSentAt_ = sentAt;
    }
    for (const auto &item : page->items) {
        apply(item);
        noteListedEvacuation(item);
    }
    if (page->hasMore && !page->items.empty()) {
        listAll(page->items.back().key);
        return;
    }
    finishListing();
}

auto RegistryClient::finishListing() -> void
{
    isListing_ = false;
    reportListedMembers();
    hasFullListing_ = true;
    listedAt_ = context_.loop.now();
    revision_ = *listingRevision_;
    applyEvacuation({storeEra(), revision_, listedEvacuations_});
    confirm(listingSentAt_);
    if (isWatching_) {
        watch();
    }
}

auto RegistryClient::scheduleRecordListing() -> void
{
    context_.loop.after(jittered(listInterval_, internal::minListFraction), [this] {
        // A full listing covers the records too.
        if (!isListing_) {
            listRecords({});
        } else {
            scheduleRecordListing();
        }
    });
}

auto RegistryClient::listRecords(const std::string &after) -> void
{
    if (after.empty()) {
        listedNames_.clear();
        listedEvacuations_.clear();
    }
    context_.counters.add("store.list_records");
    // The first listing reads the configuration and the evacuations as well.
    const auto prefix = isFirstListing_ ? std::string_view{} : ownPrefix;
    callChannel_.call(context_.dialect.store.list(prefix, after, true),
                      settings_.callTimeout,
                      [this](const auto &result) { handleRecordListing(result); });
}

auto RegistryClient::handleRecordListing(const HttpConnection::Result &result) -> void
{
    const auto page = readPage(result);
    if (!page) {
        context_.log.write("records_not_listed", {{"status", internal::statusOf(result)}, {"error", result.error}});
    }
    if (!page || isListing_) {
        scheduleRecordListing();
        return;
    }
    for (const auto &item : page->items) {
        apply(item);
        noteListedEvacuation(item);
    }
    freshness_.markApplied(configurationVersion_);
    if (page->hasMore && !page->items.empty()) {
        listRecords(page->items.back().key);
        return;
    }
    const auto wasFirst = std::exchange(isFirstListing_, false);
    reportListedMembers();
    if (wasFirst) {
        applyEvacuation({storeEra(), page->revision, listedEvacuations_});
        scheduleRecordListing();
        return;
    }
    const auto maxInterval = settings_.maxListInterval
                           * static_cast<Duration::rep>(1 + listedNames_.size() / settings_.recordsPerListInterval);
    listInterval_ = std::min<Duration>(listInterval_ * 2, maxInterval);
    scheduleRecordListing();
}

auto RegistryClient::reportListedMembers() -> void
{
    hooks_.membersListed(listedNames_);
    // A single listing may be older than the record, so the record is rewritten only after two that lack it.
    const auto isMissing =
        ownRecord_ && !writtenRecord_.empty() && !isLeaving_ && !listedNames_.contains(ownRecord_->name);
    if (std::exchange(ownRecordWasMissing_, isMissing) && isMissing) {
        writtenRecord_.clear();
        writeRecord();
    }
}

auto RegistryClient::watch() -> void
{
    needsWatchRestart_ = false;
    const auto sentAt = context_.loop.now();
    context_.counters.add("store.watch");
    watchChannel_.call(
        context_.dialect.store.watch(context_.dialect.store.operatorPrefix, revision_, settings_.watchTimeout),
        settings_.watchTimeout + settings_.callTimeout,
        [this, sentAt](const auto &result) { handleWatchResult(result, sentAt); });
}

auto RegistryClient::handleWatchResult(const HttpConnection::Result &result, const TimePoint sentAt) -> void
{
    if (noteEra(result)) {
        return;
    }
    if (internal::statusOf(result) == internal::statusHistoryGone) {
        handleHistoryGone();
        return;
    }
    const auto page = readPage(result);
    if (!page) {
        // The next poll that the store answers restarts the watch.
        needsWatchRestart_ = isWatching_;
        nextCallAt_ = context_.loop.now() + backOff("watch", result);
        return;
    }
    noteStoreReachable();
    if (applyChanges(*page, sentAt)) {
        watchTimer_ = context_.loop.after(settings_.batchDelay, [this] {
            watchTimer_ = 0;
            watch();
        });
    } else {
        watch();
    }
}

auto RegistryClient::handleHistoryGone() -> void
{
    context_.log.write("store_history_gone", {{"revision", revision_}});
    stopWatch();
    const auto nextListing = listedAt_ + settings_.historyGoneInterval;
    if (context_.loop.now() >= nextListing) {
        listAll({});
        return;
    }
    // A store that keeps no history at all would be listed without a pause.
    hasFullListing_ = false;
    needsWatchRestart_ = isWatching_;
    nextCallAt_ = nextListing;
}

auto RegistryClient::stopWatch() -> void
{
    context_.loop.cancel(watchTimer_);
    watchChannel_.reset();
    isListing_ = false;
}

auto RegistryClient::restartWatch() -> void
{
    stopWatch();
    if (isWatching_) {
        watch();
    }
}

auto RegistryClient::scheduleFreshnessCheck() -> void
{
    context_.loop.after(settings_.checkInterval, [this] {
        const auto now = context_.loop.now();
        const auto isStartingUp = !freshness_.confirmation() && now - startedAt_ < settings_.startupGracePeriod;
        const auto needsConfirmation =
            needsWatchRestart_ || (!isStartingUp && freshness_.shouldQueryStore(relayRank_, now));
        if (needsConfirmation && !isListing_ && !isPolling_ && now >= nextCallAt_) {
            if (hasFullListing_) {
                poll();
            } else {
                listAll({});
            }
        }
        scheduleFreshnessCheck();
    });
}

auto RegistryClient::poll() -> void
{
    isPolling_ = true;
    const auto sentAt = context_.loop.now();
    context_.counters.add("store.ask");
    pollChannel_.call(
        context_.dialect.store.watch(context_.dialect.store.operatorPrefix, revision_, internal::pollWait),
        settings_.callTimeout,
        [this, sentAt](const auto &result) { handlePollResult(result, sentAt); });
}

auto RegistryClient::handlePollResult(const HttpConnection::Result &result, const TimePoint sentAt) -> void
{
    isPolling_ = false;
    context_.counters.observe("store.ask_time", context_.loop.now() - sentAt);
    if (noteEra(result) || isListing_) {
        return;
    }
    if (internal::statusOf(result) == internal::statusHistoryGone) {
        handleHistoryGone();
        return;
    }
    const auto page = readPage(result);
    if (!page) {
        needsWatchRestart_ = isWatching_;
        nextCallAt_ = context_.loop.now() + backOff("ask", result);
        return;
    }
    noteStoreReachable();
    // The watch should have delivered these changes first; it may have gone silent.
    if (applyChanges(*page, sentAt) || needsWatchRestart_) {
        restartWatch();
    }
}

auto RegistryClient::applyChanges(const StorePage &page, const TimePoint sentAt) -> bool
{
    auto hasChanges = false;
    for (const auto &item : page.items) {
        // The watch and a poll may deliver the same change; an older answer must not overwrite a newer one.
        if (item.revision > revision_) {
            apply(item);
            applyEvacuationChange(item);
            hasChanges = true;
        }
    }
    revision_ = std::max(revision_, page.revision);
    confirm(sentAt);
    return hasChanges;
}

auto RegistryClient::readPage(const HttpConnection::Result &result) const -> std::optional<StorePage>
{
    if (!internal::isOk(result)) {
        return std::nullopt;
    }
    // A late answer of the store that a copy has replaced has revisions that no longer count.
    const auto era = context_.dialect.store.readEra(*result.answer);
    const auto isOfOtherEra = era && era_ && *era != *era_;
    auto page = isOfOtherEra ? std::nullopt : context_.dialect.store.readPage(*result.answer);
    if (page && page->unreadable > 0) {
        context_.log.write("store_items_unreadable", {{"items", page->unreadable}, {"revision", page->revision}});
    }
    return page;
}

auto RegistryClient::apply(const StoreItem &item) -> void
{
    if (item.key == context_.dialect.store.configurationKey) {
        if (!item.removed) {
            // The last readable configuration stays in force while the store holds one that cannot be read.
            storeVersion_ = std::max(storeVersion_, applyConfiguration(item).value_or(configurationVersion_));
        }
        return;
    }
    if (item.key.starts_with(departurePrefix)) {
        const auto departures = mesh::decodeDepartures(item.value);
        removeIfExpired(item, departures ? departures->back().recordedMs : 0, internal::departureMemory);
        return;
    }
    if (item.key.starts_with(crashPrefix)) {
        applyCrash(item);
        return;
    }
    if (!item.key.starts_with(recordPrefix)) {
        return;
    }
    const auto member = mesh::decodeMember(item.value);
    if (!member || item.key != storeKey(recordPrefix, member->name)) {
        context_.log.write("record_unreadable", {{"key", item.key}, {"revision", item.revision}});
        return;
    }
    listedNames_.insert(member->name);
    hooks_.memberListed(*member);
}

auto RegistryClient::evacuatedDomain(const StoreItem &item) const -> std::optional<std::string>
{
    const auto &prefix = context_.dialect.store.evacuationPrefix;
    if (!item.key.starts_with(prefix) || item.key.size() == prefix.size()) {
        return std::nullopt;
    }
    return item.key.substr(prefix.size());
}

auto RegistryClient::noteListedEvacuation(const StoreItem &item) -> void
{
    if (auto domain = evacuatedDomain(item)) {
        listedEvacuations_.insert(std::move(*domain));
    }
}

auto RegistryClient::applyEvacuationChange(const StoreItem &item) -> void
{
    const auto domain = evacuatedDomain(item);
    if (!domain) {
        return;
    }
    auto changed = evacuation_;
    changed.era = storeEra();
    changed.revision = item.revision;
    if (item.removed) {
        changed.domains.erase(*domain);
    } else {
        changed.domains.insert(*domain);
    }
    applyEvacuation(changed);
}

auto RegistryClient::applyCrash(const StoreItem &item) -> void
{
    const auto stored = mesh::decodeStoredCrash(item.value);
    if (stored) {
        hooks_.crashListed(*stored);
    } else {
        context_.log.write("record_unreadable", {{"key", item.key}, {"revision", item.revision}});
    }
    removeIfExpired(item, stored ? stored->lastCrashMs : 0, internal::crashMemory);
}

auto RegistryClient::isFirstRelay() const -> bool
{
    return relayRank_ == 0 && isWatching_;
}

auto RegistryClient::removeIfExpired(const StoreItem &item, const std::uint64_t recordedMs, const Duration memory)
    -> void
{
    const auto memoryMs = static_cast<std::uint64_t>(memory / std::chrono::milliseconds{1});
    if (!isFirstRelay() || wallClockMilliseconds() < recordedMs + memoryMs) {
        return;
    }
    // The revision guards against the loss of a newer value, as the listing may be old.
    callChannel_.call(
        context_.dialect.store.replace(item.key, std::nullopt, item.revision),
        settings_.callTimeout,
        [this, key = item.key](const auto &result) {
            context_.log.write("expired_item_removed", {{"key", key}, {"status", internal::statusOf(result)}});
        });
}

auto RegistryClient::applyConfiguration(const StoreItem &item) -> std::optional<std::uint64_t>
{
    std::string error;
    auto configuration = context_.dialect.decodeConfiguration(item.value, error);
    if (!configuration) {
        context_.log.write("configuration_unreadable", {{"revision", item.revision}, {"error", error}});
        return std::nullopt;
    }
    const auto version = configuration->version;
    if (hasConfiguration_ && version <= configurationVersion_) {
        context_.log.write("configuration_not_newer",
                           {{"version", version}, {"revision", item.revision}, {"in_force", configurationVersion_}});
        return version;
    }
    configurationVersion_ = version;
    configurationRevision_ = item.revision;
    configurationText_ = item.value;
    hasConfiguration_ = true;
    context_.log.write("configuration",
                       {{"version", version},
                        {"revision", item.revision},
                        {"routes", configuration->routes.size()},
                        {"accounts", configuration->accounts.size()}});
    hooks_.configurationChanged(std::move(*configuration));
    return version;
}

auto RegistryClient::noteEra(const HttpConnection::Result &result) -> bool
{
    const auto era = result.answer ? context_.dialect.store.readEra(*result.answer) : std::nullopt;
    if (!era || (era_ && *era <= *era_)) {
        return false;
    }
    const auto before = std::exchange(era_, era);
    if (!before) {
        return false;
    }
    context_.log.write("store_restored",
                       {{"era", *era},
                        {"before", *before},
                        {"revision", revision_},
                        {"configuration_version", configurationVersion_},
                        {"configuration_revision", configurationRevision_}});
    handleRestoration();
    return true;
}

auto RegistryClient::handleRestoration() -> void
{
    stopWatch();
    hasFullListing_ = false;
    storeVersion_ = 0;
    if (isWatching_) {
        listAll({});
    }
    // The id of the lost lease may be granted to another node.
    replaceLease();
    hooks_.storeRestored();
}

auto RegistryClient::confirm(const TimePoint sentAt) -> void
{
    freshness_.markApplied(configurationVersion_);
    freshness_.confirm({storeVersion_, sentAt, storeEra()}, context_.loop.now());
}

auto RegistryClient::backOff(const std::string_view what, const HttpConnection::Result &result) -> Duration
{
    context_.counters.add("store.failed");
    if (std::exchange(isReachable_, false)) {
        context_.log.write("store_lost",
                           {{"call", what}, {"status", internal::statusOf(result)}, {"error", result.error}});
    }
    const auto backoff = jittered(backoff_, internal::minRetryFraction);
    backoff_ = std::min(backoff_ * 2, usesLeafBackoff_ ? settings_.maxLeafBackoff : settings_.maxBackoff);
    return backoff;
}

auto RegistryClient::noteStoreReachable() -> void
{
    backoff_ = settings_.initialBackoff;
    if (!std::exchange(isReachable_, true)) {
        context_.log.write("store_regained", nlohmann::json::object());
        if (writtenRecord_.empty()) {
            writeRecord();
        } else {
            // The lease may have expired during the outage.
            renew();
        }
    }
}

auto RegistryClient::requestLease() -> void
{
    isWritingRecord_ = true;
    context_.counters.add("store.lease");
    callChannel_.call(context_.dialect.store.grantLease(settings_.leaseDuration),
                      settings_.callTimeout,
                      [this](const auto &result) { handleLeaseGrant(result); });
}

auto RegistryClient::handleLeaseGrant(const HttpConnection::Result &result) -> void
{
    noteEra(result);
    isWritingRecord_ = false;
    const auto lease = internal::isOk(result) ? context_.dialect.store.readLease(*result.answer) : std::nullopt;
    if (!lease) {
        scheduleRecordRetry();
        return;
    }
    lease_ = lease->id;
    scheduleRenewal();
    writeRecord();
}

auto RegistryClient::scheduleRenewal() -> void
{
    context_.loop.cancel(renewTimer_);
    renewTimer_ = context_.loop.after(settings_.renewInterval, [this] {
        renewTimer_ = 0;
        if (lease_ != 0 && !isLeaving_) {
            renew();
        }
    });
}

auto RegistryClient::renew() -> void
{
    context_.counters.add("store.renew");
    callChannel_.call(
        context_.dialect.store.renewLease(lease_), settings_.callTimeout, [this, lease = lease_](const auto &result) {
            if (!noteEra(result) && lease == lease_) {
                handleRenewal(result);
            }
        });
}

auto RegistryClient::handleRenewal(const HttpConnection::Result &result) -> void
{
    if (internal::statusOf(result) == internal::statusNotFound) {
        context_.log.write("lease_lost", {{"lease", lease_}});
        replaceLease();
        return;
    }
    scheduleRenewal();
}

auto RegistryClient::replaceLease() -> void
{
    lease_ = 0;
    writtenRecord_.clear();
    writeRecord();
}

auto RegistryClient::writeRecord() -> void
{
    if (!ownRecord_ || isWritingRecord_ || isLeaving_) {
        return;
    }
    if (lease_ == 0) {
        requestLease();
        return;
    }
    auto text = mesh::encodeMember(*ownRecord_);
    if (text == writtenRecord_) {
        return;
    }
    isWritingRecord_ = true;
    context_.counters.add("store.put");
    const auto key = storeKey(recordPrefix, ownRecord_->name);
    const auto departureKey = storeKey(departurePrefix, ownRecord_->name);
    const auto &store = context_.dialect.store;
    callChannel_.call(knowsDepartures_ ? store.put(key, text, lease_)
                                       : store.putIfAbsent(key, departureKey, text, lease_),
                      settings_.callTimeout,
                      [this, text, lease = lease_](const auto &result) { handleRecordWrite(result, text, lease); });
}

auto RegistryClient::handleRecordWrite(const HttpConnection::Result &result,
                                       const std::string &written,
                                       const std::uint64_t lease) -> void
{
    noteEra(result);
    isWritingRecord_ = false;
    if (lease != lease_) {
        writeRecord();
        return;
    }
    if (internal::isOk(result)) {
        writtenRecord_ = written;
        if (!knowsDepartures_) {
            setDepartures({});
        }
        writeRecord();
        return;
    }
    if (internal::statusOf(result) == internal::statusConflict && !knowsDepartures_) {
        handleRecordConflict(*result.answer);
        writeRecord();
        return;
    }
    if (internal::statusOf(result) == internal::statusNotFound) {
        lease_ = 0;
    }
    scheduleRecordRetry();
}

auto RegistryClient::handleRecordConflict(const mesh::Answer &answer) -> void
{
    const auto items = context_.dialect.store.readConflict(answer);
    if (!items) {
        context_.log.write("earlier_departure_unreadable", {{"answer_read", false}});
    }
    std::vector<mesh::InstanceDeparture> departures;
    for (const auto &item : items.value_or(std::vector<StoreItem>{})) {
        if (item.removed || item.key != storeKey(departurePrefix, ownRecord_->name)) {
            continue;
        }
        if (auto stored = mesh::decodeDepartures(item.value)) {
            departures = std::move(*stored);
        } else {
            context_.log.write("earlier_departure_unreadable", {{"answer_read", true}});
        }
    }
    std::optional<mesh::Member> former;
    // Earlier builds kept a departure in the record, which may also be this process's own write with a lost answer.
    for (const auto &item : items.value_or(std::vector<StoreItem>{})) {
        const auto record = item.key == storeKey(recordPrefix, ownRecord_->name) ? mesh::decodeMember(item.value)
                                                                                 : std::optional<mesh::Member>{};
        if (departures.empty() && record && !record->accepting && !record->instanceId.empty()
            && record->incarnation != ownRecord_->incarnation) {
            departures.push_back({record->instanceId, record->instanceStartMs});
        }
        former = record ? record : former;
    }
    setDepartures(departures);
    if (former) {
        // It may have a later incarnation than this process, after a step back of the clock.
        hooks_.memberListed(*former);
    }
}

auto RegistryClient::setDepartures(const std::span<const mesh::InstanceDeparture> departures) -> void
{
    knowsDepartures_ = true;
    context_.log.write("earlier_departures",
                       {{"count", departures.size()},
                        {"instance", departures.empty() ? std::string{} : departures.back().instanceId},
                        {"instance_start_ms", departures.empty() ? 0 : departures.back().startTimeMs}});
    hooks_.departuresKnown(departures);
}

auto RegistryClient::scheduleRecordRetry() -> void
{
    context_.loop.after(jittered(settings_.maxBackoff, internal::minRetryFraction), [this] { writeRecord(); });
}

auto RegistryClient::jittered(const Duration maxDelay, const double minFraction) -> Duration
{
    const auto fraction = std::uniform_real_distribution{minFraction, 1.0}(random_);
    return Duration{static_cast<Duration::rep>(static_cast<double>(maxDelay.count()) * fraction)};
}

} // namespace jasminelatch::sidecar
