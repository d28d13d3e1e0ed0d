#include "controller.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jasminelatch::configuration {

namespace internal {

/*! @brief Returns the size that a change set takes in messages and in memory, roughly. */
auto sizeOf(const ChangeSet &change) -> std::size_t
{
    constexpr std::size_t perChange = 200;
    constexpr std::size_t perWithdrawal = 64;
    std::size_t size = perChange + change.note.size() + perWithdrawal * change.withdrawals.size();
    for (const auto &document : change.upserts) {
        size += document.text.size();
    }
    return size;
}

} // namespace internal

Controller::Controller(const Settings settings,
                       NodeAddress self,
                       const Clock &clock,
                       Counters &counters,
                       Hooks hooks,
                       const std::uint64_t seed)
    : settings_{settings}
    , self_{std::move(self)}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
    , random_{seed}
    , view_{std::make_shared<const View>()}
    , freshness_{settings.staleAfter}
    , reader_{settings.store, clock, counters, readerHooks()}
    , lastQuestion_{random_()}
{
}

auto Controller::readerHooks() -> StoreReader::Hooks
{
    return {
        .store = [this](store::Request request,
                        store::Callback callback) { hooks_.store(std::move(request), std::move(callback)); },
        .revision = [this] { return view_->revision(); },
        .apply = [this](const ChangeSet &change) { return apply(change); },
        .replace = [this](const Revision revision,
                          const std::vector<SnapshotPart> &parts) { replace(revision, parts); },
        .upToDate = [this](const TimePoint sentAt) { freshness_.confirm(sentAt); },
        .answered = [this](const TimePoint sentAt) { freshness_.storeAnswered(sentAt); },
        .unanswered = [this](const TimePoint sentAt) { freshness_.storeUnanswered(sentAt); },
    };
}

auto Controller::tick() -> void
{
    if (readsStore()) {
        reader_.tick();
    }
    forgetOldQuestions();
    dropUnusedSnapshot();
    askPeers();
    catchUp();
    reportStaleness();
}

auto Controller::receive(const NodeAddress &from, const Message &message) -> void
{
    std::visit([&](const auto &concrete) { handle(from, concrete); }, message);
}

auto Controller::onPeerState(const NodeAddress &from, const PeerState &state, const TimePoint askedAt) -> void
{
    handleState(from, state, askedAt);
    catchUp();
}

auto Controller::onPeerRevision(const NodeAddress &from, const Revision revision) -> void
{
    if (revision > view_->revision()) {
        noteAhead(from, revision);
        catchUp();
    }
}

auto Controller::peerState() const -> PeerState
{
    const auto now = clock_->now();
    return {view_->revision(), freshness_.age(now), freshness_.storeState(now)};
}

auto Controller::fresh() const -> bool
{
    return freshness_.isFresh(clock_->now());
}

auto Controller::status() const -> NodeStatus
{
    return {self_, view_->revision(), fresh(), view_->unreadable()};
}

auto Controller::readsStore() const -> bool
{
    const bool isProbing = probeAskedAt_ && clock_->now() < *probeAskedAt_ + settings_.probeTime;
    return isProbing || hooks_.isCellHolder();
}

auto Controller::reportStaleness() -> void
{
    const bool isFresh = fresh();
    if (wasFresh_ && !isFresh) {
        counters_->add("configuration.became_stale");
        LOG(WARNING) << "configuration: stale at revision " << view_->revision() << ", keyed requests are refused.";
    }
    wasFresh_ = isFresh;
}

auto Controller::askPeers() -> void
{
    const auto now = clock_->now();
    if (lastAsked_ && now < *lastAsked_ + settings_.askInterval) {
        return;
    }
    if (freshness_.storeState(now) == StoreState::Unreachable && readsStore()) {
        lastAsked_ = now;
        askOtherHolders(settings_.askedHolders, true);
        return;
    }
    if (hooks_.isCellHolder() || freshness_.age(now) < settings_.askAfter) {
        return;
    }
    lastAsked_ = now;
    askHolder();
    if (freshness_.age(now) >= settings_.askOthersAfter) {
        askOtherHolders(1, false);
    }
}

