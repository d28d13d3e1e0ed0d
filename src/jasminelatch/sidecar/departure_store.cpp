#include "departure_store.hpp"

#include "store_keys.hpp"
#include "wall_clock.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::sidecar {

DepartureStore::DepartureStore(Context context, const std::string &vm)
    : context_{context}
    , key_{storeKey(departurePrefix, vm)}
{
}

auto DepartureStore::record(const mesh::InstanceReport &report) -> void
{
    if (!departures_.contains(report)) {
        context_.log.write("departure_recorded", {{"instance", report.id}, {"start_ms", report.startTimeMs}});
    }
    const auto entries = departures_.entries();
    // The latest record stays the last one if the clock was stepped back.
    const auto recordedMs = std::max(wallClockMilliseconds(), entries.empty() ? 0 : entries.back().recordedMs);
    departures_.add({report.id, report.startTimeMs, recordedMs});
    write();
}

auto DepartureStore::merge(const std::span<const mesh::InstanceDeparture> departures) -> void
{
    for (const auto &departure : departures) {
        departures_.add(departure);
    }
}

auto DepartureStore::mergeConflict(const StoreItem &item) -> void
{
    if (item.key != key_) {
        return;
    }
    const auto stored = mesh::decodeDepartures(item.value);
    if (!stored) {
        context_.log.write("earlier_departure_unreadable", {{"answer_read", true}});
        return;
    }
    merge(*stored);
    write();
}

auto DepartureStore::rewrite() -> void
{
    if (!departures_.entries().empty()) {
        write();
    }
}

auto DepartureStore::whenStored(const Duration longest, StoreWriter::Finished finished) -> void
{
    context_.writer.whenStored(key_, longest, std::move(finished));
}

auto DepartureStore::known() const noexcept -> const mesh::InstanceDepartures &
{
    return departures_;
}

auto DepartureStore::write() -> void
{
    context_.writer.put(key_, mesh::encodeDepartures(departures_.entries()));
}

} // namespace jasminelatch::sidecar
