#include "store_reader.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::configuration {

namespace internal {

/*! @brief Reads the change sets of an answer in order of revision; nothing when one is malformed. */
auto readChanges(const store::Answer &answer) -> std::optional<std::vector<ChangeSet>>
{
    std::vector<ChangeSet> changes;
    for (const auto &entry : answer.entries) {
        auto change = parseChangeSet(entry.value);
        if (!change || changeKey(change->revision) != entry.key) {
            return std::nullopt;
        }
        changes.push_back(std::move(*change));
    }
    const auto byRevision = [](const auto &left, const auto &right) {
        return left.revision < right.revision;
    };
    std::sort(changes.begin(), changes.end(), byRevision);
    return changes;
}

auto areConsecutive(const std::vector<ChangeSet> &changes, const Revision present) -> bool
{
    auto expected = present + 1;
    for (const auto &change : changes) {
        if (change.revision <= present) {
            continue;
        }
        if (change.revision != expected) {
            return false;
        }
        ++expected;
    }
    return true;
}

} // namespace internal

StoreReader::StoreReader(const Settings settings, const Clock &clock, Counters &counters, Hooks hooks)
    : settings_{settings}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
{
}

auto StoreReader::tick() -> void
{
    giveUpLateCall();
    if (open_ || clock_->now() < nextCall_) {
        return;
    }
    if (loading_) {
        const auto part = static_cast<std::uint32_t>(loading_->parts.size());
        call({.key = snapshotKey(loading_->base.revision, part)}, &StoreReader::onPart);
    } else if (baseWanted_) {
        call({.key = std::string{baseKey}}, &StoreReader::onBase);
    } else {
        callWatch();
    }
}

auto StoreReader::giveUpLateCall() -> void
{
    if (!open_ || clock_->now() < open_->sentAt + open_->limit) {
        return;
    }
    const auto sentAt = open_->sentAt;
    open_.reset();
    fail(sentAt);
}

auto StoreReader::call(store::Request request, const Handler handler) -> void
{
    const auto sentAt = clock_->now();
    const auto number = ++lastNumber_;
    open_ = OpenCall{number, sentAt, request.wait + settings_.answerTimeout};
    const std::weak_ptr<bool> alive = alive_;
    hooks_.store(std::move(request), [this, alive, number, sentAt, handler](const store::Answer &answer) {
        if (!alive.expired()) {
            finish(number, sentAt, answer, handler);
        }
    });
}

auto StoreReader::finish(const std::uint64_t number,
                         const TimePoint sentAt,
                         const store::Answer &answer,
                         const Handler handler) -> void
{
    const bool isCurrent = open_ && open_->number == number;
    if (isCurrent) {
        open_.reset();
    }
    if (answer.status != store::Status::Unknown) {
        failing_ = false;
        hooks_.answered(sentAt);
        (this->*handler)(answer, sentAt, isCurrent);
        return;
    }
    if (isCurrent) {
        fail(sentAt);
    }
}

auto StoreReader::fail(const TimePoint sentAt) -> void
{
    failing_ = true;
    nextCall_ = std::max(clock_->now(), sentAt + settings_.retryInterval);
    counters_->add("configuration.store_unanswered");
    hooks_.unanswered(sentAt);
}

auto StoreReader::callWatch() -> void
{
    const auto wait = failing_ || !listed_ ? Duration::zero() : settings_.watchWait;
    call({.operation = store::Operation::Watch, .key = std::string{changePrefix}, .after = after_, .wait = wait},
         &StoreReader::onWatch);
}

auto StoreReader::onWatch(const store::Answer &answer, const TimePoint sentAt, const bool isCurrent) -> void
{
    if (isCurrent && answer.revision < after_) {
        counters_->add("configuration.store_went_back");
        listed_ = false;
        after_ = 0;
        return;
    }
    const bool isComplete = isCurrent && after_ == 0;
    if (!applyAll(answer, isComplete)) {
        nextCall_ = clock_->now() + (baseWanted_ ? Duration::zero() : settings_.retryInterval);
        return;
    }
    listed_ = true;
    after_ = std::max(after_, answer.revision);
    hooks_.upToDate(sentAt);
}

auto StoreReader::applyAll(const store::Answer &answer, const bool isComplete) -> bool
{
    const auto changes = internal::readChanges(answer);
    if (!changes) {
        counters_->add("configuration.malformed_change");
        return false;
    }
    const auto present = hooks_.revision();
    const auto head = changes->empty() ? 0 : changes->back().revision;
    if (isComplete && head < present) {
        counters_->add("configuration.store_behind");
        return false;
    }
    if (!internal::areConsecutive(*changes, present)) {
        counters_->add("configuration.gap");
        wantBase();
        return false;
    }
    return std::all_of(changes->begin(), changes->end(), hooks_.apply);
}

auto StoreReader::onBase(const store::Answer &answer, const TimePoint, const bool isCurrent) -> void
{
    if (!isCurrent) {
        return;
    }
    const auto base = answer.entries.empty() ? std::nullopt : parseBase(answer.entries.front().value);
    baseWanted_ = false;
    if (base && base->revision > hooks_.revision() && base->parts > 0) {
        loading_ = Loading{*base, {}};
        return;
    }
    counters_->add("configuration.base_unusable");
    nextCall_ = clock_->now() + settings_.retryInterval;
}

auto StoreReader::onPart(const store::Answer &answer, const TimePoint, const bool isCurrent) -> void
{
    if (!isCurrent || !loading_) {
        return;
    }
    auto part = answer.entries.empty() ? std::nullopt : parseSnapshotPart(answer.entries.front().value);
    if (!part) {
        counters_->add("configuration.snapshot_part_missing");
        loading_.reset();
        wantBase();
        return;
    }
    loading_->parts.push_back(std::move(*part));
    if (loading_->parts.size() < loading_->base.parts) {
        return;
    }
    auto complete = std::move(*loading_);
    loading_.reset();
    hooks_.replace(complete.base.revision, std::move(complete.parts));
}

auto StoreReader::wantBase() -> void
{
    baseWanted_ = true;
    listed_ = false;
    after_ = 0;
}

} // namespace jasminelatch::configuration