auto Controller::askHolder() -> void
{
    const auto holder = hooks_.cellHolder();
    if (holder && *holder != self_) {
        ask(*holder, false, false);
    }
}

auto Controller::askOtherHolders(const std::size_t count, const bool probe) -> void
{
    auto peers = hooks_.otherHolders();
    std::erase(peers, self_);
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(peers.size(), count));
    for (const auto &peer : peers) {
        if (probe) {
            freshness_.asked(peer, clock_->now());
        }
        ask(peer, false, probe);
    }
}

auto Controller::catchUp() -> void
{
    if (ahead_ && ahead_->revision <= view_->revision()) {
        ahead_.reset();
    }
    const auto now = clock_->now();
    if (!ahead_ || (catchUpSentAt_ && now < *catchUpSentAt_ + settings_.fetchTimeout)) {
        return;
    }
    constexpr std::uint32_t mostUnanswered = 2;
    if (ahead_->unanswered == mostUnanswered) {
        counters_->add("configuration.fetch_unanswered");
        ahead_.reset();
        return;
    }
    ++ahead_->unanswered;
    catchUpSentAt_ = now;
    ask(ahead_->peer, true, false);
}

auto Controller::ask(const NodeAddress &peer, const bool isCatchUp, const bool probe) -> void
{
    Fetch fetch{.id = ++lastQuestion_, .wantsChanges = isCatchUp, .after = view_->revision(), .probe = probe};
    if (isCatchUp && assembly_ && assembly_->peer == peer) {
        fetch.snapshot = assembly_->revision;
        fetch.part = static_cast<std::uint32_t>(assembly_->parts.size());
    }
    questions_.insert_or_assign(fetch.id, Question{peer, clock_->now(), isCatchUp});
    hooks_.send(peer, fetch);
}

auto Controller::takeQuestion(const NodeAddress &from, const std::uint64_t id) -> std::optional<Question>
{
    const auto position = questions_.find(id);
    if (position == questions_.end() || position->second.peer != from) {
        return std::nullopt;
    }
    auto question = std::move(position->second);
    questions_.erase(position);
    return question;
}

auto Controller::forgetOldQuestions() -> void
{
    const auto oldest = clock_->now() - settings_.staleAfter;
    std::erase_if(questions_, [&](const auto &entry) { return entry.second.sentAt < oldest; });
}

auto Controller::dropUnusedSnapshot() -> void
{
    if (served_ == nullptr || clock_->now() < servedAt_ + settings_.snapshotKept) {
        return;
    }
    served_.reset();
    servedParts_.clear();
}

auto Controller::handle(const NodeAddress &from, const Fetch &fetch) -> void
{
    if (fetch.probe) {
        probeAskedAt_ = clock_->now();
    }
    onPeerRevision(from, fetch.after);
    if (!fetch.wantsChanges || fetch.after >= view_->revision()) {
        hooks_.send(from, Changes{fetch.id, peerState(), {}});
        return;
    }
    auto changes = changesAfter(fetch.after);
    if (changes.empty()) {
        hooks_.send(from, snapshotPart(fetch));
        return;
    }
    hooks_.send(from, Changes{fetch.id, peerState(), std::move(changes)});
}

auto Controller::handle(const NodeAddress &from, const Changes &changes) -> void
{
    const auto question = takeQuestion(from, changes.id);
    if (!question) {
        return;
    }
    for (const auto &change : changes.changes) {
        apply(change);
    }
    if (question->isCatchUp) {
        catchUpSentAt_.reset();
    }
    handleState(from, changes.state, question->sentAt);
    catchUp();
}

