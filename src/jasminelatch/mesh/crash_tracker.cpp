#include "crash_tracker.hpp"

#include <algorithm>
#include <tuple>

namespace jasminelatch::mesh {

CrashTracker::CrashTracker(Settings settings)
    : settings_{settings}
{
}

auto CrashTracker::recordCrash(const CrashId crash, const std::span<const Fingerprint> running, const TimePoint now)
    -> void
{
    localCrashes_.insert(crash);
    for (const auto fingerprint : running) {
        merge({fingerprint, {crash}, {}, Duration::zero()}, now);
    }
}

auto CrashTracker::recordSurvival(const Fingerprint fingerprint) -> void
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end() || found->second.uncleared == 0) {
        return;
    }
    for (auto &[crash, isCleared] : found->second.crashes) {
        isCleared = true;
    }
    noteChange(found->second);
}

auto CrashTracker::merge(const CrashRecord &record, const TimePoint now) -> void
{
    if (record.fingerprint == 0 || record.age < Duration::zero() || record.age > settings_.memory
        || (record.crashes.empty() && record.survived.empty())) {
        return;
    }
    auto &known = records_[record.fingerprint];
    auto isNewCrash = false;
    for (const auto crash : record.crashes) {
        isNewCrash = known.crashes.try_emplace(crash, false).second || isNewCrash;
        running_[crash].insert(record.fingerprint);
    }
    auto hasChanged = isNewCrash;
    for (const auto crash : record.survived) {
        const auto [entry, isNew] = known.crashes.try_emplace(crash, true);
        hasChanged = isNew || !entry->second || hasChanged;
        entry->second = true;
        running_[crash].insert(record.fingerprint);
    }
    if (isNewCrash) {
        known.lastCrashAt = std::max(known.lastCrashAt, now - record.age);
    }
    if (hasChanged) {
        noteChange(known);
        forgetExcess();
    }
}

auto CrashTracker::suspicion(const Fingerprint fingerprint,
                             const std::span<const CrashId> attempt,
                             const TimePoint now) const -> CrashSuspicion
{
    const auto unknown = std::ranges::count_if(attempt, [this](const auto crash) { return !running_.contains(crash); });
    CrashSuspicion suspicion{static_cast<std::uint32_t>(unknown), Duration::zero()};
    const auto found = records_.find(fingerprint);
    if (found == records_.end() || now - found->second.lastCrashAt > settings_.memory) {
        return suspicion;
    }
    const auto &record = found->second;
    suspicion.crashes += unexplainedCrashes(record);
    suspicion.sinceCrash = now - record.lastCrashAt;
    suspicion.quarantine =
        std::max<Duration>(quarantineOf(fingerprint, record) - suspicion.sinceCrash, Duration::zero());
    return suspicion;
}

auto CrashTracker::recordsSince(const std::uint64_t change, const TimePoint now) const -> std::vector<CrashRecord>
{
    std::vector<CrashRecord> changed;
    for (const auto &[fingerprint, record] : records_) {
        if (record.change <= change) {
            continue;
        }
        changed.push_back(toCrashRecord(fingerprint, record, now));
    }
    return changed;
}

auto CrashTracker::toCrashRecord(const Fingerprint fingerprint, const Record &record, const TimePoint now)
    -> CrashRecord
{
    CrashRecord entry{fingerprint, {}, {}, now - record.lastCrashAt};
    for (const auto &[crash, isCleared] : record.crashes) {
        (isCleared ? entry.survived : entry.crashes).push_back(crash);
    }
    return entry;
}

auto CrashTracker::quarantined(const TimePoint now, const bool isLocalOnly) const -> std::vector<CrashRecord>
{
    std::vector<CrashRecord> found;
    for (const auto &[fingerprint, record] : records_) {
        const auto isLocal = std::ranges::any_of(
            record.crashes, [this](const auto &entry) { return localCrashes_.contains(entry.first); });
        const auto mayBeQuarantined =
            (isLocal || !isLocalOnly) && record.uncleared >= settings_.crashesBeforeShortQuarantine;
        if (mayBeQuarantined && suspicion(fingerprint, {}, now).quarantine > Duration::zero()) {
            found.push_back(toCrashRecord(fingerprint, record, now));
        }
    }
    return found;
}

auto CrashTracker::isCleared(const Fingerprint fingerprint) const -> bool
{
    const auto found = records_.find(fingerprint);
    return found != records_.end() && found->second.uncleared == 0;
}

auto CrashTracker::lastChange() const noexcept -> std::uint64_t
{
    return lastChange_;
}

auto CrashTracker::suspectCount() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(records_, [](const auto &entry) { return entry.second.uncleared > 0; }));
}

auto CrashTracker::noteChange(Record &record) -> void
{
    record.change = ++lastChange_;
    record.uncleared = static_cast<std::uint32_t>(
        std::ranges::count_if(record.crashes, [](const auto &entry) { return !entry.second; }));
}

auto CrashTracker::forgetExcess() -> void
{
    while (records_.size() > settings_.maxRecords) {
        const auto least = std::ranges::min_element(records_, {}, [](const auto &entry) {
            return std::tuple{entry.second.uncleared, entry.second.lastCrashAt};
        });
        for (const auto &[crash, isCleared] : least->second.crashes) {
            const auto running = running_.find(crash);
            running->second.erase(least->first);
            if (running->second.empty()) {
                localCrashes_.erase(crash);
                running_.erase(running);
            }
        }
        records_.erase(least);
    }
}

auto CrashTracker::quarantineOf(const Fingerprint fingerprint, const Record &record) const -> Duration
{
    const auto crashes = unexplainedCrashes(record);
    if (crashes >= settings_.crashesBeforeQuarantine) {
        constexpr std::uint32_t maxDoublings = 16;
        const auto doublings = std::min(crashes - settings_.crashesBeforeQuarantine, maxDoublings);
        return std::min<Duration>(settings_.quarantine * (1U << doublings), settings_.maxQuarantine);
    }
    if (crashes >= settings_.crashesBeforeShortQuarantine && isOnlyExplanation(fingerprint, record)) {
        return settings_.shortQuarantine;
    }
    return Duration::zero();
}

auto CrashTracker::hasOther(const CrashId crash,
                            const std::function<bool(Fingerprint fingerprint, const Record &record)> &matches) const
    -> bool
{
    return std::ranges::any_of(running_.at(crash), [&](const Fingerprint other) {
        const auto &record = records_.at(other);
        return !record.crashes.at(crash) && matches(other, record);
    });
}

auto CrashTracker::unexplainedCrashes(const Record &record) const -> std::uint32_t
{
    const auto hasMore = [&](Fingerprint, const Record &other) {
        return other.uncleared > record.uncleared;
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(
        record.crashes, [&](const auto &entry) { return !entry.second && !hasOther(entry.first, hasMore); }));
}

auto CrashTracker::isOnlyExplanation(const Fingerprint fingerprint, const Record &record) const -> bool
{
    const auto hasAsMany = [&](const Fingerprint name, const Record &other) {
        return name != fingerprint && other.uncleared >= record.uncleared;
    };
    return std::ranges::none_of(record.crashes,
                                [&](const auto &entry) { return !entry.second && hasOther(entry.first, hasAsMany); });
}

} // namespace jasminelatch::mesh
