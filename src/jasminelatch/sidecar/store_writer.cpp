#include "store_writer.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace jasminelatch::sidecar {

namespace internal {

constexpr unsigned statusStored = 200;
constexpr unsigned statusOtherRevision = 412;

} // namespace internal

StoreWriter::StoreWriter(Context context, const event::Endpoint &store, Settings settings, Hooks hooks)
    : context_{context}
    , settings_{settings}
    , hooks_{std::move(hooks)}
    , channel_{context.loop, store}
    , backoff_{settings.initialBackoff}
{
}

auto StoreWriter::put(const std::string &key, std::string value) -> void
{
    auto &item = items_[key];
    if (item.value == value) {
        return;
    }
    item.value = std::move(value);
    item.isStored = false;
    writeNext();
}

auto StoreWriter::remove(const std::string &key) -> void
{
    const auto found = items_.find(key);
    if (found == items_.end() || !found->second.value) {
        return;
    }
    found->second.value.reset();
    found->second.isStored = false;
    writeNext();
}

auto StoreWriter::whenStored(const std::string &key, const Duration longest, Finished finished) -> void
{
    auto &item = items_.at(key);
    if (item.isStored) {
        finished(true);
        return;
    }
    const auto wait = ++lastWait_;
    const auto timer = context_.loop.after(longest, [this, key, wait] { endWait(key, wait); });
    item.waits.emplace(wait, Wait{timer, std::move(finished)});
}

auto StoreWriter::endWait(const std::string &key, const std::uint64_t wait) -> void
{
    auto ended = items_.at(key).waits.extract(wait);
    context_.log.write("store_write_pending", {{"key", key}});
    ended.mapped().finished(false);
}

auto StoreWriter::rewriteAll() -> void
{
    ++round_;
    for (auto &[key, item] : items_) {
        item.revision = 0;
        item.isStored = false;
    }
    writeNext();
}

auto StoreWriter::writeNext() -> void
{
    if (isBusy_) {
        return;
    }
    const auto next = std::ranges::find_if(items_, [](const auto &entry) { return !entry.second.isStored; });
    if (next == items_.end()) {
        channel_.reset();
        return;
    }
    isBusy_ = true;
    context_.counters.add("store.keep");
    const auto &[key, item] = *next;
    channel_.call(context_.dialect.store.replace(key, item.value, item.revision),
                  settings_.callTimeout,
                  [this, write = Write{key, item.value, round_}](const auto &result) { handleResult(write, result); });
}

auto StoreWriter::handleResult(const Write &write, const HttpConnection::Result &result) -> void
{
    const auto status = result.answer ? result.answer->status : 0;
    if (status == internal::statusOtherRevision) {
        handleConflict(write, *result.answer);
        return;
    }
    if (status != internal::statusStored) {
        context_.counters.add("store.failed");
        context_.log.write("store_write_failed", {{"key", write.key}, {"status", status}, {"error", result.error}});
        retryLater();
        return;
    }
    isBusy_ = false;
    backoff_ = settings_.initialBackoff;
    std::map<std::uint64_t, Wait> waits;
    if (auto &item = items_.at(write.key); write.round == round_) {
        item.revision = context_.dialect.store.readRevision(*result.answer).value_or(0);
        item.isStored = item.value == write.value;
        if (item.isStored) {
            waits.swap(item.waits);
        }
    }
    for (auto &[id, wait] : waits) {
        context_.loop.cancel(wait.timer);
        wait.finished(true);
    }
    writeNext();
}

auto StoreWriter::handleConflict(const Write &write, const mesh::Answer &answer) -> void
{
    const auto items = context_.dialect.store.readConflict(answer);
    if (!items) {
        context_.log.write("store_write_failed",
                           {{"key", write.key}, {"status", answer.status}, {"error", "unreadable"}});
        retryLater();
        return;
    }
    const auto found = std::ranges::find(*items, write.key, &StoreItem::key);
    const auto isPresent = found != items->end() && !found->removed;
    if (write.round == round_) {
        items_.at(write.key).revision = isPresent ? found->revision : 0;
    }
    if (isPresent) {
        hooks_.conflictFound(*found);
    }
    isBusy_ = false;
    writeNext();
}

auto StoreWriter::retryLater() -> void
{
    context_.loop.after(std::exchange(backoff_, std::min(backoff_ * 2, settings_.maxBackoff)), [this] {
        isBusy_ = false;
        writeNext();
    });
}

} // namespace jasminelatch::sidecar