auto Controller::handle(const NodeAddress &from, const Snapshot &snapshot) -> void
{
    const auto question = takeQuestion(from, snapshot.id);
    if (!question) {
        return;
    }
    if (question->isCatchUp) {
        catchUpSentAt_.reset();
    }
    const bool continues = assembly_ && assembly_->peer == from && assembly_->revision == snapshot.revision;
    if (!continues) {
        assembly_ = Assembly{from, snapshot.revision, {}};
    }
    if (snapshot.part == assembly_->parts.size()) {
        assembly_->parts.push_back(snapshot.contents);
    }
    if (assembly_->parts.size() == snapshot.parts) {
        const auto complete = std::move(*assembly_);
        assembly_.reset();
        replace(complete.revision, complete.parts);
    }
    handleState(from, snapshot.state, question->sentAt);
    catchUp();
}

auto Controller::handleState(const NodeAddress &from, const PeerState &state, const TimePoint askedAt) -> void
{
    const bool isAhead = state.revision > view_->revision();
    const bool hasConfiguration = view_->revision() > 0;
    freshness_.answered(from, askedAt, hasConfiguration && !isAhead && state.store == StoreState::Unreachable);
    if (!isAhead) {
        // The peer's age was right when it answered, which was after the question was sent.
        freshness_.confirm(askedAt - state.age);
        return;
    }
    noteAhead(from, state.revision);
}

auto Controller::noteAhead(const NodeAddress &from, const Revision revision) -> void
{
    if (!ahead_ || ahead_->revision < revision || ahead_->peer == from) {
        ahead_ = Ahead{from, revision, 0};
    }
}

auto Controller::changesAfter(const Revision after) const -> std::vector<ChangeSet>
{
    std::vector<ChangeSet> found;
    if (history_.empty() || history_.front().revision > after + 1) {
        return found;
    }
    std::size_t size = 0;
    for (const auto &change : history_) {
        if (change.revision <= after) {
            continue;
        }
        size += internal::sizeOf(change);
        if (!found.empty() && size > settings_.messageBytes) {
            break;
        }
        found.push_back(change);
    }
    return found;
}

auto Controller::snapshotPart(const Fetch &fetch) -> Snapshot
{
    const bool continues = served_ != nullptr && fetch.snapshot == served_->revision();
    servedAt_ = clock_->now();
    if (!continues && served_ != view_) {
        served_ = view_;
        servedParts_ = view_->snapshot(settings_.messageBytes);
    }
    const auto parts = static_cast<std::uint32_t>(servedParts_.size());
    const auto part = continues && fetch.part < parts ? fetch.part : 0;
    return {fetch.id, peerState(), served_->revision(), part, parts, servedParts_[part]};
}

auto Controller::apply(const ChangeSet &change) -> bool
{
    if (change.revision <= view_->revision()) {
        return true;
    }
    if (change.revision != view_->revision() + 1) {
        counters_->add("configuration.out_of_order");
        return false;
    }
    counters_->add("configuration.applied");
    remember(change);
    setView(view_->after(change));
    return true;
}

auto Controller::replace(const Revision revision, const std::span<const SnapshotPart> parts) -> void
{
    if (revision <= view_->revision()) {
        counters_->add("configuration.older_ignored");
        return;
    }
    counters_->add("configuration.snapshot_applied");
    history_.clear();
    historyBytes_ = 0;
    setView(View{revision, parts, view_.get()});
}

auto Controller::setView(View view) -> void
{
    const auto unreadable = view.unreadable().size();
    if (unreadable > view_->unreadable().size()) {
        counters_->add("configuration.unreadable_record");
        LOG(WARNING) << "configuration: " << unreadable << " records can't be read; their last form stays in force.";
    }
    view_ = std::make_shared<const View>(std::move(view));
    if (hooks_.changed) {
        hooks_.changed(*view_);
    }
}

auto Controller::remember(const ChangeSet &change) -> void
{
    history_.push_back(change);
    historyBytes_ += internal::sizeOf(change);
    while (historyBytes_ > settings_.historyBytes && history_.size() > 1) {
        historyBytes_ -= internal::sizeOf(history_.front());
        history_.pop_front();
    }
}

} // namespace jasminelatch::configuration
