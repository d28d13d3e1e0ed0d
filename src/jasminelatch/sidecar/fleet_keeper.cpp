#include "fleet_keeper.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Prefix of the nodes' records in the store. */
constexpr std::string_view recordPrefix = "jasminelatch/nodes/";
/*! @brief Shortest wait of a watch: it only asks what there is. */
constexpr Duration noWait = std::chrono::milliseconds{1};
/*! @brief Place of a node that isn't a relay: it asks the store only when it hears nothing from those that are. */
constexpr std::size_t lastOrder = 1'000'000;
/*! @brief Shortest parts of a pause, so that nodes which start or fail together don't call together again. */
constexpr double leastListPart = 0.75;
constexpr double leastRetryPart = 0.5;
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusHistoryGone = 410;
constexpr unsigned statusConflict = 412;

auto recordKey(const std::string &name) -> std::string
{
    return std::string{recordPrefix} + name;
}

auto isOk(const HttpConnection::Result &result) -> bool
{
    return result.answer && result.answer->status == statusOk;
}

auto statusOf(const HttpConnection::Result &result) -> unsigned
{
    return result.answer ? result.answer->status : 0;
}

} // namespace internal

FleetKeeper::FleetKeeper(Context context, const event::Endpoint &store, Settings settings, Hooks hooks)
    : context_{context}
    , settings_{settings}
    , hooks_{std::move(hooks)}
    , watchChannel_{context.loop, store}
    , askChannel_{context.loop, store}
    , callChannel_{context.loop, store}
    , freshness_{{.validity = settings.keyValidity}}
    , random_{std::random_device{}()}
    , pause_{settings.firstPause}
    , listPause_{settings.firstListPause}
{
}

auto FleetKeeper::start() -> void
{
    startedAt_ = context_.loop.now();
    listRecords({});
    checkLater();
}

auto FleetKeeper::setOwnRecord(const mesh::Member &member) -> void
{
    own_ = member;
    writeRecord();
}

auto FleetKeeper::knowsEarlierRecord() const -> bool
{
    return knowsEarlier_;
}

auto FleetKeeper::leave() -> void
{
    leaving_ = true;
    if (own_ && !written_.empty()) {
        const auto key = internal::recordKey(own_->name);
        callChannel_.call(context_.dialect.store.remove(key), settings_.callTimeout, [this](const auto &result) {
            if (!internal::isOk(result)) {
                context_.log.write("record_not_removed", {{"error", result.error}});
            }
        });
    }
}

auto FleetKeeper::confirmed(const mesh::StoreConfirmation &word) -> void
{
    freshness_.confirm(word, context_.loop.now());
}

auto FleetKeeper::configurationTold(const std::uint64_t revision, const std::string &text) -> void
{
    if (revision <= configurationRevision_) {
        return;
    }
    StoreItem item;
    item.key = context_.dialect.store.configurationKey;
    item.value = text;
    item.revision = revision;
    apply(item);
    freshness_.markApplied(configurationRevision_);
    if (hasListed_) {
        revision_ = std::max(revision_, revision);
    }
}

auto FleetKeeper::setOrder(const bool isRelay, const std::size_t order, const std::size_t peers, const std::size_t live)
    -> void
{
    order_ = isRelay ? order : internal::lastOrder;
    isSpared_ = !isRelay || (peers > 0 && live == 0);
    // Where all nodes start at once, those that will be relays are known only after a while.
    const auto isSettled = peers > 0 || context_.loop.now() - startedAt_ >= settings_.firstWordTime;
    const auto watches = isRelay && isSettled;
    if (std::exchange(watches_, watches) == watches) {
        return;
    }
    context_.log.write("watch_role", {{"watches", watches}, {"order", order}, {"peers", peers}});
    if (!watches) {
        stopWatch();
        needsWatch_ = false;
    } else if (!isListing_) {
        list({});
    }
}

auto FleetKeeper::configurationRevision() const -> std::uint64_t
{
    return configurationRevision_;
}

auto FleetKeeper::configurationText() const -> const std::string &
{
    return configurationText_;
}

auto FleetKeeper::confirmation() const -> const std::optional<mesh::StoreConfirmation> &
{
    return freshness_.confirmation();
}

auto FleetKeeper::isFresh() const -> bool
{
    return hasConfiguration_ && freshness_.isFresh(context_.loop.now());
}

auto FleetKeeper::hasConfiguration() const -> bool
{
    return hasConfiguration_;
}

auto FleetKeeper::list(const std::string &after) -> void
{
    if (after.empty()) {
        isListing_ = true;
        names_.clear();
        listedAt_.reset();
    }
    const auto sentAt = context_.loop.now();
    context_.counters.add("store.list");
    watchChannel_.call(context_.dialect.store.list({}, after, false),
                       settings_.callTimeout,
                       [this, sentAt](const auto &result) { listed(result, sentAt); });
}

