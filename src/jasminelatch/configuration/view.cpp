#include "view.hpp"

#include "key.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace jasminelatch::configuration {

namespace internal {

constexpr std::size_t rememberedWithdrawnKeys = 10'000;

auto isBelow(const std::string_view path, const std::string_view prefix) -> bool
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

auto isLonger(const record::Kind *left, const record::Kind *right) -> bool
{
    return left->path.size() > right->path.size();
}

auto read(const record::Document &document) -> std::shared_ptr<const record::Body>
{
    Findings ignored;
    const auto json = record::parseJson(document.text, "", ignored);
    if (!json) {
        return nullptr;
    }
    auto parsed = record::parseRecord(*json, {}, ignored);
    return parsed ? std::make_shared<const record::Body>(std::move(parsed->body)) : nullptr;
}

} // namespace internal

View::View() = default;

View::View(const Revision revision, const std::span<const SnapshotPart> parts, const View *previous)
    : revision_{revision}
{
    const Records none;
    for (const auto &part : parts) {
        for (const auto &document : part.documents) {
            records_[document.id] = store(document, previous == nullptr ? none : previous->records_);
        }
        for (const auto &key : part.withdrawnKeys) {
            rememberWithdrawn(key);
        }
    }
    index();
}

auto View::after(const ChangeSet &change) const -> View
{
    View next;
    next.revision_ = change.revision;
    next.records_ = records_;
    next.withdrawn_ = withdrawn_;
    next.withdrawnByAge_ = withdrawnByAge_;
    for (const auto &id : change.withdrawals) {
        next.withdraw(id);
    }
    for (const auto &document : change.upserts) {
        next.records_[document.id] = store(document, records_);
    }
    next.index();
    return next;
}

auto View::account(const AccountName &name) const -> const record::Account *
{
    const auto position = accountsByName_.find(name.text());
    return position == accountsByName_.end() ? nullptr : position->second;
}

auto View::findKind(const std::string_view method, const ServiceName &service, const std::string_view path) const
    -> const record::Kind *
{
    const auto routes = routes_.find(service.text());
    if (routes == routes_.end()) {
        return nullptr;
    }
    const auto candidates = routes->second.find(method);
    if (candidates == routes->second.end()) {
        return nullptr;
    }
    const auto bare = path.substr(0, path.find('?'));
    const auto matches = [bare](const record::Kind *kind) {
        return internal::isBelow(bare, kind->path);
    };
    const auto found = std::find_if(candidates->second.begin(), candidates->second.end(), matches);
    return found == candidates->second.end() ? nullptr : *found;
}

auto View::authenticate(const std::string_view presentedKey) const -> KeyCheck
{
    const auto presented = splitKey(presentedKey);
    if (!presented) {
        return {};
    }
    if (isWithdrawn(presented->id)) {
        return {KeyState::Withdrawn, {}};
    }
    const auto position = keys_.find(presented->id);
    if (position == keys_.end() || !equalHashes(hashSecret(presented->secret), position->second->hash)) {
        return {};
    }
    if (account(position->second->account) == nullptr) {
        return {KeyState::Withdrawn, {}};
    }
    return {KeyState::Ok, position->second->account};
}

auto View::isWithdrawn(const std::string_view keyId) const -> bool
{
    return withdrawn_.contains(keyId);
}

auto View::documents() const -> std::vector<record::Document>
{
    std::vector<record::Document> all;
    all.reserve(records_.size());
    for (const auto &[id, stored] : records_) {
        all.push_back(stored->newest);
    }
    return all;
}

auto View::document(const record::Id &id) const -> const record::Document *
{
    const auto position = records_.find(id);
    return position == records_.end() ? nullptr : &position->second->newest;
}

auto View::withdrawnKeys() const -> std::vector<WithdrawnKey>
{
    std::vector<WithdrawnKey> all;
    all.reserve(withdrawn_.size());
    for (const auto &[id, revision] : withdrawn_) {
        all.push_back({id, revision});
    }
    return all;
}

auto View::unreadable() const -> std::vector<record::Id>
{
    std::vector<record::Id> all;
    for (const auto &[id, stored] : records_) {
        if (!stored->newestIsReadable) {
            all.push_back(id);
        }
    }
    return all;
}

auto View::snapshot(const std::size_t bytes) const -> std::vector<SnapshotPart>
{
    std::vector<SnapshotPart> parts(1);
    std::size_t used = 0;
    const auto takeRoom = [&](const std::size_t size) {
        if (used > 0 && used + size > bytes) {
            parts.emplace_back();
            used = 0;
        }
        used += size;
    };
    for (const auto &[id, stored] : records_) {
        takeRoom(stored->newest.text.size());
        parts.back().documents.push_back(stored->newest);
    }
    constexpr std::size_t withdrawnKeyBytes = 48;
    for (const auto &[id, revision] : withdrawn_) {
        takeRoom(withdrawnKeyBytes);
        parts.back().withdrawnKeys.push_back({id, revision});
    }
    return parts;
}

auto View::store(const record::Document &document, const Records &previous) -> std::shared_ptr<const Stored>
{
    const auto before = previous.find(document.id);
    if (before != previous.end() && before->second->newest == document) {
        return before->second;
    }
    auto readable = internal::read(document);
    const bool newestIsReadable = readable != nullptr;
    if (!newestIsReadable && before != previous.end()) {
        readable = before->second->readable;
    }
    return std::make_shared<const Stored>(Stored{document, std::move(readable), newestIsReadable});
}

auto View::withdraw(const record::Id &id) -> void
{
    records_.erase(id);
    if (id.type == record::keyType) {
        rememberWithdrawn({id.name, revision_});
    }
}

auto View::rememberWithdrawn(const WithdrawnKey &key) -> void
{
    if (!withdrawn_.emplace(key.id, key.revision).second) {
        return;
    }
    withdrawnByAge_.emplace(key.revision, key.id);
    if (withdrawnByAge_.size() > internal::rememberedWithdrawnKeys) {
        withdrawn_.erase(withdrawnByAge_.begin()->second);
        withdrawnByAge_.erase(withdrawnByAge_.begin());
    }
}

auto View::index() -> void
{
    for (const auto &[id, stored] : records_) {
        if (stored->readable != nullptr) {
            indexBody(*stored->readable);
        }
    }
    for (auto &[service, methods] : routes_) {
        for (auto &[method, kinds] : methods) {
            std::stable_sort(kinds.begin(), kinds.end(), internal::isLonger);
        }
    }
}

auto View::indexBody(const record::Body &body) -> void
{
    if (const auto *account = std::get_if<record::Account>(&body)) {
        accountsByName_.emplace(account->name.text(), account);
        accounts_.push_back(account);
    } else if (const auto *kind = std::get_if<record::Kind>(&body)) {
        kinds_.push_back(kind);
        routes_[kind->service.text()][kind->method].push_back(kind);
    } else if (const auto *key = std::get_if<record::Key>(&body)) {
        keys_.emplace(key->id, key);
    } else {
        fleet_ = std::get<record::Fleet>(body);
    }
}

} // namespace jasminelatch::configuration
