#include "memory_store.hpp"

#include <utility>

namespace jasminelatch::store {

namespace internal {

template<typename Map, typename Visit>
auto forEachBelow(const Map &map, const std::string_view prefix, const Visit &visit) -> void
{
    for (auto position = map.lower_bound(prefix); position != map.end(); ++position) {
        if (!std::string_view{position->first}.starts_with(prefix)) {
            return;
        }
        visit(position->first, position->second);
    }
}

} // namespace internal

auto MemoryStore::apply(const Request &request, const TimePoint now) -> Answer
{
    expire(now);
    switch (request.operation) {
    case Operation::Get:
        return get(request);
    case Operation::Put:
        return put(request, now);
    case Operation::Remove:
        return remove(request);
    case Operation::Watch:
        break;
    }
    return list(request);
}

auto MemoryStore::hasNews(const Request &request) const -> bool
{
    const auto answer = list(request);
    return !answer.entries.empty() || !answer.removed.empty();
}

auto MemoryStore::expire(const TimePoint now) -> void
{
    for (auto position = slots_.begin(); position != slots_.end();) {
        const auto &expiry = position->second.expiry;
        if (!expiry || *expiry > now) {
            ++position;
            continue;
        }
        removed_[position->first] = ++revision_;
        position = slots_.erase(position);
    }
}

auto MemoryStore::get(const Request &request) const -> Answer
{
    const auto position = slots_.find(request.key);
    if (position == slots_.end()) {
        return {Status::NotFound, {}, {}, revision_};
    }
    return {Status::Ok, {{position->first, position->second.value, position->second.revision}}, {}, revision_};
}

auto MemoryStore::put(const Request &request, const TimePoint now) -> Answer
{
    if (revisionOf(request.key) != request.expected) {
        return conflict(request);
    }
    Slot slot{request.value, ++revision_, {}};
    if (request.timeToLive) {
        slot.expiry = now + *request.timeToLive;
    }
    removed_.erase(request.key);
    slots_.insert_or_assign(request.key, std::move(slot));
    return {Status::Ok, {{request.key, request.value, revision_}}, {}, revision_};
}

auto MemoryStore::remove(const Request &request) -> Answer
{
    if (revisionOf(request.key) == 0) {
        return {Status::NotFound, {}, {}, revision_};
    }
    if (revisionOf(request.key) != request.expected) {
        return conflict(request);
    }
    slots_.erase(request.key);
    removed_[request.key] = ++revision_;
    return {Status::Ok, {}, {request.key}, revision_};
}

auto MemoryStore::list(const Request &request) const -> Answer
{
    Answer answer{Status::Ok, {}, {}, revision_};
    internal::forEachBelow(slots_, request.key, [&](const std::string &key, const Slot &slot) {
        if (slot.revision > request.after) {
            answer.entries.push_back({key, slot.value, slot.revision});
        }
    });
    internal::forEachBelow(removed_, request.key, [&](const std::string &key, const Revision revision) {
        if (revision > request.after) {
            answer.removed.push_back(key);
        }
    });
    return answer;
}

auto MemoryStore::conflict(const Request &request) const -> Answer
{
    Answer answer = get(request);
    answer.status = Status::Conflict;
    return answer;
}

auto MemoryStore::revisionOf(const std::string_view key) const -> Revision
{
    const auto position = slots_.find(key);
    return position == slots_.end() ? 0 : position->second.revision;
}

} // namespace jasminelatch::store