auto FleetKeeper::listed(const HttpConnection::Result &result, const TimePoint sentAt) -> void
{
    const auto view = readView(result);
    if (!view) {
        isListing_ = false;
        hasListed_ = false;
        needsWatch_ = watches_;
        askAfter_ = context_.loop.now() + pauseAfterFailure("list", result);
        return;
    }
    reachable();
    if (!listedAt_) {
        // Changes made while later pages are read come again with the watch.
        listedAt_ = {view->revision, sentAt};
    }
    for (const auto &item : view->items) {
        apply(item);
    }
    if (view->hasMore && !view->items.empty()) {
        list(view->items.back().key);
        return;
    }
    finishListing();
}

auto FleetKeeper::finishListing() -> void
{
    isListing_ = false;
    tellListed();
    hasListed_ = true;
    revision_ = listedAt_->revision;
    freshness_.markApplied(configurationRevision_);
    freshness_.confirm({configurationRevision_, listedAt_->at}, context_.loop.now());
    if (watches_) {
        watch();
    }
}

auto FleetKeeper::listRecordsLater() -> void
{
    context_.loop.after(spread(listPause_, internal::leastListPart), [this] {
        // A listing of everything shows the records too.
        if (!isListing_) {
            listRecords({});
        } else {
            listRecordsLater();
        }
    });
}

auto FleetKeeper::listRecords(const std::string &after) -> void
{
    if (after.empty()) {
        names_.clear();
    }
    context_.counters.add("store.list_records");
    // The first copy shows the configuration too.
    const auto prefix = isFirstCopy_ ? std::string_view{} : internal::recordPrefix;
    callChannel_.call(context_.dialect.store.list(prefix, after, true),
                      settings_.callTimeout,
                      [this](const auto &result) { recordsListed(result); });
}

auto FleetKeeper::recordsListed(const HttpConnection::Result &result) -> void
{
    const auto view = readView(result);
    if (!view) {
        context_.log.write("records_not_listed", {{"status", internal::statusOf(result)}, {"error", result.error}});
    }
    if (!view || isListing_) {
        listRecordsLater();
        return;
    }
    for (const auto &item : view->items) {
        apply(item);
    }
    freshness_.markApplied(configurationRevision_);
    if (view->hasMore && !view->items.empty()) {
        listRecords(view->items.back().key);
        return;
    }
    const auto isFirst = std::exchange(isFirstCopy_, false);
    tellListed();
    if (isFirst) {
        listRecordsLater();
        return;
    }
    const auto longest =
        settings_.listInterval * static_cast<Duration::rep>(1 + names_.size() / settings_.listedPerInterval);
    listPause_ = std::min<Duration>(listPause_ * 2, longest);
    listRecordsLater();
}

auto FleetKeeper::tellListed() -> void
{
    hooks_.listed(names_);
    // One listing may be older than the record.
    const auto isMissing = own_ && !written_.empty() && !leaving_ && !names_.contains(own_->name);
    if (std::exchange(ownWasMissing_, isMissing) && isMissing) {
        written_.clear();
        writeRecord();
    }
}

auto FleetKeeper::watch() -> void
{
    needsWatch_ = false;
    const auto sentAt = context_.loop.now();
    context_.counters.add("store.watch");
    watchChannel_.call(
        context_.dialect.store.watch(context_.dialect.store.configurationKey, revision_, settings_.watchWait),
        settings_.watchWait + settings_.callTimeout,
        [this, sentAt](const auto &result) { watched(result, sentAt); });
}

auto FleetKeeper::watched(const HttpConnection::Result &result, const TimePoint sentAt) -> void
{
    if (internal::statusOf(result) == internal::statusHistoryGone) {
        context_.log.write("store_history_gone", {{"revision", revision_}});
        list({});
        return;
    }
    const auto view = readView(result);
    if (!view) {
        // The next short call that the store answers starts the watch again.
        needsWatch_ = watches_;
        askAfter_ = context_.loop.now() + pauseAfterFailure("watch", result);
        return;
    }
    reachable();
    if (applyChanges(*view, sentAt)) {
        watchTimer_ = context_.loop.after(settings_.gatherTime, [this] {
            watchTimer_ = 0;
            watch();
        });
    } else {
        watch();
    }
}

auto FleetKeeper::stopWatch() -> void
{
    context_.loop.cancel(watchTimer_);
    watchChannel_.reset();
    isListing_ = false;
}

auto FleetKeeper::restartWatch() -> void
{
    stopWatch();
    if (watches_) {
        watch();
    }
}

