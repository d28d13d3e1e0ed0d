#include "repository.hpp"

#include <boost/leaf/error.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace jasminelatch::control {

namespace leaf = boost::leaf;
using configuration::Base;
using configuration::ChangeSet;
using configuration::Revision;
using configuration::SnapshotPart;
using configuration::View;

namespace internal {

constexpr int readAttempts = 3;
constexpr int writeAttempts = 4;
constexpr Revision compactAfter = 200;

auto fail(const ExitCode code, std::string reason) -> leaf::error_id
{
    return leaf::new_error(Failure{code, std::move(reason), {}});
}

auto conflictWith(const std::optional<ChangeSet> &winner) -> leaf::error_id
{
    if (!winner) {
        return fail(ExitCode::Conflict, "another change took this revision");
    }
    std::string reason = "revision " + std::to_string(winner->revision) + " was taken by " + winner->author;
    reason += winner->note.empty() ? "" : " (" + winner->note + ")";
    for (const auto &document : winner->upserts) {
        reason += "; wrote " + document.id.type + " " + document.id.name;
    }
    for (const auto &id : winner->withdrawals) {
        reason += "; withdrew " + id.type + " " + id.name;
    }
    return fail(ExitCode::Conflict, reason);
}

/*! @brief Reads the revision that follows a prefix in a key. */
auto revisionInKey(const std::string &key, const std::string_view prefix) -> std::optional<Revision>
{
    Revision revision = 0;
    const auto *begin = key.data() + prefix.size();
    const auto parsed = std::from_chars(begin, key.data() + key.size(), revision);
    return parsed.ec == std::errc{} ? std::optional{revision} : std::nullopt;
}

} // namespace internal

Repository::Repository(BlockingCall call)
    : call_{std::move(call)}
{
}

auto Repository::read() const -> Result<View>
{
    // Another operator's compaction may remove what is being read: then read anew.
    for (int attempt = 1; attempt < internal::readAttempts; ++attempt) {
        auto view = readOnce();
        if (view) {
            return view;
        }
    }
    return readOnce();
}

auto Repository::readOnce() const -> Result<View>
{
    BOOST_LEAF_AUTO(base, readBase());
    BOOST_LEAF_AUTO(parts, readParts(base));
    BOOST_LEAF_AUTO(entries, list(std::string{configuration::changePrefix}));
    View view{base.revision, parts};
    for (const auto &entry : entries) {
        const auto change = configuration::parseChangeSet(entry.value);
        if (!change) {
            return internal::fail(ExitCode::Findings, "the store holds a malformed change: " + entry.key);
        }
        if (change->revision <= view.revision()) {
            continue;
        }
        if (change->revision != view.revision() + 1) {
            return internal::fail(ExitCode::Findings, "the store misses the change before " + entry.key);
        }
        view = view.after(*change);
    }
    return view;
}

auto Repository::readBase() const -> Result<Base>
{
    BOOST_LEAF_AUTO(entry, get(std::string{configuration::baseKey}));
    if (entry.revision == 0) {
        return Base{};
    }
    const auto base = configuration::parseBase(entry.value);
    if (!base) {
        return internal::fail(ExitCode::Findings, "the store holds a malformed " + entry.key);
    }
    return *base;
}

auto Repository::readParts(const Base &base) const -> Result<std::vector<SnapshotPart>>
{
    std::vector<SnapshotPart> parts;
    for (std::uint32_t index = 0; index < base.parts; ++index) {
        BOOST_LEAF_AUTO(entry, get(configuration::snapshotKey(base.revision, index)));
        auto part = configuration::parseSnapshotPart(entry.value);
        if (!part) {
            return internal::fail(ExitCode::Findings, "the store misses a part of its snapshot: " + entry.key);
        }
        parts.push_back(std::move(*part));
    }
    return parts;
}

auto Repository::write(const ChangeSet &change) const -> Result<Revision>
{
    const auto key = configuration::changeKey(change.revision);
    const store::Request put{.operation = store::Operation::Put, .key = key, .value = nlohmann::json(change).dump()};
    for (int attempt = 0; attempt < internal::writeAttempts; ++attempt) {
        const auto answer = call_(put);
        if (answer.status == store::Status::Ok) {
            return confirmPlace(change);
        }
        if (answer.status == store::Status::Conflict && !answer.entries.empty()) {
            return settle(change, answer.entries.front().value);
        }
        const auto present = call_({.key = key});
        if (present.status == store::Status::Ok) {
            return settle(change, present.entries.front().value);
        }
        // Absent so far. Writing the same change to the same absent key again can't take effect twice.
    }
    return internal::fail(ExitCode::StoreUnreachable,
                          "the store does not tell whether revision " + std::to_string(change.revision)
                              + " was written; 'plan' shows it when the store is back");
}

