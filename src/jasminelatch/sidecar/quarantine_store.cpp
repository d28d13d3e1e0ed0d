#include "quarantine_store.hpp"

#include "store_keys.hpp"
#include "wall_clock.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

auto crashKey(const mesh::Fingerprint fingerprint) -> std::string
{
    return storeKey(crashPrefix, mesh::toText(fingerprint));
}

} // namespace internal

QuarantineStore::QuarantineStore(Context context)
    : context_{context}
{
}

auto QuarantineStore::update(const TimePoint now) -> void
{
    if (std::exchange(change_, context_.crashes.lastChange()) == context_.crashes.lastChange()) {
        return;
    }
    for (const auto &record : context_.crashes.quarantined(now, isLocalOnly_)) {
        auto &written = written_[record.fingerprint];
        if (written == record.crashes) {
            continue;
        }
        written = record.crashes;
        const auto ageMs = static_cast<std::uint64_t>(record.age / std::chrono::milliseconds{1});
        context_.log.write("quarantine_stored",
                           {{"fingerprint", mesh::toText(record.fingerprint)}, {"crashes", record.crashes.size()}});
        context_.writer.put(
            internal::crashKey(record.fingerprint),
            mesh::encodeStoredCrash({record.fingerprint, record.crashes, wallClockMilliseconds() - ageMs}));
    }
    std::erase_if(written_, [this](const auto &entry) {
        const auto isCleared = context_.crashes.isCleared(entry.first);
        if (isCleared) {
            context_.log.write("quarantine_removed", {{"fingerprint", mesh::toText(entry.first)}});
            context_.writer.remove(internal::crashKey(entry.first));
        }
        return isCleared;
    });
}

auto QuarantineStore::merge(const mesh::StoredCrash &stored, const TimePoint now) -> void
{
    const auto nowMs = wallClockMilliseconds();
    const std::chrono::milliseconds age{nowMs - std::min(stored.lastCrashMs, nowMs)};
    context_.crashes.merge({stored.fingerprint, stored.crashes, {}, age}, now);
}

auto QuarantineStore::adoptAll() -> void
{
    isLocalOnly_ = false;
    change_ = 0;
}

} // namespace jasminelatch::sidecar