auto FleetKeeper::checkLater() -> void
{
    context_.loop.after(settings_.checkInterval, [this] {
        const auto now = context_.loop.now();
        const auto mayHear = !freshness_.confirmation() && now - startedAt_ < settings_.firstWordTime;
        const auto wantsWord = needsWatch_ || (!mayHear && freshness_.shouldQueryStore(order_, now));
        if (wantsWord && !isListing_ && !isAsking_ && now >= askAfter_) {
            if (hasListed_) {
                ask();
            } else {
                list({});
            }
        }
        checkLater();
    });
}

auto FleetKeeper::ask() -> void
{
    isAsking_ = true;
    const auto sentAt = context_.loop.now();
    context_.counters.add("store.ask");
    askChannel_.call(context_.dialect.store.watch(context_.dialect.store.configurationKey, revision_, internal::noWait),
                     settings_.callTimeout,
                     [this, sentAt](const auto &result) { asked(result, sentAt); });
}

auto FleetKeeper::asked(const HttpConnection::Result &result, const TimePoint sentAt) -> void
{
    isAsking_ = false;
    context_.counters.observe("store.ask_time", context_.loop.now() - sentAt);
    if (isListing_) {
        return;
    }
    if (internal::statusOf(result) == internal::statusHistoryGone) {
        context_.log.write("store_history_gone", {{"revision", revision_}});
        stopWatch();
        list({});
        return;
    }
    const auto view = readView(result);
    if (!view) {
        needsWatch_ = watches_;
        askAfter_ = context_.loop.now() + pauseAfterFailure("ask", result);
        return;
    }
    reachable();
    // The watch should have brought what comes here first: it may have gone silent.
    if (applyChanges(*view, sentAt) || needsWatch_) {
        restartWatch();
    }
}

auto FleetKeeper::applyChanges(const StoreView &view, const TimePoint sentAt) -> bool
{
    auto isNews = false;
    for (const auto &item : view.items) {
        // The watch and a short call may both bring a change; the older answer must not undo the newer one.
        if (item.revision > revision_) {
            apply(item);
            isNews = true;
        }
    }
    revision_ = std::max(revision_, view.revision);
    freshness_.markApplied(configurationRevision_);
    freshness_.confirm({configurationRevision_, sentAt}, context_.loop.now());
    return isNews;
}

auto FleetKeeper::readView(const HttpConnection::Result &result) const -> std::optional<StoreView>
{
    return internal::isOk(result) ? context_.dialect.store.readView(*result.answer) : std::nullopt;
}

auto FleetKeeper::apply(const StoreItem &item) -> void
{
    if (item.key == context_.dialect.store.configurationKey) {
        configurationRevision_ = std::max(configurationRevision_, item.revision);
        if (!item.removed) {
            applyConfiguration(item);
        }
        return;
    }
    if (!item.key.starts_with(internal::recordPrefix)) {
        return;
    }
    const auto member = mesh::decodeMember(item.value);
    if (!member || item.key != internal::recordKey(member->name)) {
        context_.log.write("record_unreadable", {{"key", item.key}, {"revision", item.revision}});
        return;
    }
    names_.insert(member->name);
    hooks_.memberListed(*member);
}

auto FleetKeeper::applyConfiguration(const StoreItem &item) -> void
{
    std::string error;
    auto configuration = context_.dialect.decodeConfiguration(item.value, error);
    if (!configuration) {
        context_.log.write("configuration_unreadable", {{"revision", item.revision}, {"error", error}});
        return;
    }
    if (hasConfiguration_ && configuration->version <= configurationVersion_) {
        return;
    }
    configurationVersion_ = configuration->version;
    configurationText_ = item.value;
    hasConfiguration_ = true;
    context_.log.write("configuration",
                       {{"version", configuration->version},
                        {"revision", item.revision},
                        {"routes", configuration->routes.size()},
                        {"accounts", configuration->accounts.size()}});
    hooks_.configured(std::move(*configuration));
}

auto FleetKeeper::pauseAfterFailure(const std::string_view what, const HttpConnection::Result &result) -> Duration
{
    context_.counters.add("store.failed");
    if (std::exchange(isReachable_, false)) {
        context_.log.write("store_lost",
                           {{"call", what}, {"status", internal::statusOf(result)}, {"error", result.error}});
    }
    const auto pause = spread(pause_, internal::leastRetryPart);
    pause_ = std::min(pause_ * 2, isSpared_ ? settings_.longestLeafPause : settings_.longestPause);
    return pause;
}