auto Repository::settle(const ChangeSet &change, const std::string &present) const -> Result<Revision>
{
    const auto winner = configuration::parseChangeSet(present);
    if (!winner || winner->writeId != change.writeId) {
        return internal::conflictWith(winner);
    }
    return confirmPlace(change);
}

auto Repository::confirmPlace(const ChangeSet &change) const -> Result<Revision>
{
    // A writer that was paused for long may have filled a place whose change was compacted away.
    BOOST_LEAF_AUTO(base, readBase());
    if (base.revision < change.revision + configuration::keptChanges) {
        return change.revision;
    }
    BOOST_LEAF_AUTO(entry, get(configuration::changeKey(change.revision)));
    const auto present = configuration::parseChangeSet(entry.value);
    if (present && present->writeId == change.writeId) {
        removeEntry(entry);
    }
    return internal::fail(ExitCode::Conflict, "many changes were made meanwhile; look at the plan again");
}

auto Repository::compact(const View &view) const -> Result<bool>
{
    BOOST_LEAF_AUTO(present, get(std::string{configuration::baseKey}));
    const auto old = configuration::parseBase(present.value).value_or(Base{});
    if (view.revision() < old.revision + internal::compactAfter) {
        return false;
    }
    BOOST_LEAF_AUTO(base, writeSnapshot(view));
    if (auto swapped = swap(present, nlohmann::json(base).dump()); !swapped) {
        return swapped.error();
    }
    if (auto removed = removeOld(base.revision); !removed) {
        return removed.error();
    }
    return true;
}

auto Repository::writeSnapshot(const View &view) const -> Result<Base>
{
    const auto parts = view.snapshot(configuration::maxPartBytes);
    for (std::uint32_t index = 0; index < parts.size(); ++index) {
        // The parts of a revision are the same whoever writes them: one that is there already will do.
        const auto key = configuration::snapshotKey(view.revision(), index);
        const auto text = nlohmann::json(parts[index]).dump();
        const auto answer = call_({.operation = store::Operation::Put, .key = key, .value = text});
        if (answer.status != store::Status::Unknown) {
            continue;
        }
        BOOST_LEAF_AUTO(entry, get(key));
        if (entry.revision == 0) {
            return internal::fail(ExitCode::StoreUnreachable, "the store does not answer");
        }
    }
    return Base{view.revision(), static_cast<std::uint32_t>(parts.size())};
}

auto Repository::removeOld(const Revision base) const -> Result<void>
{
    BOOST_LEAF_AUTO(changes, list(std::string{configuration::changePrefix}));
    for (const auto &entry : changes) {
        const auto revision = internal::revisionInKey(entry.key, configuration::changePrefix);
        if (revision && *revision + configuration::keptChanges <= base) {
            removeEntry(entry);
        }
    }
    BOOST_LEAF_AUTO(parts, list(std::string{configuration::snapshotPrefix}));
    for (const auto &entry : parts) {
        const auto revision = internal::revisionInKey(entry.key, configuration::snapshotPrefix);
        if (revision && *revision < base) {
            removeEntry(entry);
        }
    }
    return {};
}

auto Repository::removeEntry(const store::Entry &entry) const -> void
{
    // What a lost call leaves behind is removed after the next snapshot.
    (void)call_({.operation = store::Operation::Remove, .key = entry.key, .expected = entry.revision});
}

auto Repository::list(const std::string &prefix) const -> Result<std::vector<store::Entry>>
{
    BOOST_LEAF_AUTO(answer, callRead({.operation = store::Operation::Watch, .key = prefix}));
    return std::move(answer.entries);
}

auto Repository::get(const std::string &key) const -> Result<store::Entry>
{
    BOOST_LEAF_AUTO(answer, callRead({.key = key}));
    if (answer.entries.empty()) {
        return store::Entry{key, "", 0};
    }
    return std::move(answer.entries.front());
}

auto Repository::swap(const store::Entry &before, const std::string &value) const -> Result<void>
{
    const auto answer =
        call_({.operation = store::Operation::Put, .key = before.key, .value = value, .expected = before.revision});
    if (answer.status == store::Status::Ok) {
        return {};
    }
    if (answer.status == store::Status::Unknown) {
        BOOST_LEAF_AUTO(present, get(before.key));
        if (present.value == value) {
            return {};
        }
        if (present.revision == before.revision) {
            return internal::fail(ExitCode::StoreUnreachable,
                                  "the store does not tell whether " + before.key + " was written; look again");
        }
    }
    return internal::fail(ExitCode::Conflict, before.key + " was changed meanwhile");
}

auto Repository::callRead(const store::Request &request) const -> Result<store::Answer>
{
    for (int attempt = 0; attempt < internal::readAttempts; ++attempt) {
        auto answer = call_(request);
        if (answer.status != store::Status::Unknown) {
            return answer;
        }
    }
    return internal::fail(ExitCode::StoreUnreachable, "the store does not answer");
}

} // namespace jasminelatch::control