auto FleetKeeper::reachable() -> void
{
    pause_ = settings_.firstPause;
    if (!std::exchange(isReachable_, true)) {
        context_.log.write("store_regained", nlohmann::json::object());
        if (written_.empty()) {
            writeRecord();
        } else {
            // The lease may have run out meanwhile.
            renew();
        }
    }
}

auto FleetKeeper::ensureLease() -> void
{
    recordBusy_ = true;
    context_.counters.add("store.lease");
    callChannel_.call(context_.dialect.store.grantLease(settings_.leaseTime),
                      settings_.callTimeout,
                      [this](const auto &result) { leaseGranted(result); });
}

auto FleetKeeper::leaseGranted(const HttpConnection::Result &result) -> void
{
    recordBusy_ = false;
    const auto lease = internal::isOk(result) ? context_.dialect.store.readLease(*result.answer) : std::nullopt;
    if (!lease) {
        retryRecordLater();
        return;
    }
    lease_ = lease->id;
    scheduleRenewal();
    writeRecord();
}

auto FleetKeeper::scheduleRenewal() -> void
{
    context_.loop.cancel(renewTimer_);
    renewTimer_ = context_.loop.after(settings_.renewInterval, [this] {
        renewTimer_ = 0;
        if (lease_ != 0 && !leaving_) {
            renew();
        }
    });
}

auto FleetKeeper::renew() -> void
{
    context_.counters.add("store.renew");
    callChannel_.call(
        context_.dialect.store.renewLease(lease_), settings_.callTimeout, [this, lease = lease_](const auto &result) {
            if (lease == lease_) {
                renewed(result);
            }
        });
}

auto FleetKeeper::renewed(const HttpConnection::Result &result) -> void
{
    if (internal::statusOf(result) == internal::statusNotFound) {
        context_.log.write("lease_lost", {{"lease", lease_}});
        lease_ = 0;
        written_.clear();
        writeRecord();
        return;
    }
    scheduleRenewal();
}

auto FleetKeeper::writeRecord() -> void
{
    if (!own_ || recordBusy_ || leaving_) {
        return;
    }
    if (lease_ == 0) {
        ensureLease();
        return;
    }
    auto text = mesh::encodeMember(*own_);
    if (text == written_) {
        return;
    }
    recordBusy_ = true;
    context_.counters.add("store.put");
    const auto key = internal::recordKey(own_->name);
    const auto &store = context_.dialect.store;
    callChannel_.call(knowsEarlier_ ? store.put(key, text, lease_) : store.putFirst(key, text, lease_),
                      settings_.callTimeout,
                      [this, text](const auto &result) { recordWritten(result, text); });
}

auto FleetKeeper::recordWritten(const HttpConnection::Result &result, const std::string &written) -> void
{
    recordBusy_ = false;
    if (internal::isOk(result)) {
        written_ = written;
        if (!knowsEarlier_) {
            earlierRecordKnown(std::nullopt);
        }
        writeRecord();
        return;
    }
    if (internal::statusOf(result) == internal::statusConflict && !knowsEarlier_) {
        firstRecordRefused(*result.answer);
        writeRecord();
        return;
    }
    if (internal::statusOf(result) == internal::statusNotFound) {
        lease_ = 0;
    }
    retryRecordLater();
}

auto FleetKeeper::firstRecordRefused(const mesh::Answer &answer) -> void
{
    const auto items = context_.dialect.store.readConflict(answer);
    std::optional<mesh::Member> earlier;
    for (const auto &item : items.value_or(std::vector<StoreItem>{})) {
        if (item.key == internal::recordKey(own_->name)) {
            earlier = mesh::decodeMember(item.value);
        }
    }
    if (!earlier) {
        context_.log.write("earlier_record_unreadable", {{"answer_read", items.has_value()}});
    }
    // An own write whose answer was lost leaves nothing to learn.
    const auto isOwn = earlier && earlier->incarnation == own_->incarnation;
    earlierRecordKnown(isOwn ? std::nullopt : earlier);
}

auto FleetKeeper::earlierRecordKnown(const std::optional<mesh::Member> &record) -> void
{
    knowsEarlier_ = true;
    context_.log.write("earlier_record",
                       {{"found", record.has_value()},
                        {"instance", record ? record->instanceId : std::string{}},
                        {"accepting", record && record->accepting}});
    hooks_.earlierRecord(record);
}

auto FleetKeeper::retryRecordLater() -> void
{
    context_.loop.after(spread(settings_.longestPause, internal::leastRetryPart), [this] { writeRecord(); });
}

auto FleetKeeper::spread(const Duration longest, const double leastPart) -> Duration
{
    const auto part = std::uniform_real_distribution{leastPart, 1.0}(random_);
    return Duration{static_cast<Duration::rep>(static_cast<double>(longest.count()) * part)};
}

} // namespace jasminelatch::sidecar
